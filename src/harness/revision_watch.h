// Reads the entries' status pages over and over and counts what went back: a table's revision, or a
// cell's term or revision, that is lower than the same process showed before.
//
//   revision_watch watch(pages);          // starts its thread
//   ...
//   auto seen = watch.stop();
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

struct revisions_seen {
  std::uint64_t pages = 0;
  std::uint64_t reverted = 0;
  std::vector<std::string> examples;  // a bounded number
};

// One page's revisions against those seen before; kept by instance id, which differs by life.
class revision_check {
 public:
  void add_page(const std::string& status);
  const revisions_seen& seen() const { return seen_; }

 private:
  void add(const std::string& name, std::uint64_t term, std::uint64_t revision);

  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> highest_;
  revisions_seen seen_;
};

class revision_watch {
 public:
  // page: the status of an entry by number, or empty if it doesn't answer.
  revision_watch(std::size_t entries, std::function<std::string(std::size_t)> page);
  ~revision_watch();
  revision_watch(const revision_watch&) = delete;
  revision_watch& operator=(const revision_watch&) = delete;

  revisions_seen stop();

 private:
  std::function<std::string(std::size_t)> page_;
  revision_check check_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace plantainpaddle
