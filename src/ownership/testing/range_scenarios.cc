// The known scenarios of range_model.h, and the descriptions of faults and scenarios.

#include <array>

#include "ownership/candidacy.h"
#include "ownership/range_assigner.h"
#include "ownership/testing/range_model.h"

namespace plantainpaddle::range_model {

namespace {

constexpr std::array<const char*, fault_kinds> kind_names{
    "kill_instance",  "freeze_instance", "cut_store",        "store_down",     "lose_answers",
    "cut_upstream",   "cut_others",      "isolate_upstream", "crash_upstream", "lose_upstream",
    "drain_upstream", "late_grants",     "break_links",      "shift_load",     "concede",
    "restore_store",  "reuse_address",   "succeed_upstream", "join_upstream",  "leave_upstream",
    "cut_entry",      "kill_instances"};

}  // namespace

std::string fault_name(fault_kind kind) { return kind_names[static_cast<std::size_t>(kind)]; }

std::string to_string(const scenario& s) {
  std::string text = "seed " + std::to_string(s.seed);
  text += s.shows_sequences ? "\n" : ", sequences hidden\n";
  for (const auto& f : s.faults) {
    text += std::to_string(f.at_ms) + " " + fault_name(f.kind) + " for " +
            std::to_string(f.for_ms) + " instance " + std::to_string(f.instance_index) +
            " argument " + std::to_string(f.argument) + "\n";
  }
  return text;
}

std::vector<std::vector<fault>> known_scenarios() {
  using enum fault_kind;
  return {
      // The assigner cannot reach an upstream for longer than its grant lasts.
      {{isolate_upstream, 6000, 9000, 0, 1}},
      // The assigner is cut off from the store and goes on renewing grants, while its successor
      // cannot reach the upstreams that the old assigner still reaches.
      {{cut_store, 6000, 12000, 0, 0},
       {cut_upstream, 6000, 20000, 3, 1},
       {cut_upstream, 7800, 20000, 1, 1}},
      {{cut_store, 6000, 14000, 0, 0},
       {cut_upstream, 8000, 20000, 0, 0},
       {cut_upstream, 8000, 20000, 0, 1},
       {cut_upstream, 8200, 20000, 0, 2}},
      // The successor of an assigner that is cut off from the store learns of its campaign only
      // from the record, and campaigns once more.
      {{cut_others, 5900, 20000, 0, 1},
       {cut_store, 6000, 6500, 0, 0},
       {lose_answers, 6500, 2000, 0, 0}},
      // The successor loses its lease and wins it again, while the earlier assigner renews.
      {{cut_others, 5900, 20000, 0, 1},
       {cut_store, 6000, 12000, 0, 0},
       {store_down, 8500, 1500, 0, 0}},
      // The same without an answer, so that it learns of the new term from the record.
      {{store_down, 6000, 1700, 0, 0},
       {lose_answers, 7000, 3000, 0, 0},
       {isolate_upstream, 7300, 12000, 0, 1}},
      // A frozen assigner resumes after its keys were moved.
      {{freeze_instance, 6000, 16000, 0, 0}, {isolate_upstream, 6500, 8000, 0, 2}},
      {{freeze_instance, 6000, 9000, 0, 0},
       {drain_upstream, 9000, 9000, 0, 2},
       {shift_load, 9100, 0, 0, 20}},
      // An upstream restarts under its id without memory of the fences.
      {{crash_upstream, 6000, 300, 0, 1},
       {shift_load, 6200, 0, 0, 20},
       {crash_upstream, 9000, 100, 0, 1}},
      {{cut_store, 6000, 12000, 0, 0},
       {crash_upstream, 9000, 50, 0, 1},
       {shift_load, 9500, 0, 0, 9}},
      // Grants are applied late, after their keys have moved on.
      {{late_grants, 5000, 12000, 0, 1},
       {drain_upstream, 7000, 4000, 0, 1},
       {shift_load, 9000, 0, 0, 17}},
      // Writes take effect without an answer, or late.
      {{lose_answers, 5000, 15000, 0, 0},
       {shift_load, 6000, 0, 0, 25},
       {drain_upstream, 8000, 5000, 0, 2},
       {kill_instance, 9000, 500, 0, 0}},
      {{concede, 6000, 0, 0, 0}, {isolate_upstream, 6000, 9000, 0, 1}, {concede, 8000, 0, 0, 0}},
      {{kill_instance, 6000, 1000, 0, 0},
       {isolate_upstream, 6300, 30000, 0, 1},
       {shift_load, 7000, 0, 0, 3}},
      {{drain_upstream, 6000, 2000, 0, 1},
       {drain_upstream, 8100, 2000, 0, 2},
       {isolate_upstream, 8300, 5000, 0, 2},
       {drain_upstream, 8500, 3000, 0, 3},
       {kill_instance, 9000, 100, 0, 0}},
      // Keys go back to an owner that can't be reached, before it has released them, and away
      // again.
      {{kill_instance, 1200, 1454, 0, 0},
       {lose_upstream, 1280, 20, 0, 0},
       {drain_upstream, 13780, 6250, 0, 5},
       {cut_upstream, 19531, 1449, 0, 11},
       {drain_upstream, 19980, 50, 0, 14}},
      // The store comes back from a copy in which keys have other owners: with the assigner that
      // moved them, with another one, and once more while that is being sorted out.
      {{shift_load, 8000, 0, 0, 20}, {restore_store, 12000, 2000, 0, 9}},
      {{drain_upstream, 8000, 9000, 0, 1},
       {shift_load, 9500, 0, 0, 11},
       {restore_store, 11000, 1500, 0, 5},
       {kill_instance, 11200, 6000, 0, 0}},
      {{drain_upstream, 7000, 20000, 0, 2},
       {kill_instance, 9000, 3000, 0, 0},
       {restore_store, 11000, 1000, 0, 8},
       {cut_store, 11500, 6000, 0, 0},
       {isolate_upstream, 11500, 9000, 0, 1},
       {restore_store, 14500, 1000, 0, 4}},
      {{lose_answers, 7000, 9000, 0, 0},
       {shift_load, 8000, 0, 0, 28},
       {restore_store, 11000, 500, 0, 3},
       {crash_upstream, 12500, 200, 0, 3}},
      // No instance knows what was granted in the time that is lost, and an upstream doesn't
      // answer.
      {{shift_load, 6500, 0, 0, 20},
       {restore_store, 9500, 1500, 0, 4},
       {kill_instance, 10800, 400, 3, 0},
       {kill_instance, 10800, 400, 7, 0},
       {kill_instance, 10800, 400, 11, 0},
       {isolate_upstream, 10900, 12000, 0, 1},
       {isolate_upstream, 10900, 12000, 0, 2}},
      // The same with upstreams whose entries are lost.
      {{shift_load, 6500, 0, 0, 20},
       {restore_store, 9500, 1500, 0, 4},
       {kill_instance, 10800, 400, 3, 0},
       {kill_instance, 10800, 400, 7, 0},
       {kill_instance, 10800, 400, 11, 0}},
      // The assigner was frozen while a successor moved keys, and goes on with what it remembers.
      {{freeze_instance, 6000, 6000, 0, 0},
       {shift_load, 8300, 0, 0, 20},
       {restore_store, 9500, 1500, 0, 4},
       {kill_instance, 10800, 5000, 7, 0},
       {kill_instance, 10800, 5000, 11, 0}},
      // The address of an upstream that ends passes to another service while its entry stays.
      {{reuse_address, 6000, 6000, 0, 1}},
      {{reuse_address, 6000, 3000, 0, 1}, {kill_instance, 7000, 500, 0, 0}},
      {{drain_upstream, 5900, 9000, 0, 1}, {reuse_address, 6100, 6000, 0, 1}},
      // It starts again at another address, which an assigner learns too late, and is succeeded.
      {{cut_store, 5500, 9000, 0, 0}, {reuse_address, 6000, 2500, 0, 1}},
      {{reuse_address, 6000, 2500, 0, 1}, {restore_store, 9500, 500, 0, 4}},
      {{succeed_upstream, 6000, 3000, 0, 1}},
      {{drain_upstream, 5900, 9000, 0, 1}, {succeed_upstream, 6050, 4000, 0, 1}},
      {{succeed_upstream, 6000, 6000, 0, 1}, {kill_instance, 6100, 500, 0, 0}},
      // An upstream that joined after the copy was made holds keys, and can't write its entry
      // again.
      {{join_upstream, 8000, 0, 0, 0},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 2000, 0, 6},
       {kill_instances, 12500, 600, 0, 0}},
      // The same after a moment of absence, with two of them.
      {{join_upstream, 8000, 0, 0, 0},
       {join_upstream, 8200, 0, 0, 0},
       {cut_entry, 10900, 9000, 0, 4},
       {cut_entry, 10900, 14000, 0, 5},
       {restore_store, 11000, 300, 0, 5},
       {kill_instances, 11100, 200, 0, 0}},
      // The instances are killed once the store is back.
      {{join_upstream, 8000, 0, 0, 0},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 2000, 0, 6},
       {kill_instances, 14000, 400, 0, 0}},
      // Keys moved to an upstream that the copy has, and that can't write its entry again.
      {{shift_load, 7500, 0, 0, 20},
       {cut_entry, 10500, 14000, 0, 1},
       {restore_store, 11000, 1500, 0, 4},
       {kill_instances, 11800, 700, 0, 0}},
      // An owner was waited out while it couldn't be reached, and can be reached again.
      {{join_upstream, 6500, 0, 0, 0},
       {isolate_upstream, 8000, 5200, 0, 1},
       {cut_entry, 12800, 14000, 0, 4},
       {restore_store, 12900, 600, 0, 6},
       {kill_instances, 13000, 300, 0, 0}},
      // An owner gave keys up and has started again since, without a memory of that.
      {{join_upstream, 8000, 0, 0, 0},
       {crash_upstream, 10600, 100, 0, 1},
       {crash_upstream, 10600, 100, 0, 2},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 2000, 0, 6},
       {kill_instances, 12500, 600, 0, 0}},
      // An owner starts again while the store is being restored.
      {{join_upstream, 8000, 0, 0, 0},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 2000, 0, 6},
       {kill_instances, 12500, 600, 0, 0},
       {crash_upstream, 13100, 50, 0, 1},
       {crash_upstream, 13600, 50, 0, 2},
       {crash_upstream, 14100, 50, 0, 3}},
      // The store is restored once more while it is unknown who holds keys.
      {{join_upstream, 8000, 0, 0, 0},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 1000, 0, 5},
       {kill_instances, 11500, 600, 0, 0},
       {restore_store, 15000, 500, 0, 1},
       {kill_instances, 15200, 400, 0, 0}},
      // An earlier assigner lives on without the store, and moves what it had begun to move.
      {{join_upstream, 8000, 0, 0, 0},
       {cut_store, 10700, 12000, 0, 0},
       {cut_entry, 10900, 14000, 0, 4},
       {restore_store, 11000, 1000, 0, 5},
       {kill_instance, 11500, 600, 3, 0},
       {kill_instance, 11500, 600, 7, 0},
       {kill_instance, 11500, 600, 11, 0}},
  };
}

// A key that has not moved is held on: its owner has an outage hold, or, if the store was away for
// less than outage_after, a plain one, which runs out before the keys can be confirmed. Any other
// key waits for the longest hold that may still run.
std::vector<restored_scenario> restored_scenarios() {
  using enum fault_kind;
  // An instance may see the store's return as late as this.
  const duration late = candidacy_timing{}.max_retry;
  const range_timing timing;
  const auto longest_wait = timing.proof_validity + longest_hold(timing, timing.outage_hold) + late;
  const auto most_short_gap = timing.outage_after + longest_hold(timing, timing.hold) + late;
  return {
      {{{restore_store, 11000, 2500, 0, 4}, {kill_instances, 13000, 500, 0, 0}},
       milliseconds(0),
       longest_wait},
      {{{restore_store, 11000, 2500, 0, 4},
        {lose_upstream, 8000, 0, 0, 1},
        {kill_instances, 13000, 500, 0, 0}},
       milliseconds(0),
       longest_wait},
      {{{leave_upstream, 8500, 1500, 0, 2},
        {join_upstream, 8000, 0, 0, 0},
        {restore_store, 11000, 2500, 0, 4},
        {kill_instances, 13000, 500, 0, 0}},
       milliseconds(0),
       longest_wait},
      {{{join_upstream, 8000, 0, 0, 0},
        {cut_entry, 10900, 12000, 0, 4},
        {restore_store, 11000, 2500, 0, 5},
        {kill_instances, 13000, 500, 0, 0}},
       milliseconds(0),
       longest_wait},
      {{{restore_store, 11000, 500, 0, 4}, {kill_instances, 11200, 300, 0, 0}},
       most_short_gap,
       longest_wait},
  };
}

}  // namespace plantainpaddle::range_model
