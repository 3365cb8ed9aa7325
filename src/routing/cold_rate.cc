// While instances disagree about the issuer, upstream_permits sends up to one and a half times the
// rate of permits. A request may be sent 250 ms after its permit is due and travel for 500 ms, so
// that the requests of 1.75 s may arrive within one second. The issuers' bursts come on top. The
// rate follows from setting the sum of these equal to the bound. With 1.5 s instead of 1.75 s, the
// simulation found 61 requests in a second where the bound is 59.3 (random_cold_scenario(1055)).
#include "routing/cold_rate.h"

#include <algorithm>

#include "routing/upstream_permits.h"

namespace plantainpaddle {
namespace {

constexpr double all_shares = 1.5;   // of the rate, while instances disagree
constexpr double bunched_s = 1.75;   // seconds whose requests may arrive within one
constexpr double other_bursts = 2;   // requests: one each of two other issuers
constexpr double least_share = 0.1;  // of the stated rate, if the bound leaves less

}  // namespace

double cold_permit_rate(double stated, const cold_bound& bound) {
  const double bursts = permit_burst(stated, permit_config{}) + other_bursts;
  const double within = (stated * bound.overrun + bound.slack - bursts) / (all_shares * bunched_s);
  return std::clamp(within, stated * least_share, stated);
}

bool is_cold(const service_snapshot& service, std::size_t upstream, monotonic_time now) {
  return !service.warm_since.empty() && now < service.warm_since[upstream];
}

}  // namespace plantainpaddle
