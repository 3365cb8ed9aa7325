// Rate limits per tenant and request class that hold over all instances together. The instances
// exchange the demand at each of them, and each enforces its share of the rate.
//
//   limiter limits({});
//   limits.set_limits(service, rows);
//   if (!limits.check(service, tenant, klass, now).allowed) refuse();
//   send_to_others(limits.usage(now));           // each share_period
//   limits.on_usage(other, entries, now);
//
// Not thread-safe. Memory is bounded: max_buckets buckets, one more per row, and max_reports
// entries of other instances.
//
// Once their reports have settled, which takes a few seconds after the load has shifted between
// them, the instances together admit at most rate * span * 1.05 + burst over any span. The burst is
// the row's, or 4 for each instance if that is more and the row's is at least 4.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "table/rows.h"

namespace plantainpaddle {

struct limiter_config {
  duration share_period = milliseconds(500);
  duration report_life = seconds(5);  // a report older than this doesn't count
  std::size_t max_buckets = 4096;
  std::size_t max_reports = 65536;

  bool operator==(const limiter_config&) const = default;
};

// Demand for one limit at an instance, as the instances report it to each other.
struct limit_use {
  std::string limit;  // "service/row name"
  tenant_id tenant;
  double used = 0;  // requests per second that arrived, let through or not
  bool operator==(const limit_use&) const = default;
};

struct limit_decision {
  bool allowed = true;
  std::string limit;        // the first row that refused, "service/row name"
  duration retry_after{0};  // until a request would pass if no other came; at most 60 s
};

class limiter {
 public:
  explicit limiter(limiter_config config);

  // Replaces the rows of a service.
  void set_limits(const service_id& service, std::vector<limit_row> rows);

  // Counts the request as demand of each limit that applies, and takes a token from all of them, or
  // from none if one refuses.
  limit_decision check(const service_id& service, const tenant_id& tenant, request_class klass,
                       monotonic_time now);

  // Returns the demand at this instance, to be sent to the others. Idle buckets are left out.
  std::vector<limit_use> usage(monotonic_time now);
  // Replaces the report of another instance by a newer one.
  void on_usage(const instance_id& from, const std::vector<limit_use>& entries, monotonic_time now);

  std::size_t buckets() const { return buckets_.size(); }
  std::size_t reports() const { return report_count_; }

 private:
  struct bucket_key {
    std::string limit;
    tenant_id tenant;
    auto operator<=>(const bucket_key&) const = default;
  };
  struct bucket {
    double tokens = 0;
    double demand = 0;  // requests per second, smoothed
    monotonic_time updated;
    std::list<bucket_key>::iterator lru_position;
  };
  struct instance_report {
    monotonic_time received;
    std::map<bucket_key, double> used;
  };

  // Returns the refilled bucket of the key, or the row's shared bucket if no bucket is free.
  bucket& find_bucket(bucket_key key, const limit_row& row, monotonic_time now);
  void refill(const bucket_key& key, bucket& b, const limit_row& row, monotonic_time now);
  double remote_demand(const bucket_key& key, monotonic_time now) const;
  std::vector<const limit_row*> rows_for(const service_id& service, const tenant_id& tenant,
                                         request_class klass) const;

  limiter_config config_;
  std::map<service_id, std::vector<limit_row>> rows_;
  std::map<bucket_key, bucket> buckets_;
  std::list<bucket_key> lru_;  // least recently used first
  std::map<instance_id, instance_report> peer_reports_;
  std::size_t report_count_ = 0;
};

}  // namespace plantainpaddle
