// Figures of a load run by class: throughput, latency from the scheduled time, outcomes.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "load/record.h"

namespace plantainpaddle {

struct class_report {
  std::string name;
  std::uint64_t requests = 0;
  std::array<std::uint64_t, load_outcome_count> outcomes{};
  double complete_per_second = 0;  // of those scheduled in the span
  duration p50{0};                 // latency of the complete ones
  duration p90{0};
  duration p99{0};
  duration p999{0};
  duration most{0};
};

// By class in the order of their names, and last "all".
std::vector<class_report> make_reports(const std::vector<load_record>& records, duration span);

// The value at a share (0 to 1) of the sorted list; 0 if there is none.
duration quantile(const std::vector<duration>& sorted, double share);

std::string format_table(const std::vector<class_report>& reports);
std::string format_json(const std::vector<class_report>& reports);

}  // namespace plantainpaddle
