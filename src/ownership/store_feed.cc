// A read that asks for changes may have an answer of any size, since it carries each version of
// each key. So a feed asks for changes only while it is at most max_change_age behind; then the
// answer is bounded by the rate of changes under the feed's own prefix. Otherwise it asks for all
// values, which are bounded by the number of keys. A read is repeated if nothing of its answer
// comes, not if the answer takes long, as its repetition would take as long.
#include "ownership/store_feed.h"

#include <algorithm>
#include <utility>

namespace plantainpaddle {

store_feed::store_feed(feed_config config, feed_timing timing)
    : config_(std::move(config)), timing_(timing) {}

std::optional<store_read> store_feed::next(monotonic_time now) {
  if (now < next_at_) return std::nullopt;
  // After a failure the store is asked to answer at once, which shows whether it can be reached.
  const bool trouble = failures_ != 0 || !under_way_.empty();
  if (!under_way_.empty()) {
    const auto& last = under_way_.back();
    const auto since = std::max(last.sent + last.wait, progress_);
    if (under_way_.size() >= timing_.max_reads || now < since + timing_.hedge_after)
      return std::nullopt;
  }
  const bool all = config_.whole || revision_ == 0 || now - known_at_ > config_.max_change_age;
  const store_read read{.id = ++last_id_,
                        .after = all ? 0 : revision_,
                        .wait = all || trouble ? duration::zero() : config_.wait,
                        .timeout = timing_.timeout,
                        .sent = now};
  under_way_.push_back(read);
  return read;
}

void store_feed::on_progress(const store_read& read, monotonic_time now) {
  const bool expected = std::find(under_way_.begin(), under_way_.end(), read) != under_way_.end();
  if (expected) progress_ = now;
}

bool store_feed::on_answer(const store_read& read, const read_result& answer, monotonic_time now) {
  const auto it = std::find(under_way_.begin(), under_way_.end(), read);
  if (it == under_way_.end()) return false;
  failures_ = 0;
  if (answer.compacted) {
    under_way_.erase(it);
    revision_ = 0;
    next_at_ = now;
    return false;
  }
  // The answers that are still missing carry nothing that this one or the next doesn't have.
  under_way_.clear();
  revision_ = std::max(revision_, answer.revision);
  read_ = true;
  // An answer without changes was given at the end of the wait.
  known_at_ =
      std::max(known_at_, answer.changed ? read.sent : std::min(now, read.sent + read.wait));
  next_at_ = std::exchange(again_, false) ? now : now + config_.period;
  return true;
}

void store_feed::on_failure(const store_read& read, monotonic_time now) {
  const auto it = std::find(under_way_.begin(), under_way_.end(), read);
  if (it == under_way_.end()) return;
  under_way_.erase(it);
  constexpr int max_doublings = 5;
  const auto delay = timing_.retry_delay * (1 << std::min(failures_, max_doublings));
  ++failures_;
  // While others are under way, hedge_after says when to try again.
  if (under_way_.empty()) next_at_ = now + std::min(timing_.max_retry_delay, delay);
}

void store_feed::request(monotonic_time now) {
  again_ = !under_way_.empty();
  if (failures_ == 0) next_at_ = std::min(next_at_, now);
}

void store_feed::restart(monotonic_time now) {
  under_way_.clear();
  revision_ = 0;
  failures_ = 0;
  again_ = read_ = false;
  next_at_ = now;
}

store_reader::store_reader(const store_layout& layout, const news_bounds& bounds,
                           feed_timing timing) {
  const auto share_of = [](duration whole, double share) {
    return std::chrono::duration_cast<duration>(whole * share);
  };
  // Two polls fit into the time in which a notice must take effect, so that one may fail.
  constexpr double leaving_share = 0.475;
  // A wait whose answer is lost ends, and the next read is answered, within the bound.
  constexpr double desired_share = 0.6;
  const auto desired_wait = share_of(bounds.desired, desired_share);
  constexpr duration desired_slack = milliseconds(400);  // one value is less than several versions
  constexpr duration own_period = seconds(5);            // pushed records arrive sooner
  constexpr duration assigner_wait = seconds(15);        // each wait costs one call to the store
  const std::vector<feed_config> configs{
      {.prefix = layout.desired,
       .wait = desired_wait,
       .max_change_age = desired_wait + desired_slack},
      {.prefix = layout.upstreams, .period = share_of(bounds.leaving, leaving_share)},
      {.prefix = layout.own, .period = own_period, .whole = true},
      {.prefix = layout.assigners, .wait = assigner_wait}};
  for (const auto& config : configs) feeds_.emplace_back(config, timing);
}

std::optional<store_reader::due_read> store_reader::next(monotonic_time now) {
  for (std::size_t i = 0; i < feeds_.size(); ++i) {
    const bool tries = i == upstream_feed || !feeds_[upstream_feed].is_failing();
    if (feeds_[i].is_failing() && !tries) continue;
    if (const auto read = feeds_[i].next(now)) return due_read{i, *read};
  }
  return std::nullopt;
}

}  // namespace plantainpaddle
