#include "entry/control.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <future>
#include <random>
#include <thread>

#include "base/log.h"
#include "entry/state_cache.h"
#include "ownership/layout.h"
#include "ownership/rendezvous.h"
#include "ownership/standby.h"
#include "peer/network.h"
#include "platform/instance_list.h"
#include "platform/store_client.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration tick_period = milliseconds(20);
constexpr duration list_period = seconds(1);
constexpr duration digest_period = seconds(1);
constexpr duration list_timeout = milliseconds(800);
constexpr duration peer_timeout = milliseconds(500);
constexpr duration resync_period = seconds(2);  // pause after a failed read of the store
constexpr std::size_t max_push_bytes = 4 << 20;
constexpr std::size_t watchers_per_domain = 2;  // the watcher and its deputy

}  // namespace

struct control_plane::impl {
  impl(entry_settings s, metrics& m, snapshot_handler handler)
      : settings(std::move(s)),
        counters(m),
        on_snapshot(std::move(handler)),
        work(asio::make_work_guard(io)),
        timer(io),
        store(io.get_executor(), {settings.store}),
        http(io.get_executor()),
        self(make_instance_id(settings.name, random_number())),
        cache(settings.cluster),
        random(random_number()),
        network(
            {settings.listen_peers, {settings.cluster, 1, settings.region, self, settings.domain}},
            [this](const peer_identity& from, peer_request request, peer_replier reply) {
              asio::post(io, [this, from, request = std::move(request),
                              reply = std::move(reply)]() mutable {
                serve_peer(from, std::move(request), reply);
              });
            }) {}

  entry_settings settings;
  metrics& counters;
  snapshot_handler on_snapshot;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer timer;
  store_client store;
  http_client http;
  instance_id self;
  state_cache cache;
  std::mt19937_64 random;
  std::vector<instance_info> instances;
  std::map<std::string, instance_id> lives;  // by instance name, as peers told
  standby_memory standbys;
  std::map<cell_id, std::unique_ptr<assigner>> assigners;
  std::map<cell_id, cell_inputs> inputs;
  std::map<cell_id, monotonic_time> restart_after;  // no new try as assigner before
  std::shared_ptr<void> watching;
  bool reading_state = false;
  monotonic_time next_read{};
  monotonic_time next_list{};
  monotonic_time next_digest{};
  bool state_changed = true;
  std::thread thread;
  peer_network network;  // last: its thread calls into the members above

  void run_tick();
  void schedule();
  void fetch_list(monotonic_time now);
  void follow_store(monotonic_time now);
  void start_watch(std::uint64_t after_revision);
  void exchange_digest(monotonic_time now);
  void apply_item(const state_item& item, bool spread);
  void publish_snapshot();
  void create_layouts();
  void write_layout(const service_table& declared);
  void update_roles(monotonic_time now);
  void update_role(const service_table& declared, const service_layout& layout, const cell_id& cell,
                   monotonic_time now);
  bool should_start(const cell_id& cell, const std::vector<std::string>& order, monotonic_time now);
  cell_inputs inputs_of(const service_table& declared, const service_layout& layout,
                        const cell_id& cell, const std::vector<std::string>& order) const;
  std::vector<std::string> live_names(const domain_id& domain) const;
  const instance_info* find_instance(const std::string& name) const;
  void feed(const cell_id& cell, const assigner_event& event);
  void carry_out(const cell_id& cell, const send_order& action);
  void carry_out(const cell_id& cell, const ask_standby& action);
  void carry_out(const cell_id& cell, const remember_term& action);
  void carry_out(const cell_id& cell, const publish_moving& action);
  void carry_out(const cell_id& cell, const read_record& action);
  void carry_out(const cell_id& cell, const write_record& action);
  void carry_out(const cell_id& cell, const publish_record& action);
  void carry_out(const cell_id& cell, const retire& action);
  void push_to_all(const state_push& push);
  void serve_peer(const peer_identity& from, peer_request request, const peer_replier& reply);
  std::string describe_here() const;
};

control_plane::control_plane(entry_settings settings, metrics& counters,
                             snapshot_handler on_snapshot)
    : impl_(std::make_unique<impl>(std::move(settings), counters, std::move(on_snapshot))) {}

control_plane::~control_plane() { stop(); }

result<std::string> control_plane::start() {
  auto address = impl_->network.start();
  if (!address) return address;
  impl_->lives[impl_->settings.name] = impl_->self;
  impl_->thread = std::thread([this] {
    impl_->schedule();
    impl_->io.run();
  });
  return address;
}

void control_plane::stop() {
  if (!impl_->thread.joinable()) return;
  impl_->io.stop();
  impl_->thread.join();
}

std::string control_plane::describe() {
  std::promise<std::string> promise;
  auto text = promise.get_future();
  asio::post(impl_->io, [&] { promise.set_value(impl_->describe_here()); });
  return text.get();
}

void control_plane::impl::schedule() {
  timer.expires_after(tick_period);
  timer.async_wait([this](const boost::system::error_code& code) {
    if (code) return;
    run_tick();
    schedule();
  });
}

void control_plane::impl::run_tick() {
  const monotonic_time now = monotonic_now();
  fetch_list(now);
  follow_store(now);
  exchange_digest(now);
  if (state_changed) {
    state_changed = false;
    publish_snapshot();
    create_layouts();
  }
  update_roles(now);
  std::vector<cell_id> cells;
  for (const auto& [cell, unused] : assigners) cells.push_back(cell);
  for (const auto& cell : cells) feed(cell, tick{});
}

// Instances.

void control_plane::impl::fetch_list(monotonic_time now) {
  if (now < next_list) return;
  next_list = now + list_period;
  fetch_instances(http, settings.instances, list_timeout,
                  [this](result<std::vector<instance_info>> list) {
                    if (list) instances = std::move(*list);
                  });
}

std::vector<std::string> control_plane::impl::live_names(const domain_id& domain) const {
  std::vector<std::string> names;
  for (const auto& info : instances) {
    if (info.domain == domain && info.state == instance_state::live) names.push_back(info.name);
  }
  return names;
}

const instance_info* control_plane::impl::find_instance(const std::string& name) const {
  for (const auto& info : instances) {
    if (info.name == name) return &info;
  }
  return nullptr;
}

// State.

// The watcher of the failure domain and its deputy follow the store; the others get pushes and
// digests.
void control_plane::impl::follow_store(monotonic_time now) {
  const auto order = rendezvous_order("watcher", live_names(settings.domain));
  const auto place = std::find(order.begin(), order.end(), settings.name);
  const bool follows =
      place != order.end() && place - order.begin() < std::ptrdiff_t{watchers_per_domain};
  if (!follows) {
    watching.reset();
    return;
  }
  if (watching || reading_state || now < next_read) return;
  reading_state = true;
  next_read = now + resync_period;
  store.range(cache.keys().prefix, [this](result<range_answer> answer) {
    reading_state = false;
    if (!answer) return log_error(log_level::warning, answer.error());
    for (auto& value : answer->values) apply_item({value.key, value.version, value.value}, true);
    start_watch(answer->revision);
  });
}

void control_plane::impl::start_watch(std::uint64_t after_revision) {
  watching = store.watch(
      cache.keys().prefix, after_revision, [this](result<std::vector<watch_event>> events) {
        if (!events) {
          // Not from within the watch's own call.
          asio::post(io, [this] { watching.reset(); });
          return;
        }
        for (const auto& event : *events) {
          if (event.removed) continue;
          apply_item({event.value.key, event.value.version, event.value.value}, true);
        }
      });
}

void control_plane::impl::exchange_digest(monotonic_time now) {
  if (now < next_digest) return;
  next_digest = now + digest_period;
  std::vector<const instance_info*> others;
  for (const auto& info : instances) {
    if (info.name != settings.name) others.push_back(&info);
  }
  if (others.empty()) return;
  const auto* chosen = others[random() % others.size()];
  network.call(chosen->peers, cache.digest(), peer_timeout, [this](result<peer_answer> answer) {
    if (!answer) return;
    asio::post(io, [this, answer = std::move(*answer)] {
      lives[instance_name(answer.from.instance)] = answer.from.instance;
      if (const auto* push = std::get_if<state_push>(&answer.reply)) {
        for (const auto& item : push->items) apply_item(item, false);
      }
    });
  });
}

void control_plane::impl::apply_item(const state_item& item, bool spread) {
  const auto applied = cache.apply(item);
  if (!applied) return log_error(log_level::error, applied.error());
  if (!*applied) return;
  state_changed = true;
  if (spread) push_to_all({{item}});
}

void control_plane::impl::push_to_all(const state_push& push) {
  for (const auto& info : instances) {
    if (info.name == settings.name) continue;
    network.call(info.peers, push, peer_timeout, [](const result<peer_answer>&) {});
  }
}

void control_plane::impl::publish_snapshot() {
  auto made = std::make_shared<routing_snapshot>();
  for (const auto& [name, declared] : cache.tables()) {
    std::vector<cell_record> cells;
    for (const auto& [cell, known] : cache.cells()) {
      if (known.record.service == name) cells.push_back(known.record);
    }
    made->services.push_back(make_service_snapshot(declared, cells));
  }
  on_snapshot(std::move(made));
}

// Layouts.

void control_plane::impl::create_layouts() {
  for (const auto& [name, declared] : cache.tables()) {
    if (!declared.service.keyed || cache.layouts().contains(name)) continue;
    std::vector<std::string> names;
    for (const auto& info : instances) names.push_back(info.name);
    const auto order = rendezvous_order(name.value, std::move(names));
    if (!order.empty() && order.front() == settings.name) write_layout(declared);
    state_changed = true;  // look again until there is one
  }
}

void control_plane::impl::write_layout(const service_table& declared) {
  service_layout layout = make_layout(declared);
  layout.mark = {self, random()};
  const std::string key = cache.keys().layout(declared.service.name);
  const std::string value = format_service_layout(layout);
  store.compare_and_swap(key, 0, value, [this, key, value](result<swap_answer> answer) {
    if (!answer) return log_error(log_level::warning, answer.error());
    apply_item({key, answer->version, answer->written ? value : answer->value.value_or("")}, true);
  });
}

// Roles.

void control_plane::impl::update_roles(monotonic_time now) {
  for (const auto& [name, layout] : cache.layouts()) {
    const auto declared = cache.tables().find(name);
    if (declared == cache.tables().end()) continue;
    for (const auto& cell : layout.cells) {
      if (domain_of(cell) == settings.domain) update_role(declared->second, layout, cell, now);
    }
  }
}

void control_plane::impl::update_role(const service_table& declared, const service_layout& layout,
                                      const cell_id& cell, monotonic_time now) {
  const auto order = rendezvous_order(cell.value, live_names(settings.domain));
  const auto acting = assigners.find(cell);
  if (acting == assigners.end()) {
    if (now < restart_after[cell] || !should_start(cell, order, now)) return;
    assigner_config config;
    config.cell = cell;
    config.self = self;
    config.timing.grant = declared.service.grant;
    config.timing.renew = declared.service.renew;
    config.timing.hold = declared.service.hold;
    config.seed = random();
    assigners[cell] = std::make_unique<assigner>(config, now);
    inputs.erase(cell);
    log_line(log_level::info, {.message = "starts as assigner of " + cell.value,
                               .at = step::ownership,
                               .service = declared.service.name.value});
  }
  cell_inputs wanted = inputs_of(declared, layout, cell, order);
  const auto known = inputs.find(cell);
  if (known != inputs.end() && known->second == wanted) return;
  inputs[cell] = wanted;
  feed(cell, inputs_changed{std::move(wanted)});
}

bool control_plane::impl::should_start(const cell_id& cell, const std::vector<std::string>& order,
                                       monotonic_time now) {
  const auto known = cache.cells().find(cell);
  const bool is_first = !order.empty() && order.front() == settings.name;
  if (known == cache.cells().end()) return is_first;
  const cell_record& record = known->second.record;
  if (standbys.should_take_over(record, self, {}, now)) return true;
  // Nobody named in the record is alive in that life any more: the first of the list takes over.
  const auto is_gone = [&](const instance_id& id) {
    const auto life = lives.find(instance_name(id));
    return (life != lives.end() && life->second != id) ||
           std::find(order.begin(), order.end(), instance_name(id)) == order.end();
  };
  return is_first && is_gone(record.assigner) &&
         std::all_of(record.standbys.begin(), record.standbys.end(), is_gone);
}

cell_inputs control_plane::impl::inputs_of(const service_table& declared,
                                           const service_layout& layout, const cell_id& cell,
                                           const std::vector<std::string>& order) const {
  cell_inputs made;
  for (const auto& row : declared.upstreams) {
    if (cell_of(declared, row) == cell) made.upstreams.push_back(row);
  }
  made.home = home_shards(layout, cell);
  for (const auto& name : order) {
    const auto life = lives.find(name);
    if (name != settings.name && life != lives.end())
      made.standby_candidates.push_back(life->second);
  }
  made.move_budget = 4;
  made.imbalance_weight = declared.service.imbalance_weight;
  made.churn_weight = declared.service.churn_weight;
  made.unavailable_weight = declared.service.unavailable_weight;
  return made;
}

// Assigners.

void control_plane::impl::feed(const cell_id& cell, const assigner_event& event) {
  const auto place = assigners.find(cell);
  if (place == assigners.end()) return;
  for (const auto& action : place->second->handle(event, monotonic_now())) {
    std::visit([&](const auto& a) { carry_out(cell, a); }, action);
  }
}

void control_plane::impl::carry_out(const cell_id& cell, const send_order& action) {
  const auto declared = cache.tables().find(service_of(cell));
  if (declared == cache.tables().end()) return;
  for (const auto& row : declared->second.upstreams) {
    if (row.name != action.to) continue;
    http_request request{"POST", std::string(grant_target), {}, format_grant_order(action.order)};
    http.send(row.address, std::move(request), ownership_timing{}.attempt_timeout,
              [this, cell, number = action.request](result<http_response> answer) {
                grant_replied event{number, error{errc::protocol, step::grant, "", "no answer"}};
                if (!answer) {
                  event.answer = answer.error();
                } else if (answer->status == 200) {
                  event.answer = parse_grant_answer(answer->body);
                }
                feed(cell, event);
              });
  }
}

void control_plane::impl::carry_out(const cell_id& cell, const ask_standby& action) {
  const auto* info = find_instance(instance_name(action.to));
  if (info == nullptr) return;
  network.call(info->peers, action.question, ownership_timing{}.attempt_timeout,
               [this, cell, action](result<peer_answer> answer) {
                 question_replied event{action.request,
                                        error{errc::unavailable, step::peer, action.to.value, ""}};
                 if (answer && answer->from.instance == action.to) {
                   if (const auto* reply = std::get_if<term_answer>(&answer->reply)) {
                     event.answer = *reply;
                   }
                 }
                 asio::post(io, [this, cell, event] { feed(cell, event); });
               });
}

void control_plane::impl::carry_out(const cell_id&, const remember_term& action) {
  standbys.remember(action.question, monotonic_now());
}

void control_plane::impl::carry_out(const cell_id&, const publish_moving&) {}

void control_plane::impl::carry_out(const cell_id& cell, const read_record& action) {
  store.get(cache.keys().cell(cell),
            [this, cell, action](result<std::optional<stored_value>> answer) {
              if (!answer) return feed(cell, store_replied{action.request, answer.error()});
              stored_record found;
              if (*answer) {
                auto record = parse_cell_record((*answer)->value);
                if (!record) return feed(cell, store_replied{action.request, record.error()});
                found.record = std::move(*record);
                found.version = (*answer)->version;
              }
              feed(cell, store_replied{action.request, std::move(found)});
            });
}

void control_plane::impl::carry_out(const cell_id& cell, const write_record& action) {
  const std::string key = cache.keys().cell(cell);
  const std::string value = format_cell_record(action.record);
  store.compare_and_swap(key, action.expected_version, value,
                         [this, cell, action, key, value](result<swap_answer> answer) {
                           if (!answer)
                             return feed(cell, store_replied{action.request, answer.error()});
                           stored_record found;
                           found.written = answer->written;
                           found.version = answer->version;
                           if (answer->written) {
                             found.record = action.record;
                             apply_item({key, answer->version, value}, true);
                           } else if (answer->value) {
                             auto record = parse_cell_record(*answer->value);
                             if (!record)
                               return feed(cell, store_replied{action.request, record.error()});
                             found.record = std::move(*record);
                           }
                           feed(cell, store_replied{action.request, std::move(found)});
                         });
}

void control_plane::impl::carry_out(const cell_id&, const publish_record&) { state_changed = true; }

void control_plane::impl::carry_out(const cell_id& cell, const retire& action) {
  log_line(log_level::warning,
           {.message = "no longer assigner of " + cell.value + ": " + action.reason,
            .at = step::ownership});
  restart_after[cell] = monotonic_now() + seconds(1);
  // The assigner is in a call: remove it afterwards.
  asio::post(io, [this, cell] { assigners.erase(cell); });
}

// Peers.

void control_plane::impl::serve_peer(const peer_identity& from, peer_request request,
                                     const peer_replier& reply) {
  lives[instance_name(from.instance)] = from.instance;
  if (const auto* question = std::get_if<term_question>(&request)) {
    reply(standbys.handle(*question, monotonic_now()));
  } else if (const auto* push = std::get_if<state_push>(&request)) {
    for (const auto& item : push->items) apply_item(item, false);
    reply(acknowledgement{});
  } else if (const auto* digest = std::get_if<state_digest>(&request)) {
    reply(cache.newer_than(*digest, max_push_bytes));
  } else {
    reply(acknowledgement{false});
  }
}

std::string control_plane::impl::describe_here() const {
  const monotonic_time now = monotonic_now();
  boost::json::object out{{"instance", self.value}, {"domain", settings.domain.value}};
  boost::json::object tables;
  for (const auto& [name, declared] : cache.tables()) tables[name.value] = declared.revision.value;
  out["tables"] = std::move(tables);
  boost::json::array cells;
  for (const auto& [cell, known] : cache.cells()) {
    boost::json::object line{{"cell", cell.value},
                             {"term", known.record.term.value},
                             {"revision", known.record.revision.value},
                             {"assigner", known.record.assigner.value}};
    std::map<std::string, int> owners;
    for (const auto& [shard, entry] : known.record.shards) {
      ++owners[entry.owner ? entry.owner->value : std::string("nobody")];
    }
    boost::json::object counts;
    for (const auto& [owner, count] : owners) counts[owner] = count;
    line["shards"] = std::move(counts);
    if (const auto acting = assigners.find(cell); acting != assigners.end()) {
      line["phase"] = phase_name(acting->second->phase());
      line["has_right"] = acting->second->has_right(now);
      line["moves"] = acting->second->moves_under_way();
      boost::json::array suspected;
      for (const auto& name : acting->second->suspected(now)) {
        suspected.push_back(boost::json::string(name.value));
      }
      line["suspected"] = std::move(suspected);
    }
    cells.push_back(std::move(line));
  }
  out["cells"] = std::move(cells);
  return boost::json::serialize(out);
}

}  // namespace plantainpaddle
