// Each instance is a token bucket that fills with a share of the limit's rate: the instance's
// demand over the demand at all instances. Demand counts the requests that arrived, not those that
// were let through. It doesn't depend on the shares, so the shares don't oscillate. While the total
// demand is below the rate, an instance gets whatever the other instances leave.
//
// When all buckets are in use, requests of further tenants share one bucket of the row, so that a
// caller gains nothing by making up tenant names.
//
// Cost of a check, for each row that applies: O(instances * log entries) for the reports and
// O(log buckets).

#include "routing/limiter.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// Time constant of the smoothed demand.
constexpr double smoothing_seconds = 1.0;
// Least depth of a bucket at an instance with a small share, unless the row's burst is smaller. In
// a shallower bucket, tokens overflow between requests that arrive unevenly, and part of the rate
// is lost.
constexpr double min_depth = 4;
// A bucket without a request for this long may be given to another tenant.
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

// Returns the row for this class and the row for all classes that apply. For each of the two, the
// tenant's own row takes precedence over the one for all tenants.
std::vector<const limit_row*> limiter::rows_for(const service_id& service, const tenant_id& tenant,
                                                request_class klass) const {
  std::vector<const limit_row*> found;
  const auto it = rows_.find(service);
  if (it == rows_.end()) return found;
  for (const std::string_view kind : {class_name(klass), std::string_view("*")}) {
    const limit_row* best = nullptr;
    for (const auto& row : it->second) {
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

double limiter::remote_demand(const bucket_key& key, monotonic_time now) const {
  double total = 0;
  for (const auto& [name, report] : peer_reports_) {
    if (now >= report.received + config_.report_life) continue;
    const auto it = report.used.find(key);
    if (it != report.used.end()) total += it->second;
  }
  return total;
}

void limiter::refill(const bucket_key& key, bucket& b, const limit_row& row, monotonic_time now) {
  const double elapsed = seconds_of(std::max(duration{0}, now - b.updated));
  const double remote = remote_demand(key, now);
  const double total_demand = remote + b.demand;
  const double share = total_demand <= row.rate ? 1 - remote / std::max(row.rate, 1e-9)
                                                : b.demand / std::max(total_demand, 1e-9);
  const double depth = std::max({1.0, std::min(row.burst, min_depth), row.burst * share});
  b.tokens = std::min(depth, b.tokens + elapsed * row.rate * share);
  b.demand *= std::exp(-elapsed / smoothing_seconds);
  b.updated = std::max(b.updated, now);
}

limiter::bucket& limiter::find_bucket(bucket_key key, const limit_row& row, monotonic_time now) {
  auto it = buckets_.find(key);
  if (it == buckets_.end() && buckets_.size() >= config_.max_buckets) {
    const auto oldest = lru_.empty() ? buckets_.end() : buckets_.find(lru_.front());
    if (oldest != buckets_.end() && now >= oldest->second.updated + idle_time) {
      lru_.pop_front();
      buckets_.erase(oldest);
    } else {
      key.tenant = overflow_tenant;
      it = buckets_.find(key);
    }
  }
  if (it == buckets_.end()) {
    it = buckets_.emplace(key, bucket{}).first;
    it->second.tokens = std::max(1.0, row.burst);
    it->second.updated = now;
    lru_.push_back(key);
    it->second.lru_position = std::prev(lru_.end());
  } else {
    lru_.splice(lru_.end(), lru_, it->second.lru_position);
  }
  refill(it->first, it->second, row, now);
  return it->second;
}

limit_decision limiter::check(const service_id& service, const tenant_id& tenant,
                              request_class klass, monotonic_time now) {
  limit_decision decision;
  std::vector<bucket*> applied;
  for (const limit_row* row : rows_for(service, tenant, klass)) {
    std::string limit = service.value + "/" + row->name;
    bucket& b = find_bucket({limit, tenant}, *row, now);
    b.demand += 1 / smoothing_seconds;
    applied.push_back(&b);
    if (b.tokens >= 1 || !decision.allowed) continue;
    decision.allowed = false;
    decision.limit = std::move(limit);
    decision.retry_after = duration(static_cast<std::int64_t>(
        1e6 * std::min(60.0, (1 - b.tokens) / std::max(row->rate, 1e-9))));
  }
  if (decision.allowed) {
    for (auto* b : applied) b->tokens -= 1;
  }
  return decision;
}

std::vector<limit_use> limiter::usage(monotonic_time now) {
  std::vector<limit_use> entries;
  for (const auto& [key, b] : buckets_) {
    const double elapsed = seconds_of(std::max(duration{0}, now - b.updated));
    const double demand = b.demand * std::exp(-elapsed / smoothing_seconds);
    if (demand > 0.01) entries.push_back({key.limit, key.tenant, demand});
  }
  return entries;
}

void limiter::on_usage(const instance_id& from, const std::vector<limit_use>& entries,
                       monotonic_time now) {
  for (auto it = peer_reports_.begin(); it != peer_reports_.end();) {
    const bool expired = now >= it->second.received + config_.report_life;
    if (it->first == from || expired) {
      report_count_ -= it->second.used.size();
      it = peer_reports_.erase(it);
    } else {
      ++it;
    }
  }
  instance_report report{now, {}};
  for (const auto& entry : entries) {
    if (report_count_ + report.used.size() >= config_.max_reports) break;
    if (entry.used > 0) report.used[{entry.limit, entry.tenant}] = entry.used;
  }
  report_count_ += report.used.size();
  peer_reports_[from] = std::move(report);
}

}  // namespace plantainpaddle
