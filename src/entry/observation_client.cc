#include "entry/observation_client.h"

#include <set>

#include "base/log.h"
#include "entry/observation_messages.h"

namespace plantainpaddle {

namespace {

// Without an answer by then, the next instance in order is asked, so that a collector that hangs is
// replaced within two periods of messages and this, which is well below a second.
constexpr duration ask_timeout = milliseconds(250);
// After a gap of this length between two ticks, it isn't known how long reports waited to be read.
// Twice the longest usual one: ticks come every 50 ms, and an instance with a small share of a core
// may be held for up to 100 ms at a time.
constexpr duration late_tick = milliseconds(300);
// What had arrived before such a gap's end has been read by then.
constexpr duration catch_up_time = milliseconds(50);

}  // namespace

observation_client::observation_client(http_client& client, instance_registration self,
                                       observation_timing timing)
    : client_(client), self_(self), exchange_(std::move(self), random_number() | 1U, timing) {}

void observation_client::set_instances(const std::vector<instance_registration>& instances) {
  exchange_.set_instances(instances);
}

bool observation_client::collects() const {
  return active() && exchange_.collector(monotonic_now()) == self_.name;
}

void observation_client::tick(const std::shared_ptr<const traffic_view>& view) {
  use(view);
  if (!active()) return;
  const auto now = monotonic_now();
  suspended_.observe(now, time_since_boot());
  if (suspended_.since(last_tick_) > duration::zero()) exchange_.reset();
  if (last_tick_ != monotonic_time{} && now - last_tick_ > late_tick) {
    distrusted_until_ = now + catch_up_time;
  }
  last_tick_ = now;
  collect_own(now);
  note_collector(now);
  for (auto& ask : exchange_.due(now)) send(std::move(ask));
}

// Makes the view the current one, if it is contended, and lists its upstreams.
void observation_client::use(const std::shared_ptr<const traffic_view>& view) {
  if (!view->snapshot->contended) {
    if (active()) exchange_.reset();
    view_.reset();
    last_tick_ = {};
    return;
  }
  if (view == view_) return;
  view_ = view;
  upstreams_.clear();
  std::set<observation_key> own_domain;
  std::set<observation_key> ambiguous;
  for (std::size_t i = 0; i < view->services.size(); ++i) {
    for (const auto& row : view->snapshot->services[i].upstreams) {
      const auto key = observation_key_of(row.name);
      if (!upstreams_.emplace(key, listed_upstream{i, row.name}).second) ambiguous.insert(key);
      if (row.domain == self_.domain) own_domain.insert(key);
    }
  }
  for (const auto key : ambiguous) {
    upstreams_.erase(key);
    own_domain.erase(key);
  }
  exchange_.set_own_domain(std::move(own_domain));
}

// Hands this instance's own reports to the exchange.
void observation_client::collect_own(monotonic_time now) {
  if (now >= distrusted_until_) {
    for (const auto& service : view_->services) {
      if (!service.placed) continue;
      for (const auto& [name, seen] : service.placed->heard_since(collected_until_, now)) {
        const auto key = observation_key_of(name);
        const auto listed = upstreams_.find(key);
        if (listed == upstreams_.end() || listed->second.name != name) continue;
        exchange_.observe(key, seen.load, now - seen.age, now);
      }
    }
  }
  collected_until_ = now;
}

void observation_client::note_collector(monotonic_time now) {
  auto collector = exchange_.collector(now);
  if (collector == collector_) return;
  log_event(log_level::info, "collector of observations changed",
            {{"collector", collector}, {"collector_before", collector_}});
  ++counts_.collector_changes;
  collector_ = std::move(collector);
}

void observation_client::send(observation_ask ask) {
  ++counts_.asked;
  auto body = format_observation_request(ask.request);
  counts_.sent_bytes += body.size();
  const auto address = ask.peer.address;
  client_.send(address, {"POST", std::string(observation_target), {}, std::move(body)}, ask_timeout,
               [this, ask = std::move(ask)](const result<http_response>& answer) {
                 on_answer(ask, answer);
               });
}

void observation_client::on_answer(const observation_ask& ask,
                                   const result<http_response>& answer) {
  const auto now = monotonic_now();
  const auto fail = [&](std::string_view why) {
    ++counts_.failed;
    log_event(log_level::info, "no observations from the collector",
              {{"collector", ask.peer.name},
               {"domain", ask.domain.value},
               {"peer", ask.peer.address},
               {"asked_ms_ago", now - ask.asked_at},
               {"detail", why}});
    exchange_.on_failure(ask, now);
  };
  if (!answer) return fail(answer.error().detail);
  if (answer->status != 200) return fail("status " + std::to_string(answer->status));
  const auto read = parse_observation_answer(answer->body);
  if (!read) return fail(read.error().detail);
  counts_.received_bytes += answer->body.size();
  suspended_.observe(now, time_since_boot());
  // How old the figures are can't be told if this machine was suspended meanwhile.
  const bool suspended = suspended_.since(ask.asked_at) > duration::zero();
  auto usable = *read;
  if (suspended || !active()) usable.observations.clear();
  feed(exchange_.on_answer(ask, usable, now), now);
}

void observation_client::feed(const std::vector<shared_observation>& news, monotonic_time now) {
  if (!active()) return;
  counts_.received += news.size();
  for (const auto& [key, seen] : news) {
    const auto listed = upstreams_.find(key);
    if (listed == upstreams_.end()) continue;
    const auto& placed = view_->services[listed->second.service].placed;
    if (placed) placed->observe(listed->second.name, seen, now);
  }
}

http_response observation_client::handle(std::string_view body,
                                         const std::shared_ptr<const traffic_view>& view) {
  use(view);
  if (!active()) return json_response(404, R"({"error":"observations aren't shared"})");
  const auto request = parse_observation_request(body);
  if (!request) {
    log_error(log_level::warning, request.error());
    return json_response(400, R"({"error":"the request can't be read"})");
  }
  const auto now = monotonic_now();
  suspended_.observe(now, time_since_boot());
  if (suspended_.since(last_tick_) > duration::zero()) exchange_.reset();
  ++counts_.answered;
  counts_.received_bytes += body.size();
  const auto served = exchange_.serve(*request, now);
  feed(served.news, now);
  auto text = format_observation_answer(served.answer);
  counts_.sent_bytes += text.size();
  return {200, {{"Content-Type", "application/octet-stream"}}, std::move(text), {}};
}

}  // namespace plantainpaddle
