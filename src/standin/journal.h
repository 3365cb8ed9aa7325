// What ran at an upstream stand-in, as JSON lines: "open" for a life of the process, "start" and
// "end" of each run, "grant" and "release" of key ranges. Runs are kept in memory up to a bound,
// and all is written to a file at once if one is named, so that a killed process leaves its
// journal.
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
  duration arrived{0};  // its head was read
  duration start{0};
  std::optional<duration> end;  // none: still running, or the process died
  run_end how = run_end::complete;

  bool operator==(const run_record&) const = default;
};

// Keys that an upstream held, from a grant to its end or the release of these keys.
struct hold_record {
  std::string upstream;
  std::string service;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  duration from{0};
  duration until{0};

  bool operator==(const hold_record&) const = default;
};

class journal {
 public:
  static constexpr std::size_t max_runs = 1'000'000;

  journal(std::string upstream, const std::string& file);

  // The answer is the run's number, for end().
  std::uint64_t start(run_record run, monotonic_time now);
  void end(std::uint64_t run, run_end how, monotonic_time now);

  void note_grant(const hold_record& granted);  // its upstream is filled in
  void note_release(std::uint32_t first, std::uint32_t last, monotonic_time now);

  std::string lines() const;  // without grants and releases
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
// Reads the holds in the same lines. Those of a process end with it, at the latest when the next
// one opens the journal; the end of the last process isn't known here.
result<std::vector<hold_record>> parse_holds(std::string_view lines);

}  // namespace plantainpaddle
