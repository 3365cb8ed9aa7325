#include "load/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace plantainpaddle {
namespace {

constexpr std::size_t max_examples = 20;

void note(check_report& report, std::string text) {
  if (report.examples.size() < max_examples) report.examples.push_back(std::move(text));
}

std::string describe(const run_record& run) {
  return run.id + " at " + run.upstream + " fence " + std::to_string(run.fence) + " from " +
         std::to_string(run.start.count()) +
         (run.end ? " to " + std::to_string(run.end->count()) : " without end");
}

// Runs of one shard in the order of their start: nobody else may run at that time, and a fence that
// is as high as this one must not have run elsewhere before.
class shard_sweep {
 public:
  void add(const run_record& run, check_report& report) {
    const run_record* other = nullptr;
    for (const auto& [upstream, latest] : latest_end_) {
      if (upstream == run.upstream) continue;
      if (latest->end && *latest->end > run.start) other = latest;
      if (highest_fence_.at(upstream)->fence >= run.fence) other = highest_fence_.at(upstream);
    }
    if (other != nullptr) {
      ++report.two_owners;
      note(report, "two owners of " + run.service + "/" + std::to_string(run.shard) + ": " +
                       describe(*other) + "; " + describe(run));
    }
    const run_record*& latest = latest_end_[run.upstream];
    if (latest == nullptr || latest->end.value_or(duration{0}) <= run.end.value_or(duration{0})) {
      latest = &run;
    }
    const run_record*& highest = highest_fence_[run.upstream];
    if (highest == nullptr || highest->fence < run.fence) highest = &run;
  }

 private:
  std::map<std::string, const run_record*> latest_end_;
  std::map<std::string, const run_record*> highest_fence_;
};

void check_owners(const std::vector<run_record>& runs, check_report& report) {
  std::vector<const run_record*> ordered;
  for (const auto& run : runs) {
    if (run.fenced) ordered.push_back(&run);
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const auto* a, const auto* b) { return a->start < b->start; });
  std::map<std::pair<std::string, std::uint32_t>, shard_sweep> shards;
  for (const auto* run : ordered) shards[{run->service, run->shard}].add(*run, report);
}

struct waiting_request {
  duration scheduled;
  duration end;
  bool complete;
};

// Walks through the complete answers in order of time and keeps the requests that wait between two
// of them, by the time they were scheduled.
duration gap_of(std::vector<waiting_request> requests) {
  std::vector<duration> answers;
  duration last{0};
  for (const auto& request : requests) {
    if (request.complete) answers.push_back(request.end);
    last = std::max(last, request.end);
  }
  answers.push_back(last);
  std::sort(answers.begin(), answers.end());
  std::sort(requests.begin(), requests.end(),
            [](const auto& a, const auto& b) { return a.scheduled < b.scheduled; });
  std::set<std::pair<duration, std::size_t>> by_end;
  std::set<std::pair<duration, std::size_t>> by_schedule;
  std::size_t next = 0;
  duration previous{0};
  duration longest{0};
  for (const duration answer : answers) {
    for (; next < requests.size() && requests[next].scheduled < answer; ++next) {
      by_end.emplace(requests[next].end, next);
      by_schedule.emplace(requests[next].scheduled, next);
    }
    while (!by_end.empty() && by_end.begin()->first <= previous) {
      const std::size_t gone = by_end.begin()->second;
      by_schedule.erase({requests[gone].scheduled, gone});
      by_end.erase(by_end.begin());
    }
    if (!by_schedule.empty()) {
      longest = std::max(longest, answer - std::max(previous, by_schedule.begin()->first));
    }
    previous = answer;
  }
  return longest;
}

}  // namespace

check_report check_promises(const std::vector<run_record>& runs,
                            const std::vector<load_record>& records) {
  check_report report;
  check_owners(runs, report);
  std::unordered_map<std::string, std::uint64_t> started;
  for (const auto& run : runs) ++started[run.id];
  for (const auto& record : records) {
    const auto place = started.find(record.id);
    const std::uint64_t count = place == started.end() ? 0 : place->second;
    if (record.once && count > 1) {
      ++report.run_twice;
      note(report, "ran " + std::to_string(count) + " times: " + record.id);
    }
    const bool told_not_run =
        record.outcome == load_outcome::not_run || record.outcome == load_outcome::refused;
    if (told_not_run && count > 0) {
      ++report.not_run_but_ran;
      note(report, "told not run, but ran: " + record.id + " (" + record.detail + ")");
    }
    if (record.outcome == load_outcome::wrong) {
      ++report.wrong_answers;
      note(report, "wrong answer: " + record.id + " (" + record.detail + ")");
    }
    if (record.outcome == load_outcome::complete && count == 0) {
      ++report.complete_but_not_ran;
      note(report, "complete, but in no journal: " + record.id);
    }
  }
  return report;
}

service_gap longest_gap(const std::vector<load_record>& records, const std::string& klass,
                        bool by_shard) {
  std::map<std::string, std::vector<waiting_request>> groups;
  for (const auto& record : records) {
    if (!klass.empty() && record.klass != klass) continue;
    const std::string group =
        by_shard ? record.klass + "/" + std::to_string(record.shard) : record.klass;
    groups[group].push_back(
        {record.scheduled, record.end, record.outcome == load_outcome::complete});
  }
  service_gap longest;
  for (auto& [group, requests] : groups) {
    const duration length = gap_of(std::move(requests));
    if (length > longest.length) longest = {length, group};
  }
  return longest;
}

}  // namespace plantainpaddle
