#include "standin/platform.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <map>
#include <random>

#include "base/json.h"
#include "http/server.h"
#include "platform/instance_list.h"
#include "standin/etcd_api.h"
#include "standin/item_api.h"
#include "standin/kv_store.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_body_bytes = 4 << 20;
constexpr std::size_t max_watches = 10'000;
constexpr std::size_t max_list_versions = 1000;
constexpr duration expire_period = milliseconds(50);
constexpr duration progress_period = seconds(5);
constexpr std::int64_t max_ms = 3'600'000;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_too_many = 429;
// A connection whose answer was lost stays open and says nothing for so long.
constexpr duration silence = seconds(5);
constexpr unsigned status_no_answer = 0;  // http_server closes the connection

enum class down_mode { no, refuse, hang };

struct platform_faults {
  down_mode down = down_mode::no;
  duration slow{0};
  std::uint64_t lose_answers = 0;      // of the next writes
  double lose_share = 0;               // of all writes' answers
  bool stale_watch = false;            // watches stay open and say nothing
  std::uint64_t reads_per_second = 0;  // 0: no limit
  std::uint64_t writes_per_second = 0;
  duration list_lag{0};
  double late_share = 0;                 // of writes that get no answer and are carried out late
  duration late{0};                      // by so much
  std::vector<std::string> turned_away;  // addresses of this store at which it answers 503
};

struct call_counters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;  // begun; each counted as a read too
  std::uint64_t limited = 0;
  std::uint64_t lost_answers = 0;
};

// Calls in the running second, against a limit.
class second_window {
 public:
  bool take(std::uint64_t limit, monotonic_time now) {
    const auto second = now.time_since_epoch() / seconds(1);
    if (second != second_) count_ = 0;
    second_ = second;
    ++count_;
    return limit == 0 || count_ <= limit;
  }

 private:
  std::int64_t second_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace

struct platform_standin::impl : std::enable_shared_from_this<platform_standin::impl> {
  explicit impl(asio::any_io_executor e)
      : executor(e), server(e), control(e), changed(e), expire_timer(e) {
    changed.expires_at(asio::steady_timer::time_point::max());
  }

  struct list_version {
    monotonic_time since{};
    std::vector<instance_info> list;
  };

  asio::any_io_executor executor;
  http_server server;
  http_server control;
  std::string address;
  asio::steady_timer changed;  // cancelled to wake watches and calls that hang
  asio::steady_timer expire_timer;
  bool closed = false;
  kv_store store;
  platform_faults faults;
  call_counters counters;
  second_window reads;
  second_window writes;
  struct store_copy {
    kv_store store;
    monotonic_time made{};
  };
  std::optional<store_copy> copy;
  std::uint64_t era = 1;
  std::size_t waiting_watches = 0;
  std::deque<list_version> lists{list_version{}};
  std::map<std::string, std::uint64_t> entry_leases;  // of upstreams' entries
  std::mt19937_64 random{1};

  void wake() { changed.cancel(); }

  asio::awaitable<void> expire_loop() {
    const auto self = shared_from_this();
    while (!closed) {
      const std::uint64_t before = store.revision();
      store.expire(monotonic_now());
      if (store.revision() != before) wake();
      expire_timer.expires_after(expire_period);
      co_await expire_timer.async_wait(as_result);
    }
  }

  // Instances.

  std::string shown_list(monotonic_time now) {
    const monotonic_time at = now - faults.list_lag;
    const list_version* shown = &lists.front();
    for (const auto& version : lists) {
      if (version.since <= at) shown = &version;
    }
    return format_instance_list(shown->list);
  }

  http_response set_list(const std::string& body) {
    auto list = parse_instance_list(body);
    if (!list) return etcd_error(400, to_string(list.error()));
    lists.push_back({monotonic_now(), std::move(*list)});
    if (lists.size() > max_list_versions) lists.pop_front();
    return json_response(200, "{}");
  }

  // Control.

  http_response set_faults(const std::string& body) {
    const auto value = parse_json(body, step::settings, max_body_bytes);
    if (!value) return etcd_error(400, to_string(value.error()));
    error_list errors;
    object_reader reader(*value, "$", step::settings, errors);
    platform_faults next = faults;
    next.down = static_cast<down_mode>(
        reader.choice("down", {"no", "refuse", "hang"}, static_cast<std::size_t>(faults.down)));
    const auto read_ms = [&](std::string_view name, duration now) -> duration {
      return milliseconds(reader.integer(name, 0, max_ms, now / milliseconds(1)));
    };
    next.slow = read_ms("slow_ms", faults.slow);
    next.list_lag = read_ms("list_lag_ms", faults.list_lag);
    next.lose_answers = reader.unsigned_integer("lose_answers", faults.lose_answers);
    next.lose_share = reader.number("lose_share", 0, 1, faults.lose_share);
    next.stale_watch = reader.boolean("stale_watch", faults.stale_watch);
    next.reads_per_second = reader.unsigned_integer("reads_per_second", faults.reads_per_second);
    next.writes_per_second = reader.unsigned_integer("writes_per_second", faults.writes_per_second);
    next.late_share = reader.number("late_share", 0, 1, faults.late_share);
    next.late = read_ms("late_ms", faults.late);
    if (reader.array("turned_away", false) != nullptr) {
      next.turned_away = reader.texts("turned_away", false);
    }
    const std::uint64_t lapse = reader.unsigned_integer("lapse_lease", 0);
    const std::uint64_t compact = reader.unsigned_integer("compact", 0);
    const bool copies = reader.boolean("copy", false);
    const bool restores = reader.boolean("restore", false);
    reader.finish();
    if (!errors.empty()) return etcd_error(400, to_string(join_errors(errors)));
    if (restores && !copy) return etcd_error(400, "there is no copy");
    const down_mode before = faults.down;
    faults = next;
    if (copies) copy = store_copy{store, monotonic_now()};
    if (restores) restore();
    if (lapse != 0) store.revoke_lease(lapse);
    if (compact != 0) store.compact(compact);
    // Not before the answer is on its way: it may use a connection of the server that closes.
    if (faults.down != before) {
      asio::post(executor, [self = shared_from_this(), before] { self->follow_down(before); });
    }
    wake();
    return json_response(200, "{}");
  }

  void follow_down(down_mode before) {
    if (closed || faults.down == before) return;
    if (faults.down == down_mode::refuse) return server.close();
    if (before != down_mode::refuse) return;
    server.listen(address, [self = shared_from_this()](http_request request) {
      return self->serve(std::move(request));
    });
  }

  void restore() {
    store.restore(copy->store, monotonic_now() - copy->made);
    entry_leases.clear();
    ++era;
  }

  http_response show_counters() const {
    return json_response(200, json::serialize(json::object{{"reads", counters.reads},
                                                           {"writes", counters.writes},
                                                           {"watches", counters.watches},
                                                           {"waiting_watches", waiting_watches},
                                                           {"limited", counters.limited},
                                                           {"lost_answers", counters.lost_answers},
                                                           {"leases", store.lease_count()},
                                                           {"revision", store.revision()},
                                                           {"compacted", store.compacted()}}));
  }

  std::optional<http_response> serve_control(const http_request& request) {
    if (request.target == "/control/instances") return set_list(request.body);
    if (request.target == "/control/faults") return set_faults(request.body);
    if (request.target == "/control/counters") return show_counters();
    if (request.target == "/control/items") return write_item(request.body);
    return std::nullopt;
  }

  // What operators and upstreams write; an upstream's entry lapses without a next one.
  http_response write_item(const std::string& body) {
    kv_put put;
    duration lifetime{0};
    bool removed = false;
    const auto parsed =
        read_object(body, step::settings, max_body_bytes, [&](object_reader& reader) {
          put.key = reader.text("key");
          put.value = reader.text("value", "");
          removed = reader.boolean("removed", false);
          lifetime = milliseconds(reader.integer("lifetime_ms", 0, max_ms, 0));
        });
    if (!parsed) return etcd_error(400, to_string(parsed.error()));
    if (faults.down != down_mode::no && lifetime.count() != 0) {
      return etcd_error(status_unavailable, "the store is down");
    }
    if (lifetime.count() != 0) put.lease = keep_entry(put.key, lifetime);
    const bool done = removed ? store.commit({}, {put.key}) : store.commit({put}, {});
    wake();
    if (!done) return etcd_error(400, "no room for the value");
    return json_response(200, json::serialize(json::object{{"revision", store.revision()}}));
  }

  std::uint64_t keep_entry(const std::string& key, duration lifetime) {
    const monotonic_time now = monotonic_now();
    std::uint64_t& lease = entry_leases[key];
    if (lease == 0 || !store.keep_alive(lease, now)) lease = store.grant_lease(0, lifetime, now);
    return lease;
  }

  // Calls.

  // False: the rate is used up.
  bool account(call_kind kind, monotonic_time now) {
    const bool writes_now = kind == call_kind::write;
    ++(writes_now ? counters.writes : counters.reads);
    const bool allowed = writes_now ? writes.take(faults.writes_per_second, now)
                                    : reads.take(faults.reads_per_second, now);
    if (!allowed) ++counters.limited;
    return allowed;
  }

  bool loses_answer(call_kind kind) {
    if (kind != call_kind::write) return false;
    const bool ordered = faults.lose_answers > 0;
    if (ordered) --faults.lose_answers;
    const bool loses =
        ordered || std::uniform_real_distribution<double>()(random) < faults.lose_share;
    if (loses) ++counters.lost_answers;
    return loses;
  }

  asio::awaitable<void> sleep(duration length) {
    if (length.count() == 0) co_return;
    asio::steady_timer timer(executor);
    timer.expires_after(length);
    co_await timer.async_wait(as_result);
  }

  asio::awaitable<http_response> serve(http_request request) {
    const auto self = shared_from_this();
    if (auto answer = serve_control(request)) co_return std::move(*answer);
    const http_response none = {status_no_answer, {}, "", {}};
    if (faults.down != down_mode::no) {
      while (faults.down != down_mode::no && !closed) co_await changed.async_wait(as_result);
      co_return none;
    }
    co_await sleep(faults.slow / 2);
    const monotonic_time now = monotonic_now();
    if (request.target == "/v1/instances") co_return json_response(200, shown_list(now));
    if (request.target.starts_with("/api/")) co_return co_await serve_items(std::move(request));
    const call_kind kind = kind_of_call(request.target);
    if (kind == call_kind::unknown) co_return etcd_error(404, "no such call");
    if (!account(kind, now)) co_return etcd_error(429, "etcdserver: too many requests");
    const auto body = parse_json(request.body, step::store, max_body_bytes);
    if (!body || !body->is_object()) co_return etcd_error(400, "not a JSON object");
    if (request.target == "/v3/watch") co_return watch(body->as_object());
    const std::uint64_t before = store.revision();
    http_response answer = etcd_call(store, request.target, body->as_object(), now);
    if (store.revision() != before) wake();
    co_await sleep(faults.slow - faults.slow / 2);
    if (loses_answer(kind)) co_return none;
    co_return answer;
  }

  // The metadata store.

  bool turns_away(const std::string& at) const {
    return std::find(faults.turned_away.begin(), faults.turned_away.end(), at) !=
           faults.turned_away.end();
  }

  asio::awaitable<http_response> serve_items(http_request request) {
    http_response answer = co_await answer_items(std::move(request));
    add_era(answer, era);
    co_return answer;
  }

  asio::awaitable<http_response> answer_items(http_request request) {
    const http_response none = {status_no_answer, {}, "", {}};
    const auto call = parse_item_call(request);
    if (!call) {
      const bool unknown = call.error().code == errc::not_found;
      co_return format_item_error(unknown ? 404 : 400, call.error().detail);
    }
    if (turns_away(request.arrived_at)) {
      co_return format_item_error(status_unavailable, "turned away");
    }
    const bool writes_now = is_write(*call);
    const call_kind kind = writes_now ? call_kind::write : call_kind::read;
    if (!account(kind, monotonic_now())) {
      co_return format_item_error(status_too_many, "too many calls");
    }
    if (const auto* waiting = std::get_if<item_call::watch>(&*call)) {
      co_return co_await wait_for_events(*waiting);
    }
    if (writes_now && std::uniform_real_distribution<double>()(random) < faults.late_share) {
      ++counters.lost_answers;
      asio::co_spawn(executor, carry_out_late(*call), asio::detached);
      co_await sleep(silence);
      co_return none;
    }
    http_response answer = carry_out(*call);
    co_await sleep(faults.slow - faults.slow / 2);
    if (loses_answer(kind)) {
      co_await sleep(silence);
      co_return none;
    }
    co_return answer;
  }

  http_response carry_out(const any_item_call& call) {
    const std::uint64_t before = store.revision();
    auto answer = answer_item_call(store, call, monotonic_now());
    if (store.revision() != before) wake();
    return answer ? std::move(*answer) : answer_no_events(store);
  }

  asio::awaitable<void> carry_out_late(any_item_call call) {
    const auto self = shared_from_this();
    co_await sleep(faults.late);
    if (!closed) carry_out(call);
  }

  asio::awaitable<http_response> wait_for_events(item_call::watch call) {
    const auto self = shared_from_this();
    ++counters.watches;
    ++waiting_watches;
    const monotonic_time until = monotonic_now() + call.wait;
    std::optional<http_response> answer;
    asio::steady_timer over(executor);
    over.expires_after(call.wait);
    over.async_wait([self](const boost::system::error_code& code) {
      if (!code) self->wake();
    });
    while (true) {
      if (!faults.stale_watch && faults.down == down_mode::no) {
        answer = answer_item_call(store, call, monotonic_now());
      }
      if (answer || closed || monotonic_now() >= until) break;
      co_await changed.async_wait(as_result);
    }
    --waiting_watches;
    co_return answer ? std::move(*answer) : answer_no_events(store);
  }

  // Watches of the etcd form.

  struct watch_state {
    std::shared_ptr<impl> self;
    std::string key;
    std::string end;
    std::uint64_t next = 0;
    bool created = false;
    bool cancelled = false;
    monotonic_time last_line{};

    watch_state(std::shared_ptr<impl> s, std::string k, std::string e, std::uint64_t n)
        : self(std::move(s)), key(std::move(k)), end(std::move(e)), next(n) {
      ++self->waiting_watches;
    }
    watch_state(const watch_state&) = delete;
    watch_state& operator=(const watch_state&) = delete;
    ~watch_state() { --self->waiting_watches; }

    std::string line(json::object result) {
      last_line = monotonic_now();
      result["header"] = etcd_header(self->store);
      return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
    }

    // The next line that is due now.
    std::optional<std::string> due() {
      if (!created) {
        created = true;
        return line({{"created", true}});
      }
      if (self->faults.stale_watch || self->faults.down != down_mode::no) return std::nullopt;
      const auto changes = self->store.events(key, end, next);
      if (!changes) {
        cancelled = true;
        return line({{"canceled", true},
                     {"compact_revision", std::to_string(self->store.compacted())},
                     {"cancel_reason", "etcdserver: mvcc: required revision has been compacted"}});
      }
      next = self->store.revision() + 1;
      if (!changes->empty()) {
        json::array events;
        for (const auto& change : *changes) events.push_back(etcd_event(change));
        return line({{"events", std::move(events)}});
      }
      if (monotonic_now() >= last_line + progress_period) return line({});
      return std::nullopt;
    }
  };

  http_response watch(const json::object& body) {
    const auto* create = body.if_contains("create_request");
    if (create == nullptr || !create->is_object()) return etcd_error(400, "no create_request");
    if (waiting_watches >= max_watches) return etcd_error(429, "etcdserver: too many watches");
    const auto& wanted = create->as_object();
    std::uint64_t from = etcd_number(wanted, "start_revision");
    if (from == 0) from = store.revision() + 1;
    ++counters.watches;
    auto state = std::make_shared<watch_state>(shared_from_this(), etcd_bytes(wanted, "key"),
                                               etcd_bytes(wanted, "range_end"), from);
    http_response response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.stream = [state]() -> asio::awaitable<std::optional<std::string>> {
      const auto self = state->self;
      while (!state->cancelled && !self->closed) {
        if (auto line = state->due()) co_return line;
        asio::steady_timer progress(self->executor);
        progress.expires_after(progress_period);
        progress.async_wait([self](const boost::system::error_code& code) {
          if (!code) self->wake();
        });
        co_await self->changed.async_wait(as_result);
      }
      co_return std::nullopt;
    };
    return response;
  }
};

platform_standin::platform_standin(asio::any_io_executor executor)
    : impl_(std::make_shared<impl>(std::move(executor))) {}

platform_standin::~platform_standin() { close(); }

void platform_standin::close() {
  impl_->closed = true;
  impl_->server.close();
  impl_->control.close();
  impl_->expire_timer.cancel();
  impl_->wake();
}

result<std::string> platform_standin::listen(const std::string& address) {
  auto used = impl_->server.listen(
      address, [self = impl_](http_request request) { return self->serve(std::move(request)); });
  if (!used) return used;
  impl_->address = *used;
  asio::co_spawn(impl_->executor, impl_->expire_loop(), asio::detached);
  return used;
}

result<std::string> platform_standin::listen_control(const std::string& address) {
  return impl_->control.listen(
      address, [self = impl_](http_request request) -> asio::awaitable<http_response> {
        auto answer = self->serve_control(request);
        co_return answer ? std::move(*answer) : etcd_error(404, "no such page");
      });
}

}  // namespace plantainpaddle
