// What ran at an upstream stand-in, as JSON lines: "open" for a life of the process, "start" and
// "end" of each run. Kept in memory up to a bound, and written to a file at once if one is named,
// so that a killed process leaves its journal.
//
//   journal book("desk-1", "/tmp/desk-1.jsonl");
//   auto run = book.start({.id = id, .service = service, .shard = 3, .fence = 7}, now);
//   book.end(run, run_end::complete, now);
//
// Times are microseconds of the host's monotonic clock, which all processes of one machine share.
#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace plantainpaddle {

enum class run_end {
  complete,   // answered
  cancelled,  // the caller went away
  stopped,    // the grant ended, or the deadline passed
};

struct run_record {
  std::string upstream;
  std::string id;  // of the request
  std::string service;
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
  bool fenced = false;  // the request named a shard and a fence
  duration start{0};
  std::optional<duration> end;  // none: still running, or the process died
  run_end how = run_end::complete;

  bool operator==(const run_record&) const = default;
};

class journal {
 public:
  static constexpr std::size_t max_runs = 1'000'000;

  journal(std::string upstream, const std::string& file);

  // The answer is the run's number, for end().
  std::uint64_t start(run_record run, monotonic_time now);
  void end(std::uint64_t run, run_end how, monotonic_time now);

  std::string lines() const;
  std::uint64_t dropped() const { return first_; }

 private:
  void write(const std::string& line);

  std::string upstream_;
  std::ofstream file_;
  std::uint64_t first_ = 0;  // number of runs_.front()
  std::deque<run_record> runs_;
};

// Reads the lines of one journal. A last line that is cut off (its writer was killed) is passed
// over; any other bad line is an error.
result<std::vector<run_record>> parse_journal(std::string_view lines);

}  // namespace plantainpaddle
