#include "apps/registry_view.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cmath>

#include "apps/sheet.h"
#include "apps/status_view.h"
#include "base/json.h"
#include "entry/news_messages.h"
#include "http/client.h"
#include "ownership/store_keys.h"
#include "platform/platform_codec.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_status_bytes = 1 << 16;

std::string range_text(const range_entry& entry) {
  return std::to_string(entry.first) + "-" + std::to_string(entry.last);
}

std::string names_text(const std::vector<upstream_id>& names) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : " ") + name.value;
  return text;
}

std::uint64_t keys_of(const range_record& record, const upstream_id& owner) {
  std::uint64_t keys = 0;
  for (const auto& entry : record.ranges) {
    if (entry.owner == owner) keys += entry.last - entry.first + 1;
  }
  return keys;
}

const range_record* record_of(const registry_state& state, const service_id& service) {
  const auto place = state.records.find(service);
  return place == state.records.end() ? nullptr : &place->second;
}

std::string kind_text(const route_row& row) {
  if (row.klass == request_class::upload) return "upload";
  return row.once ? "once" : "repeatable";
}

std::string upstream_state_text(const registry_state& state, const registered_upstream& upstream) {
  if (state.evacuated.contains(upstream.domain)) return "evacuated";
  return upstream.leaving ? "leaving" : "ready";
}

// One row for each upstream, its limits and what it owns beside each other.
std::string show_upstreams(const registry_state& state, const declared_service& service) {
  const auto* record = record_of(state, service.name);
  sheet lines({"upstream", "domain", "address", "slots", "connections", "state", "keys", "share"});
  for (const auto& upstream : state.upstreams) {
    if (upstream.service != service.name) continue;
    const bool owns = service.keyed && record != nullptr;
    const auto keys = owns ? keys_of(*record, upstream.id) : 0;
    const double share = 100.0 * static_cast<double>(keys) / (last_numbered_key + 1.0);
    lines.add({upstream.id.value, upstream.domain.value, upstream.address,
               std::to_string(upstream.slots), std::to_string(service.connections),
               upstream_state_text(state, upstream), owns ? std::to_string(keys) : "",
               owns ? number_text(std::round(share * 10) / 10) + " %" : ""});
  }
  return lines.text("  ") + "\n";
}

std::string show_routes(const registry_state& state, const declared_service& service) {
  sheet lines({"route", "host", "path", "kind", "share", "priority", "aim", "timeout", "attempts"});
  for (const auto& route : state.desired.routes) {
    double all = 0;
    for (const auto& [name, weight] : route.targets) all += weight;
    for (const auto& [name, weight] : route.targets) {
      if (name != service.name) continue;
      lines.add({route.row.name, route.row.host, route.row.path_prefix, kind_text(route.row),
                 number_text(std::round(1000 * weight / all) / 10) + " %",
                 std::to_string(route.policy.priority),
                 format_duration(route.policy.target_latency), format_duration(route.row.timeout),
                 std::to_string(route.policy.max_attempts)});
    }
  }
  return lines.empty() ? "" : lines.text("  ") + "\n";
}

std::string show_owners(const range_record& record) {
  sheet lines({"keys", "owner", "fence", "taken from"});
  for (const auto& entry : record.ranges) {
    lines.add({range_text(entry), entry.owner ? entry.owner->value : "nobody",
               std::to_string(entry.fence.value), names_text(entry.former)});
  }
  return lines.text("  ") + "\n";
}

std::string in_force_text(const registry_state& state) {
  const auto at = std::count_if(state.instances.begin(), state.instances.end(), [&](const auto& i) {
    return i.version && *i.version >= state.desired.version;
  });
  return "version " + std::to_string(state.desired.version) + ", in force on " +
         std::to_string(at) + " of " + std::to_string(state.instances.size()) + " instances\n";
}

void take_instance(registry_state& state, const stored_value& item) {
  auto instance = parse_registration(item.key.substr(instance_key_prefix.size()), item.value);
  if (!instance) return state.unreadable.push_back(instance.error());
  state.instances.push_back({instance->name, instance->address, std::nullopt});
}

void take_record(registry_state& state, const stored_value& item) {
  auto record = parse_range_record(item.value);
  if (!record) return state.unreadable.push_back(record.error());
  state.records[{item.key.substr(record_key_prefix.size())}] = std::move(*record);
}

void take_upstream(registry_state& state, const stored_value& item) {
  auto upstream = parse_registered_upstream(item.key, item.value);
  if (!upstream) return state.unreadable.push_back(upstream.error());
  state.upstreams.push_back(std::move(*upstream));
}

void find_key_faults(const registry_state& state, const declared_service& service,
                     std::vector<finding>& found) {
  const auto& name = service.name;
  const bool assigned =
      std::find(state.assigned.begin(), state.assigned.end(), name) != state.assigned.end();
  if (!assigned) {
    found.push_back({fault::cell_without_assigner, name.value,
                     name.value + ": no instance assigns its keys; grants run out in seconds", ""});
  }
  const auto* record = record_of(state, name);
  if (record == nullptr) {
    found.push_back({fault::shards_without_owner, name.value,
                     name.value + ": nobody owns any key, there is no record", ""});
    return;
  }
  for (const auto& entry : record->ranges) {
    const bool there =
        entry.owner && std::any_of(state.upstreams.begin(), state.upstreams.end(),
                                   [&](const auto& u) { return u.id == *entry.owner; });
    const std::string keys = name.value + ": keys " + range_text(entry);
    if (!there) {
      found.push_back(
          {fault::shards_without_owner, name.value,
           keys + (entry.owner ? " belong to " + entry.owner->value + ", which isn't registered"
                               : " have no owner"),
           ""});
    } else if (!entry.former.empty()) {
      found.push_back(
          {fault::moves_under_way, name.value,
           keys + " move from " + names_text(entry.former) + " to " + entry.owner->value, ""});
    }
  }
}

}  // namespace

result<registry_state> read_registry(const range_answer& items) {
  registry_state state;
  bool known = false;
  for (const auto& item : items.values) {
    if (item.key == desired_state_key) {
      auto desired = parse_desired_state(item.value);
      if (!desired) return desired.error();
      state.desired = std::move(*desired);
      known = true;
    } else if (item.key.starts_with(evacuation_key_prefix)) {
      state.evacuated.insert({item.key.substr(evacuation_key_prefix.size())});
    } else if (item.key.starts_with(upstream_key_prefix)) {
      take_upstream(state, item);
    } else if (item.key.starts_with(record_key_prefix)) {
      take_record(state, item);
    } else if (item.key.starts_with(assigner_key_prefix)) {
      state.assigned.push_back({item.key.substr(assigner_key_prefix.size())});
    } else if (item.key.starts_with(instance_key_prefix)) {
      take_instance(state, item);
    }
  }
  for (const auto& key : items.unreadable) {
    state.unreadable.push_back({errc::bad_input, step::store, "", key + ": can't be decoded"});
  }
  if (!known) return error{errc::not_found, step::store, "", "the store has no desired state"};
  return state;
}

void ask_instances(registry_state& state, duration timeout) {
  boost::asio::io_context io(1);
  http_client client(io.get_executor());
  for (auto& instance : state.instances) {
    client.send(instance.peers, {"GET", "/status", {}, "", ""}, timeout,
                [&instance](const result<http_response>& answer) {
                  if (!answer || answer->status != 200) return;  // shown as silent
                  const auto body = parse_json(answer->body, step::peer, max_status_bytes);
                  const auto* object = body ? body->if_object() : nullptr;
                  const auto* version =
                      object == nullptr ? nullptr : object->if_contains("desired_version");
                  boost::system::error_code code;
                  const auto number =
                      version == nullptr ? 0 : version->to_number<std::uint64_t>(code);
                  if (version != nullptr && !code) instance.version = number;
                });
  }
  io.run();
}

result<std::string> show_registry(const registry_state& state, const std::string& service) {
  std::string text = in_force_text(state);
  bool found = service.empty();
  for (const auto& declared : state.desired.services) {
    if (!service.empty() && declared.name.value != service) continue;
    found = true;
    text += "\n" + declared.name.value + (declared.keyed ? ", divided by key\n" : "\n");
    text += show_upstreams(state, declared) + show_routes(state, declared);
    const auto* record = record_of(state, declared.name);
    if (declared.keyed && record != nullptr) text += show_owners(*record);
  }
  if (found) return text;
  std::string known;
  for (const auto& declared : state.desired.services) known += " " + declared.name.value;
  return error{errc::not_found, step::table, "",
               "found service \"" + service + "\", the desired state has:" + known};
}

std::vector<finding> find_registry_faults(const registry_state& state) {
  std::vector<finding> found;
  for (const auto& service : state.desired.services) {
    const auto serves = [&](const auto& u) {
      return u.service == service.name && !u.leaving && !state.evacuated.contains(u.domain);
    };
    if (std::none_of(state.upstreams.begin(), state.upstreams.end(), serves)) {
      found.push_back({fault::no_active_upstream, service.name.value,
                       service.name.value + ": no upstream is registered and stays", ""});
    }
    if (service.keyed) find_key_faults(state, service, found);
  }
  for (const auto& upstream : state.upstreams) {
    if (!upstream.leaving) continue;
    found.push_back({fault::drain_under_way, upstream.id.value,
                     upstream.id.value + " of " + upstream.service.value + " leaves", ""});
  }
  for (const auto& domain : state.evacuated) {
    const auto upstreams =
        std::count_if(state.upstreams.begin(), state.upstreams.end(),
                      [&](const auto& upstream) { return upstream.domain == domain; });
    found.push_back({fault::drain_under_way, domain.value,
                     "failure domain " + domain.value + " is evacuated, with " +
                         std::to_string(upstreams) + " upstreams",
                     ""});
  }
  for (const auto& instance : state.instances) {
    if (!instance.version) {
      found.push_back({fault::instance_silent, instance.name,
                       instance.name + " doesn't answer at " + instance.peers, ""});
    } else if (*instance.version < state.desired.version) {
      found.push_back({fault::table_behind, instance.name,
                       instance.name + " has version " + std::to_string(*instance.version) +
                           " of the desired state in force, " +
                           std::to_string(state.desired.version) + " is wanted",
                       ""});
    }
  }
  if (state.instances.empty()) {
    found.push_back({fault::no_instance_answers, "", "no instance is registered", ""});
  }
  for (const auto& bad : state.unreadable) {
    found.push_back({fault::store_unreadable, "", to_string(bad), ""});
  }
  std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return severity_of(a.what) < severity_of(b.what);
  });
  return found;
}

std::string show_registry_status(const registry_state& state) {
  sheet lines({"instance", "peers", "state", "version in force"});
  for (const auto& instance : state.instances) {
    lines.add({instance.name, instance.peers, instance.version ? "live" : "silent",
               instance.version ? std::to_string(*instance.version) : ""});
  }
  return show_findings(find_registry_faults(state)) + in_force_text(state) + lines.text("");
}

}  // namespace plantainpaddle
