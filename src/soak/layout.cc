#include "soak/layout.h"

#include <algorithm>

namespace plantainpaddle {
namespace {
constexpr std::string_view added_prefix = "/added/";
}  // namespace

cluster_layout make_soak_layout(const soak_plan& plan) {
  cluster_layout layout = make_registered_layout(plan.upstreams_per_domain);
  layout.entries_per_domain = plan.entries_per_domain;
  layout.upstream_settings = plan.upstream_settings;
  layout.relayed = plan.unplanned;
  layout.relayed_upstreams = plan.unplanned;
  // Requests that must not run twice at upstreams that own keys: the only ones that are sent again
  // to the same upstream after a refusal.
  declared_route adjust = layout.desired->routes.front();
  adjust.row.name = adjust_route.klass;
  adjust.row.path_prefix = adjust_route.prefix;
  adjust.row.klass = request_class::order;
  adjust.row.once = adjust_route.once;
  adjust.policy.max_attempts = 3;
  layout.desired->routes.push_back(std::move(adjust));
  if (plan.connections != 0) {
    for (auto& service : layout.desired->services) service.connections = plan.connections;
  }
  return layout;
}

desired_state next_state(desired_state state, const soak_fault::change_state& change) {
  state.version += change.step;
  std::erase_if(state.routes,
                [](const auto& route) { return route.row.path_prefix == added_prefix; });
  if (change.adds) {
    state.routes.push_back(state.routes.front());
    state.routes.back().row.name = "added";
    state.routes.back().row.path_prefix = added_prefix;
  }
  return state;
}

}  // namespace plantainpaddle
