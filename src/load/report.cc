#include "load/report.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace plantainpaddle {
namespace {

double to_ms(duration d) { return static_cast<double>(d.count()) / 1000; }

class_report make_report(const std::string& name, const std::vector<const load_record*>& records,
                         duration span) {
  class_report report;
  report.name = name;
  report.requests = records.size();
  std::vector<duration> latencies;
  for (const auto* record : records) {
    ++report.outcomes[static_cast<std::size_t>(record->outcome)];
    if (record->outcome == load_outcome::complete) {
      latencies.push_back(record->end - record->scheduled);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  const double length = std::max(1e-6, std::chrono::duration<double>(span).count());
  report.complete_per_second = static_cast<double>(latencies.size()) / length;
  report.p50 = quantile(latencies, 0.5);
  report.p90 = quantile(latencies, 0.9);
  report.p99 = quantile(latencies, 0.99);
  report.p999 = quantile(latencies, 0.999);
  report.most = quantile(latencies, 1);
  return report;
}

}  // namespace

duration quantile(const std::vector<duration>& sorted, double share) {
  if (sorted.empty()) return duration{0};
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  const auto place = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(place, sorted.size() - 1)];
}

std::vector<class_report> make_reports(const std::vector<load_record>& records, duration span) {
  std::map<std::string, std::vector<const load_record*>> by_class;
  std::vector<const load_record*> all;
  for (const auto& record : records) {
    by_class[record.klass].push_back(&record);
    all.push_back(&record);
  }
  std::vector<class_report> reports;
  reports.reserve(by_class.size() + 1);
  for (const auto& [name, of_class] : by_class) {
    reports.push_back(make_report(name, of_class, span));
  }
  reports.push_back(make_report("all", all, span));
  return reports;
}

std::string format_table(const std::vector<class_report>& reports) {
  std::ostringstream out;
  out << std::left << std::setw(14) << "class" << std::right;
  for (const auto* column : {"requests", "per s", "complete", "not run", "unknown", "wrong",
                             "refused", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"}) {
    out << std::setw(10) << column;
  }
  out << '\n' << std::fixed << std::setprecision(1);
  for (const auto& report : reports) {
    out << std::left << std::setw(14) << report.name << std::right << std::setw(10)
        << report.requests << std::setw(10) << report.complete_per_second;
    for (const auto count : report.outcomes) out << std::setw(10) << count;
    for (const auto d : {report.p50, report.p90, report.p99, report.p999, report.most}) {
      out << std::setw(10) << to_ms(d);
    }
    out << '\n';
  }
  return out.str();
}

std::string format_json(const std::vector<class_report>& reports) {
  boost::json::object out;
  for (const auto& report : reports) {
    boost::json::object item{
        {"requests", report.requests}, {"complete_per_s", report.complete_per_second},
        {"p50_ms", to_ms(report.p50)}, {"p90_ms", to_ms(report.p90)},
        {"p99_ms", to_ms(report.p99)}, {"p999_ms", to_ms(report.p999)},
        {"max_ms", to_ms(report.most)}};
    for (std::size_t i = 0; i < load_outcome_count; ++i) {
      item[load_outcome_name(static_cast<load_outcome>(i))] = report.outcomes[i];
    }
    out[report.name] = std::move(item);
  }
  return boost::json::serialize(out);
}

}  // namespace plantainpaddle
