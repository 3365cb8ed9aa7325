#include "ownership/store_feed.h"

#include <algorithm>
#include <utility>

#include "ownership/store_keys.h"

namespace plantainpaddle {

store_feed::store_feed(feed_config config, feed_timing timing)
    : config_(std::move(config)), timing_(timing), timeout_(timing.timeout) {}

std::optional<store_read> store_feed::next(monotonic_time now) {
  if (under_way_ || now < next_at_) return std::nullopt;
  under_way_ = store_read{.id = ++last_id_,
                          .after = revision_,
                          .wait = revision_ == 0 ? duration::zero() : config_.wait,
                          .timeout = timeout_,
                          .sent = now};
  return under_way_;
}

bool store_feed::on_answer(const store_read& read, const read_result& answer, monotonic_time now) {
  if (!under_way_ || under_way_->id != read.id) return false;
  under_way_.reset();
  timeout_ = timing_.timeout;
  if (answer.compacted) {
    revision_ = 0;
    next_at_ = now;
    return false;
  }
  revision_ = std::max(revision_, answer.revision);
  known_at_ = std::max(known_at_, read.sent);
  next_at_ = std::exchange(again_, false) ? now : now + config_.period;
  return true;
}

void store_feed::on_failure(const store_read& read, monotonic_time now) {
  if (!under_way_ || under_way_->id != read.id) return;
  under_way_.reset();
  timeout_ = std::min(timing_.max_timeout, timeout_ * 2);
  next_at_ = now + timing_.retry_delay;
}

void store_feed::request(monotonic_time now) {
  again_ = under_way_.has_value();
  next_at_ = std::min(next_at_, now);
}

std::vector<feed_config> make_store_feeds(const store_layout&, const news_bounds& bounds) {
  // Two polls fit into the time in which an upstream's notice that it leaves must take effect.
  constexpr double period_share = 0.475;
  constexpr duration max_period = milliseconds(950);
  const auto share = std::chrono::duration_cast<duration>(bounds.leaving * period_share);
  constexpr duration assigner_wait = seconds(15);  // each wait costs one call to the store
  return {{.prefix = "", .period = std::min(max_period, share)},
          {.prefix = std::string(assigner_key_prefix), .wait = assigner_wait}};
}

}  // namespace plantainpaddle
