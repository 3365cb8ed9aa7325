// Counters and histograms of one traffic thread, merged with those of other threads when read.
//
//   traffic_stats stats({"counter", "order"});
//   stats.record({.klass = 0, .tenant = "t1", .status = 200, .latency = milliseconds(3)});
//   traffic_stats sum({"counter", "order"});
//   sum.merge(stats);
//   sum.prometheus_text();
//
// Memory is bounded: at most max_tenants histograms are kept by tenant, of which one, named
// "other", is shared by all tenants without their own. Not thread-safe.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

// One finished request.
struct traffic_sample {
  std::size_t klass = 0;  // index into the class names
  std::string_view tenant;
  unsigned status = 0;
  std::string_view outcome;  // must point to static storage
  duration latency{0};       // from the first byte of the head to the last of the answer
  duration queued{0};        // until the request was sent to the upstream
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 0;
};

// A histogram of non-negative values, with their exact sum and maximum.
class distribution {
 public:
  explicit distribution(const std::vector<double>& edges);
  void record(double value);
  // Both must have the same edges.
  void merge(const distribution& other);
  double sum() const;
  double max() const;  // 0 if nothing was recorded
  // Appends the bucket, count, sum and max lines to out; labels are given without braces.
  void print(std::string& out, const std::string& name, const std::string& labels) const;

 private:
  using histogram =
      boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<double>>,
                                  boost::histogram::dense_storage<std::uint64_t>>;
  using sum_and_max = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::features<boost::accumulators::tag::sum, boost::accumulators::tag::max>>;

  histogram histogram_;
  sum_and_max sum_and_max_;
  double merged_sum_ = 0;
  double merged_max_ = 0;
};

class traffic_stats {
 public:
  static constexpr std::size_t max_tenants = 64;

  explicit traffic_stats(std::vector<std::string> class_names);
  void record(const traffic_sample& sample);
  // Both must have the same class names.
  void merge(const traffic_stats& other);
  std::string prometheus_text() const;
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct class_stats {
    distribution latency;
    distribution queued;
    distribution request_bytes;
    distribution answer_bytes;
  };
  using count_key = std::tuple<std::size_t, unsigned, std::string_view>;  // class, status, outcome

  distribution& tenant_latency(std::string_view name);

  std::vector<std::string> class_names_;
  std::vector<class_stats> classes_;
  std::map<std::string, distribution, std::less<>> tenants_;
  std::map<count_key, std::uint64_t> counts_;
};

}  // namespace plantainpaddle
