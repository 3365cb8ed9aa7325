#include "ownership/testing/model.h"

#include <sstream>

#include "ownership/testing/simulation.h"

namespace plantainpaddle::model {
namespace {

// Before the first fault: long enough that a cell has been set up.
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

std::string group_of(std::uint32_t bits) {
  std::string text;
  for (std::uint32_t number = 0; number < process_count; ++number) {
    if ((bits >> number & 1U) != 0) text += " " + process_name(number, process_count);
  }
  return text;
}

std::string roles_of(std::uint32_t bits) {
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
  const std::string one = process_name(step.who, process_count - 1);
  const std::string path =
      process_name(step.who, process_count) + " to " + process_name(step.whom, process_count);
  const std::string length = std::to_string(step.length.count() / 1000) + " ms";
  switch (step.kind) {
    case fault::freeze:
      return one + " freezes for " + length;
    case fault::crash:
      return one + " crashes, and restarts after " + length;
    case fault::cut:
      return "nothing passes from " + path + " for " + length;
    case fault::isolate:
      return one + " is cut off for " + length;
    case fault::lose:
      return "half of the messages from " + path + " are lost for " + length;
    case fault::delay:
      return "messages from " + path + " take up to " + length + " more for 2 s";
    case fault::repeat:
      return "messages from " + path + " come again within " + length + " for 2 s";
    case fault::store_down:
      return "the store is down for " + length;
    case fault::store_mute:
      return "the store's answers are lost for " + length;
    case fault::store_late:
      return "the store's messages take up to " + length + " more for 2 s";
    case fault::leave:
      return "the assigner hands over to " + process_name(step.whom, instance_count);
    case fault::drain:
      return upstream_name(step.who) + " is drained for " + length;
    case fault::remove:
      return upstream_name(step.who) + " is not in the table for " + length;
    case fault::partition:
      return "a partition for " + length + " of" + group_of(step.whom);
    case fault::release:
      return "the layout gives shard " + std::to_string(step.who % shard_count) +
             " to another cell for " + length;
    case fault::confine:
      return one + " exchanges messages only with" + roles_of(step.whom) + " for " + length;
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
  world w(s.seed, with_trace);
  w.run_until(settle_time);
  const std::uint64_t moves_before = w.judge().moves();
  for (const auto& step : s.steps) {
    w.run_until(w.now() + step.wait);
    if (w.judge().violation()) break;
    w.inject(step);
  }
  if (!s.steps.empty()) w.run_until(w.now() + s.steps.back().length);
  verdict result;
  if (!w.judge().violation()) w.heal();
  const true_time end = w.now() + recovery_bound;
  while (!w.judge().violation() && w.now() < end) {
    w.run_until(w.now() + milliseconds(100));
    if (w.now() >= end - recovery_bound + seconds(1) && w.all_served()) break;
  }
  result.violation = w.judge().violation();
  if (!result.violation) {
    const std::string unserved = w.describe_unserved();
    if (!unserved.empty()) result.violation = unserved;
  }
  result.moves = w.judge().moves() - moves_before;
  result.events = w.events();
  result.trace = w.take_trace();
  return result;
}

}  // namespace plantainpaddle::model
