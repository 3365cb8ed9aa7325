#include "bench/policy_sweep.h"

#include <cstdio>
#include <thread>

#include "bench/policy_placement.h"
#include "bench/policy_scenarios.h"

namespace plantainpaddle::bench {
namespace {

void print_placement(const deployment& where, const char* knob, double value,
                     const placement_policy& policy) {
  const auto f = run_placement(where, way::ours, policy);
  std::printf(
      "{\"deployment\":\"%s\",\"knob\":\"%s\",\"value\":%g,\"imbalance\":%.4f,"
      "\"imbalance_p99\":%.4f,\"churn\":%.4f,\"churn_over_least\":%.3f,\"unavailable_s\":%.4f,"
      "\"end\":0}\n",
      where.name.c_str(), knob, value, f.imbalance_mean, f.imbalance_p99, f.churn,
      f.churn_over_least, f.unavailable_s);
  std::fflush(stdout);
}

void sweep_placement(deployment where) {
  for (const double v : {0.04, 0.08, 0.12, 0.16}) {
    print_placement(where, "hysteresis", v, {.hysteresis = v});
  }
  for (const double v : {0.02, 0.04, 0.08}) {
    print_placement(where, "cells_hysteresis", v, {.cells_hysteresis = v});
  }
  for (const std::uint32_t v : {1, 10, 60, 240}) {
    print_placement(where, "moves_per_minute", v, {.moves_per_minute = v});
  }
  for (const int v : {10, 30, 60, 120}) {
    print_placement(where, "load_window", v, {.load_window = seconds(v)});
  }
  for (const int v : {20, 50, 100}) {
    print_placement(where, "move_wait_ms", v,
                    {.move_wait = milliseconds(v), .between_cells_wait = 2 * milliseconds(v)});
  }
  for (const std::uint32_t v : {256, 512, 1024}) {
    auto changed = where;
    changed.shards = v;
    print_placement(changed, "shards", v, {});
  }
  for (const double v : {0.5, 1.0, 2.0, 4.0}) {
    auto changed = where;
    changed.churn_weight = v;
    print_placement(changed, "churn_weight", v, {});
  }
  for (const double v : {0.0, 4.0, 16.0}) {
    auto changed = where;
    changed.unavailable_weight = v;
    print_placement(changed, "unavailable_weight", v, {});
  }
}

void print_admission(const deployment& where, const char* knob, double value,
                     const request_policy& policy) {
  const auto f = run_overload(where, way::ours, policy);
  std::printf(
      "{\"deployment\":\"%s\",\"knob\":\"%s\",\"value\":%g,\"goodput_ratio\":%.4f,"
      "\"counter_p99_ratio\":%.3f,\"sent_per_asked\":%.3f,\"end\":0}\n",
      where.name.c_str(), knob, value, f.goodput_ratio, f.counter_p99_ratio, f.sent_per_asked);
  std::fflush(stdout);
}

void sweep_admission(deployment where) {
  for (const double v : {0.5, 1.0, 2.0, 4.0}) {
    request_policy policy;
    policy.gate.queued_per_slot[0] = v;
    print_admission(where, "counter_queue_per_slot", v, policy);
  }
  for (const double v : {1.0, 2.0, 4.0, 8.0}) {
    request_policy policy;
    policy.gate.queued_per_slot[3] = v;
    print_admission(where, "bulk_queue_per_slot", v, policy);
  }
  for (const double v : {0.0, 0.2, 0.4, 0.8}) {
    request_policy policy;
    policy.gate.spare_slots = v;
    print_admission(where, "spare_slots", v, policy);
  }
  for (const int v : {100, 500, 2000}) {
    request_policy policy;
    policy.gate.use_window = milliseconds(v);
    print_admission(where, "use_window_ms", v, policy);
  }
  for (const double v : {0.0, 0.04, 0.08, 0.2}) {
    request_policy policy;
    policy.retry.share = v;
    print_admission(where, "retry_share", v, policy);
  }
}

void sweep_joins() {
  for (const std::uint32_t upstreams : {12U, 16U, 80U}) {
    for (const std::uint32_t batch : {1U, 2U, 4U, 8U}) {
      const auto f = run_joins(upstreams, 8, batch, 4096);
      std::printf(
          "{\"upstreams\":%u,\"batch\":%u,\"moved_share\":%.4f,\"imbalance\":%.4f,\"end\":0}\n",
          upstreams, batch, f.moved_share, f.imbalance_mean);
    }
  }
}

}  // namespace

bool run_sweep(const std::string& which) {
  if (which == "joins") {
    sweep_joins();
    return true;
  }
  if (which != "placement" && which != "admission") return false;
  const auto sweep = which == "placement" ? sweep_placement : sweep_admission;
  std::thread other([&] { sweep(harrowgate()); });
  sweep(raselinka());
  other.join();
  return true;
}

}  // namespace plantainpaddle::bench
