// Each instance fills its bucket with its part of the rate: the part that it has of all requests
// asked for. Shares by what is asked, not by what was let through, don't swing: what is asked does
// not depend on the shares. While less than the rate is asked in all, an instance has what the
// others leave over. O(instances) per check, O(log buckets) besides.
//
// A tenant that is not known while all buckets are in use goes into one shared bucket of the row,
// so that names made up by a caller buy nothing.

#include "routing/limiter.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// Time constant of the smoothed rate of requests.
constexpr double smoothing_seconds = 1.0;
// Depth of a bucket at an instance with a small part, or the row's burst if that is less: with less
// depth, requests that come unevenly lose part of the rate.
constexpr double least_depth = 4;
// A bucket that was not asked for this long may be given to another tenant.
constexpr duration idle_time = seconds(10);
const tenant_id overflow_tenant{"*"};

double seconds_of(duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

limiter::limiter(limiter_config config) : config_(config) {}

void limiter::set_limits(const service_id& service, std::vector<limit_row> rows) {
  if (rows.empty()) {
    rows_.erase(service);
  } else {
    rows_[service] = std::move(rows);
  }
}

// Of each kind (this class, all classes) the tenant's own row goes before the one for all tenants.
std::vector<const limit_row*> limiter::rows_for(const service_id& service, const tenant_id& tenant,
                                                request_class klass) const {
  std::vector<const limit_row*> found;
  const auto place = rows_.find(service);
  if (place == rows_.end()) return found;
  for (const std::string_view kind : {class_name(klass), std::string_view("*")}) {
    const limit_row* best = nullptr;
    for (const auto& row : place->second) {
      if (row.klass != kind) continue;
      if (row.tenant == tenant) {
        best = &row;
        break;
      }
      if (row.tenant.value == "*" && best == nullptr) best = &row;
    }
    if (best != nullptr) found.push_back(best);
  }
  return found;
}

double limiter::asked_elsewhere(const bucket_key& key, monotonic_time now) const {
  double total = 0;
  for (const auto& [name, report] : others_) {
    if (now >= report.received + config_.report_life) continue;
    const auto place = report.used.find(key);
    if (place != report.used.end()) total += place->second;
  }
  return total;
}

void limiter::refill(const bucket_key& key, bucket& b, const limit_row& row, monotonic_time now) {
  const double passed = seconds_of(std::max(duration{0}, now - b.updated));
  const double elsewhere = asked_elsewhere(key, now);
  const double all = elsewhere + b.asked;
  const double part =
      all <= row.rate ? 1 - elsewhere / std::max(row.rate, 1e-9) : b.asked / std::max(all, 1e-9);
  const double depth = std::max({1.0, std::min(row.burst, least_depth), row.burst * part});
  b.tokens = std::min(depth, b.tokens + passed * row.rate * part);
  b.asked *= std::exp(-passed / smoothing_seconds);
  b.updated = std::max(b.updated, now);
}

limiter::bucket& limiter::find_bucket(bucket_key key, const limit_row& row, monotonic_time now) {
  auto place = buckets_.find(key);
  if (place == buckets_.end() && buckets_.size() >= config_.max_buckets) {
    const auto oldest = recent_.empty() ? buckets_.end() : buckets_.find(recent_.front());
    if (oldest != buckets_.end() && now >= oldest->second.updated + idle_time) {
      recent_.pop_front();
      buckets_.erase(oldest);
    } else {
      key.tenant = overflow_tenant;
      place = buckets_.find(key);
    }
  }
  if (place == buckets_.end()) {
    place = buckets_.emplace(key, bucket{}).first;
    place->second.tokens = std::max(1.0, row.burst);
    place->second.updated = now;
    recent_.push_back(key);
    place->second.recent = std::prev(recent_.end());
  } else {
    recent_.splice(recent_.end(), recent_, place->second.recent);
  }
  refill(place->first, place->second, row, now);
  return place->second;
}

limit_decision limiter::check(const service_id& service, const tenant_id& tenant,
                              request_class klass, monotonic_time now) {
  limit_decision made;
  std::vector<bucket*> taken;
  for (const limit_row* row : rows_for(service, tenant, klass)) {
    std::string limit = service.value + "/" + row->name;
    bucket& b = find_bucket({limit, tenant}, *row, now);
    b.asked += 1 / smoothing_seconds;
    taken.push_back(&b);
    if (b.tokens >= 1 || !made.allowed) continue;
    made.allowed = false;
    made.limit = std::move(limit);
    made.retry_after = duration(static_cast<std::int64_t>(
        1e6 * std::min(60.0, (1 - b.tokens) / std::max(row->rate, 1e-9))));
  }
  if (made.allowed) {
    for (auto* b : taken) b->tokens -= 1;
  }
  return made;
}

std::vector<limit_use> limiter::usage(monotonic_time now) {
  std::vector<limit_use> made;
  for (const auto& [key, b] : buckets_) {
    const double passed = seconds_of(std::max(duration{0}, now - b.updated));
    const double asked = b.asked * std::exp(-passed / smoothing_seconds);
    if (asked > 0.01) made.push_back({key.limit, key.tenant, asked});
  }
  return made;
}

void limiter::on_usage(const instance_id& from, const std::vector<limit_use>& entries,
                       monotonic_time now) {
  for (auto place = others_.begin(); place != others_.end();) {
    const bool old = now >= place->second.received + config_.report_life;
    if (place->first == from || old) {
      report_count_ -= place->second.used.size();
      place = others_.erase(place);
    } else {
      ++place;
    }
  }
  instance_report report{now, {}};
  for (const auto& entry : entries) {
    if (report_count_ + report.used.size() >= config_.max_reports) break;
    if (entry.used > 0) report.used[{entry.limit, entry.tenant}] = entry.used;
  }
  report_count_ += report.used.size();
  others_[from] = std::move(report);
}

}  // namespace plantainpaddle
