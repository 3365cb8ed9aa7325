// The part of range_runner that sends grants and releases to upstreams, and keeps the links that
// grants go over.
#include "base/log.h"
#include "entry/range_runner.h"
#include "platform/platform_codec.h"

namespace plantainpaddle {

namespace {

constexpr duration link_retry_delay = milliseconds(200);
constexpr duration other_upstream_retry_delay = seconds(1);
constexpr duration connect_timeout = milliseconds(400);

}  // namespace

// Returns null if the link that the order was made for has ended.
order_link* range_runner::find_link(const range_action::grant& order) const {
  const auto found = links_.find(order.upstream);
  const bool same = found != links_.end() && found->second.number == order.link;
  return same ? found->second.link.get() : nullptr;
}

void range_runner::perform(const range_action::grant& order) {
  auto* link = find_link(order);
  if (link == nullptr) return;
  link->send(make_grant_request(order), timing_.call_timeout,
             [this, generation = generation_, order](const result<http_response>& answer) {
               if (generation == generation_ && assigner_) on_grant_answer(order, answer);
             });
}

void range_runner::on_grant_answer(const range_action::grant& order,
                                   const result<http_response>& answer) {
  const auto verdict = answer ? read_grant_answer(*answer) : result<grant_verdict>(answer.error());
  if (!verdict) {
    if (find_link(order) != nullptr) close_link(order.upstream, verdict.error().detail);
    return;
  }
  if (*verdict == grant_verdict::accepted) {
    assigner_->on_granted(order, monotonic_now());
  } else {
    // Ranges in doubt are refused many times (range_assigner_doubts.cc).
    const bool in_doubt = assigner_->ranges_in_doubt() != 0;
    log_event(in_doubt ? log_level::debug : log_level::warning, "grant refused",
              {{"upstream", order.upstream.value},
               {"first", order.first},
               {"last", order.last},
               {"fence", order.fence.value}});
    assigner_->on_refused(order, monotonic_now());
  }
  const auto* link = find_link(order);
  if (link != nullptr && !link->is_open()) close_link(order.upstream, "closed by the upstream");
  run_actions();
}

void range_runner::perform(const range_action::release& order) {
  const auto found = addresses_.find(order.upstream);
  // Only an earlier assigner knew the upstream's address; its grants lapse by themselves.
  if (found == addresses_.end()) return;
  const std::string address = found->second;
  dialer_.open(
      {order.upstream, address, timing_.release_timeout},
      [this, generation = generation_, order, address](const upstream_dialer::opened& opened) {
        if (generation != generation_ || !assigner_) return;
        if (opened && assigner_->may_release(monotonic_now())) return send_release(order, *opened);
        if (presence_.has_ended(order.upstream, address)) {
          assigner_->on_displaced(order.upstream, true, monotonic_now());
        }
        on_release_failed(order, opened ? error{errc::unavailable, step::grant, address,
                                                "the store doesn't confirm leadership"}
                                        : opened.error());
        run_actions();
      });
}

// The link carries nothing else: work that holds a release up must not hold up grants.
void range_runner::send_release(const range_action::release& order,
                                const std::shared_ptr<order_link>& link) {
  link->send(make_release_request(order), timing_.release_timeout,
             [this, generation = generation_, order, link](const result<http_response>& answer) {
               if (generation != generation_ || !assigner_) return;
               const auto handover =
                   answer ? read_release_answer(*answer) : result<std::string>(answer.error());
               if (!handover) return on_release_failed(order, handover.error());
               log_event(log_level::info, "range released",
                         {{"upstream", order.upstream.value},
                          {"first", order.first},
                          {"last", order.last},
                          {"fence", order.fence.value}});
               assigner_->on_released(order, *handover, monotonic_now());
               run_actions();
             });
}

void range_runner::on_release_failed(const range_action::release& order, const error& why) {
  log_event(log_level::warning, "release failed",
            {{"upstream", order.upstream.value},
             {"first", order.first},
             {"last", order.last},
             {"fence", order.fence.value},
             {"detail", why.detail}});
  assigner_->on_release_failed(order, monotonic_now());
}

void range_runner::maintain_links() {
  const auto now = monotonic_now();
  for (const auto& [name, one] : listed_) {
    auto& state = links_[name];
    if (state.address != one.address) {
      if (state.link) close_link(name, "its address changed");
      state.attempt = 0;
      state.next_attempt = now;
      state.address = one.address;
    }
    if (state.link && !state.link->is_open()) close_link(name, "closed by the upstream");
    if (state.attempt != 0 && state.connected) assigner_->on_reached(name, now);
    if (!state.link && state.attempt == 0 && now >= state.next_attempt) open_link(name, state);
  }
  std::erase_if(links_, [&](const auto& entry) {
    const bool gone = !listed_.contains(entry.first);
    if (gone && entry.second.number != 0) assigner_->on_link(entry.first, 0, now);
    return gone;
  });
}

void range_runner::open_link(const upstream_id& name, link_state& state) {
  const auto attempt = ++last_link_;
  state.attempt = attempt;
  state.connected = false;
  const auto is_current = [this, generation = generation_, name, attempt] {
    if (generation != generation_ || !assigner_) return false;
    const auto it = links_.find(name);
    return it != links_.end() && it->second.attempt == attempt;
  };
  dialer_.open(
      {name, state.address, connect_timeout},
      [this, is_current, name, attempt](const upstream_dialer::opened& opened) {
        if (is_current()) on_link_opened(name, attempt, opened);
      },
      [this, is_current, name] {
        if (!is_current()) return;
        links_[name].connected = true;
        assigner_->on_reached(name, monotonic_now());
      });
}

void range_runner::on_link_opened(const upstream_id& name, link_number attempt,
                                  const upstream_dialer::opened& opened) {
  auto& state = links_[name];
  const auto now = monotonic_now();
  state.attempt = 0;
  if (!opened) {
    const bool other = opened.error().code == errc::not_owner;
    state.next_attempt = now + (other ? other_upstream_retry_delay : link_retry_delay);
    if (!other) return;
    log_event(
        log_level::warning, "another upstream has the address",
        {{"upstream", name.value}, {"address", state.address}, {"detail", opened.error().detail}});
    assigner_->on_displaced(name, presence_.has_ended(name, state.address), now);
    return run_actions();
  }
  state.link = *opened;
  state.number = attempt;
  log_event(log_level::debug, "link opened", {{"upstream", name.value}, {"link", attempt}});
  assigner_->on_link(name, attempt, now);
  run_actions();
}

void range_runner::close_link(const upstream_id& name, std::string_view why) {
  auto& state = links_[name];
  log_event(log_level::warning, "link lost",
            {{"upstream", name.value}, {"link", state.number}, {"why", why}});
  if (state.link) state.link->close();
  state.link.reset();
  state.number = 0;
  state.next_attempt = monotonic_now();
  if (assigner_) assigner_->on_link(name, 0, monotonic_now());
}

}  // namespace plantainpaddle
