#include "metrics/traffic_stats.h"

#include <algorithm>
#include <sstream>

#include "metrics/labels.h"

namespace plantainpaddle {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::string_view shared_tenant_label = "other";

// Bucket edges in seconds, in 1-2-5 steps up to 10 s.
const std::vector<double>& time_edges() {
  static const std::vector<double> edges{0,    0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01,
                                         0.02, 0.05,   0.1,    0.2,   0.5,   1,     2,
                                         5,    10,     30,     60,    300};
  return edges;
}

// Bucket edges in bytes, powers of four.
const std::vector<double>& size_edges() {
  static const std::vector<double> edges{0,      256,     1024,    4096,     16384,    65536,
                                         262144, 1048576, 4194304, 16777216, 67108864, 268435456};
  return edges;
}

double to_seconds(duration d) { return std::chrono::duration<double>(d).count(); }

std::string format_number(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

}  // namespace

distribution::distribution(const std::vector<double>& edges)
    : histogram_(
          boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                boost::histogram::axis::variable<double>(edges))) {}

void distribution::record(double value) {
  histogram_(value);
  sum_and_max_(value);
}

// Boost's accumulators can't be merged, so the sum and maximum of the other are kept beside them.
void distribution::merge(const distribution& other) {
  histogram_ += other.histogram_;
  merged_sum_ += other.sum();
  merged_max_ = std::max(merged_max_, other.max());
}

double distribution::sum() const { return merged_sum_ + accumulators::sum(sum_and_max_); }

// The maximum of an empty accumulator is negative, while no recorded value is.
double distribution::max() const { return std::max(merged_max_, accumulators::max(sum_and_max_)); }

void distribution::print(std::string& out, const std::string& name,
                         const std::string& labels) const {
  const auto& axis = histogram_.axis();
  std::uint64_t cumulative = histogram_.at(-1);
  const auto line = [&](const std::string& suffix, const std::string& extra,
                        const std::string& value) {
    out += name + suffix + "{" + labels + extra + "} " + value + "\n";
  };
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += histogram_.at(i);
    line("_bucket", ",le=\"" + format_number(axis.value(i + 1)) + "\"", std::to_string(cumulative));
  }
  cumulative += histogram_.at(axis.size());
  line("_bucket", ",le=\"+Inf\"", std::to_string(cumulative));
  line("_count", "", std::to_string(cumulative));
  line("_sum", "", format_number(sum()));
  line("_max", "", format_number(max()));
}

traffic_stats::traffic_stats(std::vector<std::string> class_names)
    : class_names_(std::move(class_names)) {
  for (std::size_t i = 0; i < class_names_.size(); ++i) {
    classes_.push_back({distribution(time_edges()), distribution(time_edges()),
                        distribution(size_edges()), distribution(size_edges())});
  }
}

distribution& traffic_stats::tenant_latency(std::string_view name) {
  auto found = tenants_.find(name);
  if (found != tenants_.end()) return found->second;
  const bool has_room = tenants_.size() + 1 < max_tenants || name == shared_tenant_label;
  const auto label = has_room ? name : shared_tenant_label;
  return tenants_.try_emplace(std::string(label), time_edges()).first->second;
}

void traffic_stats::record(const traffic_sample& sample) {
  ++counts_[{sample.klass, sample.status, sample.outcome}];
  auto& stats = classes_[sample.klass];
  stats.latency.record(to_seconds(sample.latency));
  stats.queued.record(to_seconds(sample.queued));
  stats.request_bytes.record(static_cast<double>(sample.request_bytes));
  stats.answer_bytes.record(static_cast<double>(sample.answer_bytes));
  if (!sample.tenant.empty()) tenant_latency(sample.tenant).record(to_seconds(sample.latency));
}

void traffic_stats::merge(const traffic_stats& other) {
  for (const auto& [key, count] : other.counts_) counts_[key] += count;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    classes_[i].latency.merge(other.classes_[i].latency);
    classes_[i].queued.merge(other.classes_[i].queued);
    classes_[i].request_bytes.merge(other.classes_[i].request_bytes);
    classes_[i].answer_bytes.merge(other.classes_[i].answer_bytes);
  }
  for (const auto& [name, latency] : other.tenants_) tenant_latency(name).merge(latency);
}

std::string traffic_stats::prometheus_text() const {
  std::string out = "# TYPE plantainpaddle_requests_total counter\n";
  for (const auto& [key, count] : counts_) {
    const auto& [klass, status, outcome] = key;
    out += "plantainpaddle_requests_total{class=\"" + class_names_[klass] + "\",status=\"" +
           std::to_string(status) + "\",outcome=\"" + std::string(outcome) + "\"} " +
           std::to_string(count) + "\n";
  }
  const auto print = [&](const std::string& name, distribution class_stats::*member) {
    out += "# TYPE plantainpaddle_" + name + " histogram\n";
    for (std::size_t i = 0; i < classes_.size(); ++i) {
      (classes_[i].*member)
          .print(out, "plantainpaddle_" + name, "class=\"" + class_names_[i] + "\"");
    }
  };
  print("request_seconds", &class_stats::latency);
  print("queue_seconds", &class_stats::queued);
  print("request_bytes", &class_stats::request_bytes);
  print("answer_bytes", &class_stats::answer_bytes);
  out += "# TYPE plantainpaddle_tenant_request_seconds histogram\n";
  for (const auto& [name, latency] : tenants_) {
    latency.print(out, "plantainpaddle_tenant_request_seconds",
                  "tenant=\"" + escape_label(name) + "\"");
  }
  return out;
}

}  // namespace plantainpaddle
