#include "ownership/testing/model.h"

#include <sstream>

#include "ownership/testing/simulation.h"

namespace plantainpaddle::model {
namespace {

// Time before the first fault, in which the cell elects an assigner and grants its shards.
constexpr duration settle_time = seconds(2);

std::string process_name(std::uint32_t number, int count) {
  if (number == role_assigner) return "the assigner";
  if (number == role_first_standby) return "the first standby";
  if (number == role_second_standby) return "the second standby";
  if (number == role_owner) return "the owner of shard 0";
  const int n = static_cast<int>(number % static_cast<std::uint32_t>(count));
  if (n == store_process) return "store";
  return n < instance_count ? "i" + std::to_string(n) : "u" + std::to_string(n - instance_count);
}

std::string upstream_name(std::uint32_t number) {
  return "u" + std::to_string(number % upstream_count);
}

std::string process_list(std::uint32_t bits) {
  std::string text;
  for (std::uint32_t number = 0; number < process_count; ++number) {
    if ((bits >> number & 1U) != 0) text += " " + process_name(number, process_count);
  }
  return text;
}

std::string role_list(std::uint32_t bits) {
  constexpr const char* names[] = {" store",          " assigner", " first-standby",
                                   " second-standby", " owner",    " others"};
  std::string text;
  for (std::size_t bit = 0; bit < std::size(names); ++bit) {
    if ((bits >> bit & 1U) != 0) text += names[bit];
  }
  return text;
}

}  // namespace

std::string to_string(const fault_step& step) {
  const std::string target = process_name(step.target, process_count - 1);
  const std::string link = process_name(step.target, process_count) + " to " +
                           process_name(step.argument, process_count);
  const std::string length = std::to_string(step.length.count() / 1000) + " ms";
  switch (step.kind) {
    case fault::freeze:
      return target + " freezes for " + length;
    case fault::crash:
      return target + " crashes, and restarts after " + length;
    case fault::block_link:
      return "no message arrives from " + link + " for " + length;
    case fault::isolate:
      return target + " is isolated for " + length;
    case fault::lose_messages:
      return "half of the messages from " + link + " are lost for " + length;
    case fault::delay_messages:
      return "messages from " + link + " take up to " + length + " more for 2 s";
    case fault::duplicate_messages:
      return "messages from " + link + " arrive again within " + length + " for 2 s";
    case fault::store_down:
      return "the store is down for " + length;
    case fault::store_replies_lost:
      return "the store's replies are lost for " + length;
    case fault::store_slow:
      return "the store's messages take up to " + length + " more for 2 s";
    case fault::leave:
      return "the assigner hands over to " + process_name(step.argument, instance_count);
    case fault::drain_upstream:
      return upstream_name(step.target) + " is drained for " + length;
    case fault::remove_upstream:
      return upstream_name(step.target) + " is not in the table for " + length;
    case fault::partition:
      return "a partition for " + length + " that separates" + process_list(step.argument);
    case fault::release_shard:
      return "the layout gives shard " + std::to_string(step.target % shard_count) +
             " to another cell for " + length;
    case fault::restrict_peers:
      return target + " exchanges messages only with" + role_list(step.argument) + " for " + length;
  }
  return "nothing";
}

std::string to_string(const scenario& s) {
  std::ostringstream out;
  out << "seed " << s.seed << "\n";
  duration time = settle_time;
  for (const auto& step : s.steps) {
    time += step.wait;
    out << "  at " << time.count() / 1000 << " ms: " << to_string(step) << "\n";
  }
  return out.str();
}

verdict run(const scenario& s, bool with_trace) {
  simulation sim(s.seed, with_trace);
  sim.run_until(settle_time);
  const std::uint64_t moves_before = sim.get_oracle().moves();
  for (const auto& step : s.steps) {
    sim.run_until(sim.now() + step.wait);
    if (sim.get_oracle().violation()) break;
    sim.inject(step);
  }
  if (!s.steps.empty()) sim.run_until(sim.now() + s.steps.back().length);
  verdict result;
  if (!sim.get_oracle().violation()) sim.end_faults();
  const true_time end = sim.now() + recovery_bound;
  while (!sim.get_oracle().violation() && sim.now() < end) {
    sim.run_until(sim.now() + milliseconds(100));
    if (sim.now() >= end - recovery_bound + seconds(1) && sim.all_served()) break;
  }
  result.violation = sim.get_oracle().violation();
  if (!result.violation) {
    const std::string unserved = sim.describe_unserved();
    if (!unserved.empty()) result.violation = unserved;
  }
  result.moves = sim.get_oracle().moves() - moves_before;
  result.events = sim.events();
  result.trace = sim.take_trace();
  return result;
}

}  // namespace plantainpaddle::model
