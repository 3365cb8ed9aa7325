// Request limits per tenant and class, held over all instances by sharing what is asked of each.
//
//   limiter limits({.self = id});
//   limits.set_limits(service, rows);
//   if (!limits.check(service, tenant, klass, now).allowed) refuse();
//   send_to_others(limits.usage(now));           // each share_period
//   limits.on_usage(other, entries, now);
//
// Not thread-safe. Memory is bounded: max_buckets buckets and max_reports entries of other
// instances. Over any span the instances together admit at most rate * span * 1.05 + burst once the
// reports have settled, which takes a few seconds after the load has shifted between them. burst is
// the row's, or 4 for each instance if that is more and the row allows 4 at all.
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
  duration report_life = seconds(5);  // an instance that has been silent for this long is left out
  std::size_t max_buckets = 4096;
  std::size_t max_reports = 65536;

  bool operator==(const limiter_config&) const = default;
};

// One line of what an instance tells the others: requests per second that were asked of it.
struct limit_use {
  std::string limit;  // "service/row name"
  tenant_id tenant;
  double used = 0;
  bool operator==(const limit_use&) const = default;
};

struct limit_decision {
  bool allowed = true;
  std::string limit;        // the row that refused, "service/row name"
  duration retry_after{0};  // when a request would pass, if no other came
};

class limiter {
 public:
  explicit limiter(limiter_config config);

  void set_limits(const service_id& service, std::vector<limit_row> rows);

  // Counts the request and takes it from each limit that applies, or from none.
  limit_decision check(const service_id& service, const tenant_id& tenant, request_class klass,
                       monotonic_time now);

  // What was asked here, for the other instances; buckets that are idle are left out.
  std::vector<limit_use> usage(monotonic_time now);
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
    double asked = 0;  // requests per second, smoothed
    monotonic_time updated;
    std::list<bucket_key>::iterator recent;
  };
  struct instance_report {
    monotonic_time received;
    std::map<bucket_key, double> used;
  };

  bucket& find_bucket(bucket_key key, const limit_row& row, monotonic_time now);
  void refill(const bucket_key& key, bucket& b, const limit_row& row, monotonic_time now);
  double asked_elsewhere(const bucket_key& key, monotonic_time now) const;
  std::vector<const limit_row*> rows_for(const service_id& service, const tenant_id& tenant,
                                         request_class klass) const;

  limiter_config config_;
  std::map<service_id, std::vector<limit_row>> rows_;
  std::map<bucket_key, bucket> buckets_;
  std::list<bucket_key> recent_;  // least recently used first
  std::map<instance_id, instance_report> others_;
  std::size_t report_count_ = 0;
};

}  // namespace plantainpaddle
