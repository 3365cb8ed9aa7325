#include "routing/upstream_limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace plantainpaddle {

std::optional<double> parse_named_limit(std::string_view text) {
  constexpr double max_rate = 1e6;
  double rate = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  // The comparison also fails for NaN.
  if (!whole || !(rate > 0 && rate < max_rate)) return std::nullopt;
  return rate;
}

bool upstream_limits::on_response(const upstream_id& upstream, std::optional<double> rate,
                                  monotonic_time now) {
  constexpr double notable_change = 0.1;
  const auto it = limited_.find(upstream);
  if (!rate) {
    if (it == limited_.end()) return false;
    limited_.erase(it);
    return true;
  }
  if (it == limited_.end()) {
    limited_[upstream] = {.rate = *rate, .named = now};
    return true;
  }
  const bool notable = std::abs(*rate - it->second.rate) > notable_change * it->second.rate;
  it->second.rate = *rate;
  it->second.named = now;
  return notable;
}

void upstream_limits::on_sent(const upstream_id& upstream, monotonic_time now) {
  const auto it = limited_.find(upstream);
  if (it == limited_.end()) return;
  auto& sent = it->second.sent;
  while (!sent.empty() && sent.front() <= now - limit_window) sent.pop_front();
  sent.push_back(now);
}

std::optional<double> upstream_limits::rate_of(const upstream_id& upstream) const {
  const auto it = limited_.find(upstream);
  return it == limited_.end() ? std::nullopt : std::optional(it->second.rate);
}

std::size_t upstream_limits::sent(const upstream_id& upstream, monotonic_time now) const {
  const auto it = limited_.find(upstream);
  if (it == limited_.end()) return 0;
  const auto& sent = it->second.sent;
  return static_cast<std::size_t>(std::count_if(
      sent.begin(), sent.end(), [&](monotonic_time at) { return at > now - limit_window; }));
}

}  // namespace plantainpaddle
