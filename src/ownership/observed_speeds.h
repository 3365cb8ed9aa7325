// The speeds of a service's upstreams as all instances together observe them. An instance sees few
// answers of each upstream, so the assigner of the service merges what every instance reports.
//
//   answer_times mine;                             // in each instance
//   mine.add(upstream, "stock", service_time);
//   report.speeds = mine.take();
//
//   observed_speeds all;                           // in the assigner
//   all.add(report.speeds, now);
//   capacity = slots * all.speed(upstream, now);
//
// Neither is thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

// Answers of an upstream, and the mean of their times. Each time is relative to the mean time of
// the same kind of work over all upstreams.
struct answer_sample {
  std::uint32_t answers = 0;
  double relative_time = 1;
  bool operator==(const answer_sample&) const = default;
};

using answer_samples = std::map<upstream_id, answer_sample>;

// Upstreams in one report. An instance hears from few of them between two reports.
inline constexpr std::size_t max_answer_samples = 256;

// Collects the times of answers that an instance gets. Memory is bounded by max_answer_samples and
// by a number of kinds of work; answers beyond these bounds aren't counted.
class answer_times {
 public:
  // `time` is what the upstream took for the request, without any wait in its queue.
  void add(const upstream_id& upstream, std::string_view work, duration time);
  // Returns the answers since the last call, and forgets them. The means of the kinds of work stay.
  answer_samples take();

 private:
  struct kind {
    double answers = 0;
    double mean_us = 0;
  };
  struct sum {
    std::uint32_t answers = 0;
    double relative_times = 0;
  };
  std::map<std::string, kind, std::less<>> kinds_;
  std::map<upstream_id, sum> sums_;
};

// Merges the samples of all instances. Older samples weigh less, and an upstream of which little is
// known counts as nearly as fast as the mean. Memory is bounded.
class observed_speeds {
 public:
  void add(const answer_samples& samples, monotonic_time now);
  // Returns the upstream's speed relative to the mean of the service; 1 if nothing is known.
  double speed(const upstream_id& upstream, monotonic_time now) const;
  // Returns the number of answers that speed() rests on, each weighted by its age.
  double weight(const upstream_id& upstream, monotonic_time now) const;

 private:
  struct estimate {
    double weight = 0;
    double relative_times = 0;
    monotonic_time updated{};
  };
  std::map<upstream_id, estimate> estimates_;
};

}  // namespace plantainpaddle
