#include "routing/upstream_statement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "routing/upstream_limits.h"

namespace plantainpaddle {

std::optional<duration> parse_pause(std::string_view text) {
  constexpr double micros_per_second = 1e6;
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (parsed.ptr != end || text.empty()) return std::nullopt;
  if (parsed.ec != std::errc() || !std::isfinite(value) || value <= 0) return std::nullopt;
  const double most = static_cast<double>(max_pause.count());
  return duration(static_cast<duration::rep>(std::min(most, value * micros_per_second)));
}

upstream_statement parse_upstream_statement(const statement_fields& fields) {
  upstream_statement stated;
  stated.limit = parse_named_limit(fields.limit);
  stated.leaving = fields.leaving == "1";
  stated.pause = parse_pause(fields.retry_after);
  if (!fields.limit.empty() && !stated.limit) stated.unreadable = "limit";
  if (!fields.leaving.empty() && !stated.leaving) stated.unreadable = "leaving";
  if (!fields.retry_after.empty() && !stated.pause) stated.unreadable = "retry_after";
  return stated;
}

bool is_turned_away(unsigned status) {
  constexpr unsigned too_many_requests = 429;
  constexpr unsigned unavailable = 503;
  return status == too_many_requests || status == unavailable;
}

}  // namespace plantainpaddle
