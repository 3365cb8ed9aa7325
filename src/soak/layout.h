// The services and routes that a soak's clients use.
#pragma once

#include <string_view>

#include "base/time.h"
#include "harness/cluster.h"
#include "soak/plan.h"

namespace plantainpaddle {

struct soak_route {
  std::string_view klass;
  std::string_view service;
  std::string_view prefix;
  std::string_view method;
  bool once = true;
  bool keyed = false;
  std::uint64_t upload_bytes = 0;
  duration budget{0};  // of its requests; the route's timeout is at least as long
};

inline constexpr soak_route stock_route{"counter", "counter-desk", "/stock/", "GET",
                                        false,     true,           0,         milliseconds(2000)};
inline constexpr soak_route order_route{"order", "order-book", "/orders/", "POST",
                                        true,    false,        600,        milliseconds(2000)};
inline constexpr soak_route upload_route{
    "upload", "plan-room", "/drawings/",           "PUT",
    true,     false,       std::uint64_t{1} << 18, milliseconds(4000)};
inline constexpr soak_route adjust_route{"adjust", "counter-desk", "/adjust/", "POST",
                                         true,     true,           600,        milliseconds(2000)};

cluster_layout make_soak_layout(const soak_plan& plan);

// The given state with a next version, and with or without a further route.
desired_state next_state(desired_state state, const soak_fault::change_state& change);

}  // namespace plantainpaddle
