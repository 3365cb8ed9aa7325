#include "bench/policy_deployment.h"

#include <cmath>

namespace plantainpaddle::bench {

std::string_view way_name(way w) noexcept {
  constexpr std::string_view names[] = {"naive", "previous", "ours"};
  return names[static_cast<std::size_t>(w)];
}

deployment harrowgate() {
  return {.name = "harrowgate",
          .slots = 6,
          .requests_per_second = 4800,
          .churn_weight = 1,
          .unavailable_weight = 4,
          .services = {{"counter-desk", 16, true, {0.6, 0.2, 0.1, 0.1}},
                       {"order-book", 8, false, {0.3, 0.6, 0.0, 0.1}},
                       {"plan-room", 13, false, {0.2, 0.1, 0.5, 0.2}}}};
}

deployment raselinka() {
  return {.name = "raselinka",
          .slots = 3,
          .requests_per_second = 1800,
          .churn_weight = 2,
          .unavailable_weight = 1,
          .services = {{"sklad", 12, true, {0.6, 0.2, 0.1, 0.1}},
                       {"expedice", 7, false, {0.3, 0.6, 0.0, 0.1}},
                       {"laborator", 12, false, {0.2, 0.1, 0.5, 0.2}}}};
}

double mean_work_seconds(std::size_t klass) {
  const double median = std::chrono::duration<double>(median_work[klass]).count();
  return median * std::exp(work_sigma * work_sigma / 2);
}

}  // namespace plantainpaddle::bench
