// Counters and gauges of a process, by name and labels, printed in the Prometheus text format.
//
//   metrics counters;
//   counters.add("requests_total", {{"class", "counter"}, {"outcome", "complete"}});
//
// Names get the prefix "plantainpaddle_". At most max_series series are kept; updates of further
// ones are dropped and counted in "series_dropped_total". Thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace plantainpaddle {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

class metrics {
 public:
  static constexpr std::size_t max_series = 4096;

  // Adds to a counter or sets a gauge; the series is created at its first use.
  void add(const std::string& name, const metric_labels& labels, double amount = 1);
  void set(const std::string& name, const metric_labels& labels, double value);

  // Text that is produced on each call of prometheus_text(), such as the merged statistics of the
  // traffic threads. A source is called under this object's lock and must not use it.
  using source = std::function<std::string()>;
  // Returns the id for remove_source().
  std::uint64_t add_source(source text);
  void remove_source(std::uint64_t id);

  std::string prometheus_text() const;

 private:
  double* series(const std::string& name, const metric_labels& labels);

  mutable std::mutex mutex_;
  std::map<std::string, double> values_;
  std::map<std::uint64_t, source> sources_;
  std::uint64_t last_source_ = 0;
  double dropped_ = 0;
};

}  // namespace plantainpaddle
