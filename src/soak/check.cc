// Which requests are lost, as the users' rules have it: around a planned stop of the instance that
// took it, a request has no whole answer of its upstream although it was passed on, or was left
// unanswered for longer than loss_slack after its last byte.
//
// Excuses that are taken, all from the same rules:
//  - an unplanned impairment from quiet_period before the request to its end, of any process or
//    link; one of the store alone excuses only requests with keys;
//  - the upstream broke off: its process ended, or it stopped the run itself;
//  - the request's time had passed;
//  - the request was sent within late_work_sent of the signal and its upstream was still at work in
//    the last sixth of the shutdown time;
//  - it was sent behind another on its connection and not passed on;
//  - the instance answered it, unless that was after a SIGTERM and the upstream had begun to work;
//  - it wasn't written whole.
// An upstream that copies answers, sheds or is slow excuses nothing.
#include "soak/check.h"

#include <algorithm>
#include <csignal>
#include <optional>
#include <set>
#include <unordered_map>

#include "load/checker.h"
#include "load/hold_check.h"

namespace plantainpaddle {
namespace {

constexpr duration quiet_period = seconds(3);
constexpr duration notice_time = milliseconds(200);  // from the setting to the store's answer
constexpr duration double_hold_allowed = milliseconds(500);
constexpr std::string_view keyed_service = "counter-desk";
constexpr duration loss_slack = milliseconds(200);
constexpr duration after_shutdown = seconds(1);
constexpr duration apply_time = milliseconds(2500);  // of changed settings
constexpr duration late_work_sent = seconds(3);
constexpr duration last_sixth = shutdown_time / 6;
constexpr std::uint64_t closed_without_answer_allowed = 3;
constexpr std::uint64_t max_traces = 8;  // of each promise

using runs_by_id = std::unordered_map<std::string, std::vector<const run_record*>>;

// Binds for requests that must not run twice only.
bool is_told_not_run(const load_record& seen) {
  return seen.outcome == load_outcome::not_run || seen.outcome == load_outcome::refused;
}

class soak_checker {
 public:
  soak_checker(const std::vector<run_record>& runs, const soak_history& history)
      : history_(&history) {
    for (const auto& run : runs) runs_[run.id].push_back(&run);
  }

  void check(const soak_request& request) {
    const load_record& seen = request.seen;
    ++verdict.requests;
    if (seen.outcome == load_outcome::complete) ++verdict.complete;
    check_promises_of(request);
    const auto signals = planned_stops_of(request);
    if (is_impaired(seen)) return check_beside(request);
    if (!signals.empty()) ++verdict.around_stops;
    if (has_upstreams_answer(seen) || request.sent.count() == 0 || is_excused(request)) return;
    if (std::any_of(signals.begin(), signals.end(),
                    [&](const auto* signal) { return !is_allowed(request, *signal); })) {
      find("LOST", request);
    } else if (signals.empty() && is_calm(request) && !is_answered(seen) && is_passed_on(seen) &&
               request.before > 0) {
      if (++verdict.closed_without_answer > closed_without_answer_allowed) find("LOST", request);
    }
  }

  // An impairment of another process or link excuses a request too. That it would have counted as
  // lost is noted, since the impairment may have had no part in it.
  void check_beside(const soak_request& request) {
    if (has_upstreams_answer(request.seen) || request.sent.count() == 0 || is_excused(request) ||
        is_near_impairment(request)) {
      return;
    }
    const auto signals = planned_stops_of(request);
    if (std::any_of(signals.begin(), signals.end(),
                    [&](const auto* signal) { return !is_allowed(request, *signal); })) {
      verdict.notes.push_back("lost beside an impairment elsewhere: " + describe(request));
    }
  }

  // Counted are requests that instances in touch send on, as the upstreams saw them arrive.
  void check_notices(const soak_request& request) {
    if (is_impaired(request.seen) || !is_calm(request)) return;
    if (overlaps(history_->store_impairments, request.seen)) return;
    for (const auto* run : runs_of(request.seen.id)) {
      for (const auto& notice : history_->notices) {
        const bool late = run->arrived > notice.from + notice_time + upstream_drain;
        if (run->upstream != notice.upstream || !late || run->arrived > notice.to) continue;
        verdict.add("DRAIN", "arrived " + in_ms(run->arrived - notice.from) +
                                 " ms after the notice of " + run->upstream + ": " +
                                 describe(request));
      }
    }
  }

  void find(const std::string& promise, const soak_request& request) {
    verdict.add(promise, describe(request));
  }

  soak_verdict verdict;

 private:
  static std::string in_ms(duration time) {
    return std::to_string(static_cast<double>(time.count()) / 1000);
  }

  const std::vector<const run_record*>& runs_of(const std::string& id) const {
    static const std::vector<const run_record*> none;
    const auto place = runs_.find(id);
    return place == runs_.end() ? none : place->second;
  }

  bool is_passed_on(const load_record& seen) const { return !runs_of(seen.id).empty(); }

  // What the upstream stand-in says names itself.
  static bool has_upstreams_answer(const load_record& seen) {
    return seen.outcome == load_outcome::complete ||
           seen.detail.find("\"upstream\"") != std::string::npos;
  }

  // By the instance itself.
  static bool is_answered(const load_record& seen) {
    return seen.status != 0 && !seen.detail.starts_with("broken body");
  }

  std::string instance_of(const load_record& seen) const {
    const auto place = history_->instances.find(seen.target);
    return place == history_->instances.end() ? seen.target : place->second;
  }

  void check_promises_of(const soak_request& request) {
    const load_record& seen = request.seen;
    const std::size_t ran = runs_of(seen.id).size();
    if (seen.once && ran > 1) find("TWICE", request);
    if (seen.once && is_told_not_run(seen) && ran > 0) find("REFUSED", request);
    if (seen.outcome == load_outcome::wrong) find("MIXED", request);
    if (seen.outcome == load_outcome::complete && ran == 0) find("MIXED", request);
  }

  // The signals of planned work around which the request ended. A further SIGTERM to a process that
  // is leaving changes nothing of its times.
  std::vector<const soak_history::signal*> planned_stops_of(const soak_request& request) const {
    const std::string instance = instance_of(request.seen);
    std::vector<const soak_history::signal*> found;
    for (const auto& signal : history_->signals) {
      if (signal.name != instance || signal.repeats || request.seen.end < signal.at) continue;
      const bool stops = signal.number == SIGTERM &&
                         request.seen.end <= signal.at + shutdown_time + after_shutdown;
      const bool reloads =
          signal.number == SIGHUP && request.seen.scheduled <= signal.at + apply_time;
      if (stops || reloads) found.push_back(&signal);
    }
    return found;
  }

  static bool overlaps(const std::vector<soak_history::impairment>& impairments,
                       const load_record& seen) {
    return std::any_of(impairments.begin(), impairments.end(), [&](const auto& impairment) {
      return impairment.from <= seen.end && impairment.to >= seen.scheduled - quiet_period;
    });
  }

  bool is_impaired(const load_record& seen) const {
    const bool keyed = seen.service == keyed_service;
    return overlaps(history_->impairments, seen) ||
           (keyed && overlaps(history_->store_impairments, seen));
  }

  // Of its instance, of an upstream that began to work on it, or of their links; or of the store.
  bool is_near_impairment(const soak_request& request) const {
    if (overlaps(history_->store_impairments, request.seen)) return true;
    std::set<std::string> names{instance_of(request.seen)};
    for (const auto* run : runs_of(request.seen.id)) names.insert(run->upstream);
    std::vector<soak_history::impairment> near;
    for (const auto& impairment : history_->impairments) {
      for (const auto& name : names) {
        if (impairment.name.find(name) != std::string::npos) near.push_back(impairment);
      }
    }
    return overlaps(near, request.seen);
  }

  bool is_excused(const soak_request& request) const {
    const load_record& seen = request.seen;
    if (seen.end - seen.scheduled >= request.budget) return true;
    const auto& runs = runs_of(seen.id);
    if (runs.empty()) {
      if (request.behind > 0 || seen.status != 0) return true;
      return seen.end - request.sent <= loss_slack;
    }
    const run_record& last = *runs.back();
    return !last.end || last.how == run_end::stopped;
  }

  bool is_allowed(const soak_request& request, const soak_history::signal& signal) const {
    const auto& runs = runs_of(request.seen.id);
    const load_record& seen = request.seen;
    const bool stops = signal.number == SIGTERM;
    if (is_answered(seen) && (!stops || runs.empty() || runs.back()->start > seen.end)) return true;
    return stops && !runs.empty() && request.sent <= signal.at + late_work_sent &&
           runs.back()->end >= signal.at + shutdown_time - last_sixth;
  }

  // The instance is in touch: neither impaired nor stopped nor started in the time before.
  bool is_calm(const soak_request& request) const {
    const std::string instance = instance_of(request.seen);
    return std::none_of(history_->signals.begin(), history_->signals.end(),
                        [&](const auto& signal) {
                          return signal.name == instance && signal.number == SIGTERM &&
                                 signal.at <= request.seen.end &&
                                 signal.at + shutdown_time + after_shutdown + quiet_period >=
                                     request.seen.scheduled;
                        });
  }

  std::string describe(const soak_request& request) const {
    const load_record& seen = request.seen;
    const std::string instance = instance_of(seen);
    const soak_history::signal* nearest = nullptr;
    std::string signals;
    for (const auto& signal : history_->signals) {
      if (signal.name != instance || signal.at > seen.end) continue;
      if (signal.at < seen.scheduled - 2 * shutdown_time) continue;
      if (nearest == nullptr) nearest = &signal;
      signals += " " + std::to_string(signal.number) + " at " + in_ms(signal.at - nearest->at);
    }
    const duration zero = nearest == nullptr ? seen.scheduled : nearest->at;
    std::string text =
        seen.id + " (" + seen.klass + (seen.once ? ", once" : "") + ") at " + instance +
        ", ms from " + (nearest == nullptr ? "its begin at " : "the first signal at ") +
        std::to_string(zero.count()) + " us: begun " + in_ms(seen.scheduled - zero) + ", sent " +
        in_ms(request.sent - zero) + ", end " + in_ms(seen.end - zero) + ", status " +
        std::to_string(seen.status) + " (" + seen.detail + "), connection " +
        std::to_string(request.connection) + " after " + std::to_string(request.before) +
        " answered, behind " + std::to_string(request.behind) + "; signals:" + signals + "; runs:";
    constexpr const char* ends[] = {"complete", "cancelled", "stopped"};
    for (const auto* run : runs_of(seen.id)) {
      text += " " + run->upstream + " from " + in_ms(run->start - zero);
      text += run->end ? std::string(" to ") + in_ms(*run->end - zero) + " " +
                             ends[static_cast<std::size_t>(run->how)] + ";"
                       : " without end;";
    }
    return text;
  }

  const soak_history* history_;
  runs_by_id runs_;
};

}  // namespace

void soak_verdict::add(const std::string& promise, const std::string& trace) {
  if (++broken[promise] <= max_traces) findings.push_back(promise + ": " + trace);
}

void check_holds(const std::vector<hold_record>& holds, const soak_history& history,
                 soak_verdict& verdict) {
  std::vector<hold_record> counted;
  for (const auto& hold : holds) {
    if (hold.service != keyed_service) verdict.add("OWNER", "keys for " + hold.upstream);
    std::string link = "link " + hold.upstream;
    if (link.ends_with(successor_suffix)) link.resize(link.size() - successor_suffix.size());
    const bool held_up = std::any_of(
        history.impairments.begin(), history.impairments.end(), [&](const auto& impairment) {
          return impairment.name == link && hold.from >= impairment.from &&
                 hold.from < impairment.to + quiet_period;
        });
    if (!held_up) counted.push_back(hold);
  }
  for (const auto& found : find_double_holds(std::move(counted), double_hold_allowed)) {
    verdict.add("OWNER", to_string(found));
  }
}

soak_verdict check_soak(const std::vector<soak_request>& requests,
                        const std::vector<run_record>& runs, const soak_history& history) {
  soak_checker checker(runs, history);
  std::vector<load_record> records;
  records.reserve(requests.size());
  for (const auto& request : requests) {
    records.push_back(request.seen);
    if (!request.seen.once && is_told_not_run(request.seen)) {
      records.back().outcome = load_outcome::unknown;
    }
    checker.check(request);
    checker.check_notices(request);
  }
  soak_verdict verdict = std::move(checker.verdict);
  // The others have been found request by request.
  const check_report report = check_promises(runs, records);
  for (const auto& example : report.examples) {
    if (example.starts_with("two owners")) verdict.add("OWNER", example);
  }
  for (const auto& name : history.own_ends) verdict.add("ended by itself", name);
  return verdict;
}

}  // namespace plantainpaddle
