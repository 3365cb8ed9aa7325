#include "harness/cluster.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "harness/list_servers.h"
#include "harness/loopback.h"
#include "harness/store_view.h"
#include "harness/web.h"
#include "ownership/range_record.h"
#include "platform/instance_list.h"
#include "platform/testing/server_codec.h"
#include "table/parse.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr duration start_timeout = seconds(10);
constexpr duration serve_timeout = seconds(30);

std::string settings_of(const running_entry& entry, const std::string& platform,
                        const std::string& instances) {
  return json::serialize(
      json::object{{"name", entry.name},
                   {"cluster", cluster_name},
                   {"region", "home"},
                   {"domain", entry.domain},
                   {"listen",
                    {{"callers", entry.callers},
                     {"forward", entry.forward},
                     {"operators", entry.operators},
                     {"peers", entry.peers}}},
                   {"platform", {{"store", json::array{platform}}, {"instances", instances}}},
                   {"threads", 2}});
}

// Where upstreams register themselves.
std::string settings_of(const running_entry& entry, const std::string& platform,
                        const json::value& bounds) {
  return json::serialize(json::object{
      {"name", entry.name},
      {"cluster", cluster_name},
      {"region", "home"},
      {"domain", entry.domain},
      {"log_level", "debug"},
      {"listen",
       {{"callers", entry.callers}, {"operators", entry.operators}, {"peers", entry.peers}}},
      {"platform", {{"form", "items"}, {"store", json::array{platform}}, {"bounds", bounds}}}});
}

std::string port_of(const std::string& address) { return address.substr(address.find(':')); }

}  // namespace

cluster::cluster(const cluster_layout& layout, std::string bin, std::string folder)
    : layout_(layout), bin_(std::move(bin)), folder_(std::move(folder)) {}

cluster::~cluster() = default;

result<std::unique_ptr<cluster>> cluster::start(const cluster_layout& layout,
                                                const std::string& bin, const std::string& folder) {
  std::unique_ptr<cluster> made(new cluster(layout, bin, folder));
  std::error_code code;
  std::filesystem::create_directories(folder, code);
  if (code) return error{code, step::settings, folder, "can't be made"};
  if (auto bad = made->start_all()) return *bad;
  return made;
}

std::optional<error> cluster::start_all() {
  platform_address = free_address();
  platform_control = free_address();
  if (auto bad = start_platform()) return bad;
  if (auto bad = start_relay()) return bad;
  if (auto bad = declare_upstreams()) return bad;
  if (auto bad = declare_entries()) return bad;
  for (auto& [name, upstream] : upstreams) {
    if (auto bad = start_upstream(name)) return bad;
  }
  for (auto& [name, entry] : entries) {
    if (auto bad = start_entry(name)) return bad;
  }
  if (layout_.desired) {
    if (const auto written = write_desired(*layout_.desired); !written) return written.error();
  } else {
    if (auto bad = list_instances()) return bad;
    if (auto bad = apply_table()) return bad;
  }
  if (!wait_until_served(serve_timeout)) {
    return error{errc::timed_out, step::ownership, "", "not every shard has an owner in time"};
  }
  return std::nullopt;
}

std::optional<error> cluster::declare_upstreams() {
  for (auto& service : layout_.services) {
    for (auto& row : service.upstreams) {
      running_upstream upstream{.name = row.name.value,
                                .service = service.service.name.value,
                                .domain = row.domain.value,
                                .address = free_address(),
                                .table_address = "",
                                .checks_fence = service.service.checks_fence,
                                .process = std::nullopt,
                                .ended = {}};
      const auto route = layout_.relayed_upstreams ? add_route(upstream.name, upstream.address)
                                                   : result<std::string>(upstream.address);
      if (!route) return route.error();
      upstream.table_address = *route;
      row.address = *route;
      upstreams.emplace(upstream.name, std::move(upstream));
    }
  }
  return std::nullopt;
}

std::optional<error> cluster::declare_entries() {
  for (const auto& domain : layout_.domains) {
    for (std::size_t i = 0; i < layout_.entries_per_domain; ++i) {
      running_entry entry;
      entry.name = domain + "-" + std::to_string(i);
      entry.domain = domain;
      entry.callers = free_address();
      entry.forward = free_address();
      entry.operators = free_address();
      entry.peers = free_address();
      entry.settings_file = file("entry-" + entry.name + ".json");
      entries.emplace(entry.name, std::move(entry));
    }
  }
  if (layout_.desired) {
    // Each calls the platform at an address of its own, so that it can be turned away alone.
    int number = 1;
    const auto bounds = json::parse(layout_.entry_bounds);
    for (auto& [name, entry] : entries) {
      entry.store = "127.0.1." + std::to_string(number++);
      const auto store = layout_.relayed
                             ? add_route(name + "-platform", platform_address)
                             : result<std::string>(entry.store + port_of(platform_address));
      if (!store) return store.error();
      std::ofstream(entry.settings_file) << settings_of(entry, *store, bounds);
    }
    return std::nullopt;
  }
  if (layout_.relayed) lists_ = std::make_unique<list_servers>();
  for (auto& [name, entry] : entries) {
    if (!lists_) {
      std::ofstream(entry.settings_file) << settings_of(entry, platform_address, platform_address);
      continue;
    }
    const auto route = add_route(name + "-platform", platform_address);
    if (!route) return route.error();
    const auto own = lists_->listen(name);
    if (!own) return own.error();
    for (const auto& [other, unused] : entries) {
      if (other == name) continue;
      const auto peer_route = add_route(std::string(other).append(">").append(name), entry.peers);
      if (!peer_route) return peer_route.error();
      entry.peer_routes[other] = *peer_route;
    }
    std::ofstream(entry.settings_file) << settings_of(entry, *route, *own);
  }
  return std::nullopt;
}

std::optional<error> cluster::start_relay() {
  if (!layout_.relayed && !layout_.relayed_upstreams) return std::nullopt;
  relay_control = free_address();
  auto started = child_process::start(
      {bin_ + "/plantainpaddle-standin", "relay", "--listen", relay_control}, file("relay.log"));
  if (!started) return started.error();
  relay = std::move(*started);
  const auto up = [&] { return web_get(relay_control, "/control/routes").has_value(); };
  if (wait_until(start_timeout, up)) return std::nullopt;
  return error{errc::timed_out, step::listen, relay_control, "the relay doesn't answer"};
}

result<std::string> cluster::add_route(const std::string& name, const std::string& to) const {
  std::string listen = free_address();
  const json::object wanted{{"name", name}, {"listen", listen}, {"to", to}};
  const auto added = web_post(relay_control, "/control/routes", json::serialize(wanted));
  if (!added) return added.error();
  return listen;
}

std::optional<error> cluster::set_platform_fault(const std::string& fault) const {
  const auto set = web_post(platform_control, "/control/faults", fault);
  if (!set) return set.error();
  return std::nullopt;
}

std::optional<error> cluster::set_relay_fault(const std::string& fault) const {
  const auto set = web_post(relay_control, "/control/fault", fault);
  if (!set) return set.error();
  return std::nullopt;
}

std::optional<error> cluster::start_platform() {
  const std::string listen =
      layout_.desired ? "0.0.0.0" + port_of(platform_address) : platform_address;
  auto started = child_process::start({bin_ + "/plantainpaddle-standin", "platform", "--listen",
                                       listen, "--control", platform_control},
                                      file("platform.log"));
  if (!started) return started.error();
  platform = std::move(*started);
  const auto up = [&] { return web_get(platform_address, "/v1/instances").has_value(); };
  if (wait_until(start_timeout, up)) return std::nullopt;
  return error{errc::timed_out, step::listen, platform_address, "the platform doesn't answer"};
}

std::optional<error> cluster::start_upstream(const std::string& name) {
  if (auto bad = launch_upstream(name)) return bad;
  const auto up = [&] {
    return web_get(upstreams.at(name).address, "/control/counters").has_value();
  };
  if (wait_until(start_timeout, up)) return std::nullopt;
  return error{errc::timed_out, step::listen, name, "the upstream doesn't answer"};
}

std::optional<error> cluster::launch_upstream(const std::string& name) {
  running_upstream& upstream = upstreams.at(name);
  std::vector<std::string> arguments{bin_ + "/plantainpaddle-standin",
                                     "upstream",
                                     "--listen",
                                     upstream.address,
                                     "--name",
                                     name,
                                     "--service",
                                     upstream.service,
                                     "--journal",
                                     file("journal-" + name + ".jsonl"),
                                     "--set",
                                     layout_.upstream_settings};
  if (layout_.desired) {
    arguments.insert(arguments.end(), {"--register", platform_control, "--domain", upstream.domain,
                                       "--advertise", upstream.table_address});
  }
  if (!upstream.checks_fence) arguments.emplace_back("--no-fence-check");
  auto started = child_process::start(arguments, file("upstream-" + name + ".log"));
  if (!started) return started.error();
  upstream.process = std::move(*started);
  return std::nullopt;
}

std::optional<error> cluster::launch_successor(const std::string& ended, const std::string& name,
                                               const std::string& service) {
  const auto& former = upstreams.at(ended);
  const auto sibling = std::find_if(upstreams.begin(), upstreams.end(),
                                    [&](const auto& u) { return u.second.service == service; });
  if (sibling == upstreams.end()) return error{errc::not_found, step::settings, service, "unknown"};
  running_upstream made{.name = name,
                        .service = service,
                        .domain = former.domain,
                        .address = former.address,
                        .table_address = former.table_address,
                        .checks_fence = sibling->second.checks_fence,
                        .process = std::nullopt,
                        .ended = {}};
  upstreams.insert_or_assign(name, std::move(made));
  return launch_upstream(name);
}

std::optional<error> cluster::start_entry(const std::string& name) {
  if (auto bad = launch_entry(name)) return bad;
  const auto up = [&] { return web_get(entries.at(name).operators, "/healthz").has_value(); };
  if (wait_until(start_timeout, up)) return std::nullopt;
  return error{errc::timed_out, step::listen, name, "the entry doesn't answer"};
}

std::optional<error> cluster::launch_entry(const std::string& name) {
  running_entry& entry = entries.at(name);
  auto started =
      child_process::start({bin_ + "/plantainpaddle-entry", "--settings", entry.settings_file},
                           file("entry-" + name + ".log"));
  if (!started) return started.error();
  entry.process = std::move(*started);
  return std::nullopt;
}

std::optional<error> cluster::list_instances(const std::string& leaving) {
  std::vector<instance_info> list;
  for (auto& [name, entry] : entries) {
    if (!entry.process || !entry.process->running()) continue;
    list.push_back({name, domain_id{entry.domain}, "home", entry.callers, entry.forward,
                    entry.operators, entry.peers,
                    name == leaving ? instance_state::leaving : instance_state::live});
  }
  if (lists_) {
    for (const auto& [viewer, unused] : entries) {
      std::vector<instance_info> seen = list;
      for (auto& info : seen) {
        const auto& routes = entries.at(info.name).peer_routes;
        if (const auto route = routes.find(viewer); route != routes.end()) {
          info.peers = route->second;
        }
      }
      lists_->set(viewer, format_instance_list(seen));
    }
  }
  const auto put =
      web_call(platform_control, {"PUT", "/control/instances", {}, format_instance_list(list)});
  if (!put) return put.error();
  if (put->status == 200) return std::nullopt;
  return error{errc::refused, step::instance_list, platform_address, put->body};
}

std::optional<error> cluster::apply_table() const {
  table declared;
  for (const auto& service : layout_.services) declared.emplace(service.service.name, service);
  std::ofstream(file("table.json")) << format_table_file(declared);
  auto applied = child_process::start(
      {bin_ + "/plantainpaddle-table", "apply", file("table.json"), "--store", platform_address,
       "--cluster", std::string(cluster_name), "--author", "harness"},
      file("table.log"));
  if (!applied) return applied.error();
  const auto code = applied->wait(start_timeout);
  if (code && *code == 0) return std::nullopt;
  return error{errc::refused, step::table, "", "apply failed, see " + file("table.log")};
}

std::vector<std::string> cluster::targets() const {
  std::vector<std::string> callers;
  for (const auto& [name, entry] : entries) callers.push_back(entry.callers);
  return callers;
}

std::vector<std::string> cluster::readiness() const {
  std::vector<std::string> operators;
  for (const auto& [name, entry] : entries) operators.push_back(entry.operators);
  return operators;
}

std::string cluster::assigner_of(const std::string& cell) const {
  if (layout_.desired) {
    const auto record = read_ranges(platform_address, service_id{cell});
    return record ? instance_name(record->assigner) : "";
  }
  const auto view = read_store(platform_address, std::string(cluster_name));
  if (!view) return "";
  const auto place = view->cells.find(cell_id{cell});
  return place == view->cells.end() ? "" : instance_name(place->second.assigner);
}

result<void> cluster::write_desired(const desired_state& state) const {
  const json::object item{{"key", std::string(desired_state_key)},
                          {"value", format_desired_state(state)}};
  const auto written = web_post(platform_control, "/control/items", json::serialize(item));
  if (!written) return written.error();
  return {};
}

// Every instance is ready, and gets the first and the last key of each keyed service served.
bool cluster::ranges_are_served() const {
  for (const auto& [name, entry] : entries) {
    if (!web_get(entry.operators, "/readyz")) return false;
    for (const auto& route : layout_.desired->routes) {
      for (const std::uint32_t key : {std::uint32_t{0}, last_numbered_key}) {
        const auto answer = web_call(entry.callers, make_registered_request(route.row, key));
        if (!answer || answer->status != 200) return false;
      }
    }
  }
  return true;
}

bool cluster::wait_until_served(duration most) const {
  return wait_until(most, [&] {
    if (layout_.desired) return ranges_are_served();
    const auto view = read_store(platform_address, std::string(cluster_name));
    if (!view) return false;
    for (const auto& service : layout_.services) {
      if (!service.service.keyed) continue;
      std::size_t owned = 0;
      for (const auto& [cell, record] : view->cells) {
        if (record.service != service.service.name) continue;
        for (const auto& [shard, entry] : record.shards) owned += entry.owner ? 1 : 0;
      }
      if (owned < service.service.shards) return false;
    }
    return true;
  });
}

result<std::vector<run_record>> cluster::runs() const {
  std::vector<run_record> all;
  for (const auto& [name, upstream] : upstreams) {
    auto read = parse_journal(read_file(file("journal-" + name + ".jsonl")));
    if (!read) {
      error bad = read.error();
      bad.peer = name;
      return bad;
    }
    all.insert(all.end(), read->begin(), read->end());
  }
  return all;
}

result<std::vector<hold_record>> cluster::holds() const {
  std::vector<hold_record> all;
  for (const auto& [name, upstream] : upstreams) {
    auto read = parse_holds(read_file(file("journal-" + name + ".jsonl")));
    if (!read) {
      error bad = read.error();
      bad.peer = name;
      return bad;
    }
    for (auto& hold : *read) {
      for (const duration end : upstream.ended) {
        if (hold.from < end) hold.until = std::min(hold.until, end);
      }
      all.push_back(std::move(hold));
    }
  }
  return all;
}

std::string cluster::status(const std::string& entry) const {
  auto answer =
      web_call(entries.at(entry).operators, {"GET", "/status", {}, ""}, milliseconds(300));
  return answer && answer->status == 200 ? answer->body : "";
}

}  // namespace plantainpaddle
