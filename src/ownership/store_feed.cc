// A read that asks for changes may have an answer of any size, since it carries each version of
// each key. So a feed asks for changes only while it is at most max_change_age behind; then the
// answer is bounded by the rate of changes under the feed's own prefix. Otherwise it asks for all
// values, which are bounded by the number of keys. A read is repeated if nothing of its answer
// comes, not if the answer takes long, as its repetition would take as long.
#include "ownership/store_feed.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/durations.h"

namespace plantainpaddle {

store_feed::store_feed(feed_config config, feed_timing timing, double spread)
    : config_(std::move(config)), timing_(timing), spread_(spread) {}

// The delay is computed anew at each call: it is shorter once the news have ended.
duration store_feed::retry_delay(monotonic_time now) const {
  constexpr double least_share = 0.7;
  // Successive multiples of the golden ratio spread evenly over the unit interval.
  constexpr double golden_ratio = 0.618034;
  const bool has_time = !config_.bounded && !reached_ && has_news(now);
  const duration first = has_time ? timing_.retry_delay_with_news : timing_.retry_delay;
  const duration longest = has_time ? timing_.max_retry_delay_with_news : timing_.max_retry_delay;
  const duration whole = doubled(first, failures_ - 1, longest);
  const double turn = spread_ + failures_ * golden_ratio;
  const double share = least_share + (1 - least_share) * (turn - std::floor(turn));
  return share_of(whole, share);
}

std::optional<store_read> store_feed::next(monotonic_time now) {
  if (failed_at_ ? now < *failed_at_ + retry_delay(now) : now < next_at_) return std::nullopt;
  if (has_news(now) && !requested_) return std::nullopt;
  // After a failure the store is asked to answer at once, which shows whether it can be reached.
  const bool trouble = failures_ != 0 || !under_way_.empty();
  if (!under_way_.empty()) {
    const auto& last = under_way_.back();
    const auto since = std::max(last.sent + last.wait, progress_);
    if (under_way_.size() >= timing_.max_reads || now < since + timing_.hedge_after)
      return std::nullopt;
  }
  const bool all = config_.whole || revision_ == 0 || now - known_at_ > config_.max_change_age;
  const bool waits = !all && !trouble && role_ != feed_role::follower;
  const store_read read{.id = ++last_id_,
                        .after = all ? 0 : revision_,
                        .wait = waits ? pace().wait : duration::zero(),
                        .timeout = timing_.timeout,
                        .sent = now};
  under_way_.push_back(read);
  failed_at_.reset();
  return read;
}

bool store_feed::has_news(monotonic_time now) const {
  return role_ == feed_role::follower && read_ && !is_stale(now);
}

void store_feed::on_progress(const store_read& read, monotonic_time now) {
  const bool expected = std::find(under_way_.begin(), under_way_.end(), read) != under_way_.end();
  if (expected) progress_ = now;
}

bool store_feed::on_answer(const store_read& read, const read_result& answer, monotonic_time now) {
  const auto it = std::find(under_way_.begin(), under_way_.end(), read);
  if (it == under_way_.end()) return false;
  failures_ = 0;
  failed_at_.reset();
  answered_at_ = now;
  if (answer.compacted) {
    under_way_.erase(it);
    revision_ = 0;
    next_at_ = now;
    return false;
  }
  // Values that are older than news would undo them: keys that are newer are missing among them.
  if (read.after == 0 && answer.revision < revision_) {
    under_way_.erase(it);
    next_at_ = now;
    return false;
  }
  // The answers that are still missing carry nothing that this one or the next doesn't have.
  under_way_.clear();
  revision_ = std::max(revision_, answer.revision);
  read_ = true;
  if (required_at_ && read.sent >= *required_at_) {
    required_at_.reset();
    wanted_.clear();
  }
  requested_ = required_at_.has_value();
  // An answer without changes was given at the end of the wait.
  known_at_ =
      std::max(known_at_, answer.changed ? read.sent : std::min(now, read.sent + read.wait));
  next_at_ = std::exchange(again_, false) ? now : now + pace().period;
  return true;
}

void store_feed::on_failure(const store_read& read, monotonic_time now) {
  const auto it = std::find(under_way_.begin(), under_way_.end(), read);
  if (it == under_way_.end()) return;
  under_way_.erase(it);
  ++failures_;
  reached_ = false;
  // While others are under way, hedge_after says when to try again.
  if (under_way_.empty()) failed_at_ = now;
}

const feed_pace& store_feed::pace() const {
  return role_ == feed_role::reader ? config_.as_reader : config_.alone;
}

void store_feed::on_news(std::uint64_t revision, monotonic_time known_at) {
  if (required_at_) return;
  revision_ = std::max(revision_, revision);
  known_at_ = std::max(known_at_, known_at);
}

void store_feed::require_read(monotonic_time now, const std::string& key, std::uint64_t version) {
  required_at_ = now;
  auto& wanted = wanted_[key];
  wanted = std::max(wanted, version);
  request(now);
}

void store_feed::on_handed_on(const std::string& key, std::uint64_t version) {
  const auto wanted = wanted_.find(key);
  if (wanted == wanted_.end() || version < wanted->second) return;
  wanted_.erase(wanted);
  if (!wanted_.empty()) return;
  required_at_.reset();
  requested_ = again_ = false;
}

std::optional<std::string> store_feed::wanted() const {
  if (wanted_.empty()) return std::nullopt;
  const auto& key = wanted_.rbegin()->first;
  return key.empty() ? std::nullopt : std::optional(key);
}

bool store_feed::awaits_value(duration longest, monotonic_time now) const {
  return has_news(now) && required_at_ && wanted() && now < *required_at_ + longest;
}

void store_feed::request(monotonic_time now) {
  again_ = !under_way_.empty();
  requested_ = true;
  if (failures_ == 0) next_at_ = std::min(next_at_, now);
}

void store_feed::restart(monotonic_time now) {
  under_way_.clear();
  revision_ = 0;
  failures_ = 0;
  again_ = requested_ = read_ = false;
  required_at_.reset();
  wanted_.clear();
  failed_at_.reset();
  next_at_ = now;
}

store_reader::store_reader(const store_layout& layout, const news_bounds& bounds,
                           feed_timing timing, double spread) {
  // Two polls fit into the time in which a notice must take effect, so that one may fail.
  constexpr double leaving_share = 0.475;
  // A wait whose answer is lost ends, and the next read is answered, within the bound.
  constexpr double desired_share = 0.6;
  // A reader's news are handed on and, if they don't come, read by the follower within the bound.
  constexpr double reader_leaving_share = 0.3;
  constexpr double reader_desired_share = 0.2;
  constexpr double leaving_age_share = 0.48;
  constexpr double desired_age_share = 0.58;
  constexpr double spread_share = 0.08;
  // Above desired_age_share, a desired state came 100 ms late after its reader was cut off.
  constexpr double desired_spread_share = 0.04;
  const auto desired_wait = share_of(bounds.desired, desired_share);
  constexpr duration desired_slack = milliseconds(400);  // one value is less than several versions
  constexpr duration own_period = seconds(5);            // pushed records arrive sooner
  constexpr duration own_news_age = seconds(8);
  constexpr duration assigner_wait = seconds(15);  // each wait costs one call to the store
  constexpr duration assigner_news_age = seconds(20);
  reader_period_ = share_of(bounds.leaving, reader_leaving_share);
  const std::vector<feed_config> configs{
      {.prefix = layout.desired,
       .alone = {.wait = desired_wait},
       .as_reader = {.wait = share_of(bounds.desired, reader_desired_share)},
       .max_news_age = share_of(bounds.desired, desired_age_share - spread * desired_spread_share),
       .max_change_age = desired_wait + desired_slack},
      {.prefix = layout.upstreams,
       .alone = {.period = share_of(bounds.leaving, leaving_share)},
       .as_reader = {.period = reader_period_},
       .max_news_age = share_of(bounds.leaving, leaving_age_share + spread * spread_share)},
      {.prefix = layout.own,
       .alone = {.period = own_period},
       .as_reader = {.period = own_period},
       .max_news_age = own_news_age,
       .whole = true,
       .bounded = false},
      {.prefix = layout.assigners,
       .alone = {.wait = assigner_wait},
       .as_reader = {.wait = assigner_wait},
       .max_news_age = assigner_news_age,
       .bounded = false}};
  for (const auto& config : configs) feeds_.emplace_back(config, timing, spread);
}

void store_reader::set_role(feed_role role) {
  for (auto& feed : feeds_) feed.set_role(role);
}

bool store_reader::is_read() const {
  return std::all_of(feeds_.begin(), feeds_.end(), [](const auto& feed) { return feed.is_read(); });
}

bool store_reader::is_stale(monotonic_time now) const {
  return feeds_[desired_feed].is_stale(now) || feeds_[upstream_feed].is_stale(now);
}

bool store_reader::is_failing() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [](const auto& feed) { return feed.is_failing(); });
}

std::optional<std::string> store_reader::wanted() const {
  if (!is_failing()) return std::nullopt;
  for (const auto& feed : feeds_) {
    if (auto key = feed.wanted()) return key;
  }
  return std::nullopt;
}

std::vector<std::uint64_t> store_reader::revisions() const {
  std::vector<std::uint64_t> revisions;
  for (const auto& feed : feeds_) revisions.push_back(feed.revision());
  return revisions;
}

duration store_reader::reader_period() const { return reader_period_; }

// Feeds without bound that others hand on share one schedule of reads while the store fails: after
// each one's delay, the feed tries that failed first or hasn't yet.
bool store_reader::may_read(std::size_t feed, monotonic_time now) const {
  // While the store fails, the reader is asked for the value, and answers at once unless many want
  // it.
  constexpr duration handing_time = milliseconds(600);
  // Otherwise the writer of a record pushes it, which takes a few tens of milliseconds. Without the
  // wait, each record that is too large for the news made every instance read the store.
  constexpr duration push_time = milliseconds(300);
  const auto& own = feeds_[feed];
  const duration for_others = own.is_bounded() ? duration::zero() : duration(push_time);
  if (own.awaits_value(is_failing() ? duration(handing_time) : for_others, now)) return false;
  if (own.is_bounded() || !own.has_news(now)) return true;
  return std::none_of(feeds_.begin(), feeds_.end(), [&](const auto& other) {
    const auto failed_at = other.failed_at();
    if (other.is_bounded() || !failed_at) return false;
    const bool is_next = own.failed_at() && *failed_at < *own.failed_at();
    return is_next || now < *failed_at + other.retry_delay(now);
  });
}

std::optional<store_reader::due_read> store_reader::next(monotonic_time now) {
  // A feed that gets news doesn't try by itself, so the others can't wait for it.
  const bool is_lost = feeds_[upstream_feed].is_failing() && !feeds_[upstream_feed].has_news(now);
  // A second read of the upstreams is under way, as the first one wasn't answered.
  const bool is_silent = feeds_[upstream_feed].reads_under_way() > 1;
  monotonic_time answered{};
  for (const auto& feed : feeds_) answered = std::max(answered, feed.answered_at());
  for (std::size_t i = 0; i < feeds_.size(); ++i) {
    auto& feed = feeds_[i];
    if (feed.failed_at() && *feed.failed_at() < answered) feed.note_reached();
    if (feed.is_failing() && is_lost && i != upstream_feed) continue;
    if (is_silent && i != upstream_feed && feed.reads_under_way() != 0) continue;
    if (!may_read(i, now)) continue;
    if (const auto read = feeds_[i].next(now)) return due_read{i, *read};
  }
  return std::nullopt;
}

}  // namespace plantainpaddle
