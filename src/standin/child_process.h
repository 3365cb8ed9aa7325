// Programs started by benches and the demonstration; never by the system itself.
//
//   auto child = child_process::start({"build/bin/plantainpaddle-entry", "--settings", file},
//   log_file); child->signal(SIGSTOP);
//
// The program is killed when its object goes.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"

namespace plantainpaddle {

class child_process {
 public:
  // Output and errors go to log_file.
  static result<child_process> start(const std::vector<std::string>& command,
                                     const std::string& log_file);
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void signal(int number) const;
  // Kills it and waits for its end.
  void kill();
  // Waits for its end by itself; the exit code, -1 if it was killed.
  int wait();
  pid_t id() const { return id_; }
  // Resident memory in bytes; 0 if it has ended.
  std::uint64_t resident_bytes() const;

 private:
  explicit child_process(pid_t id) : id_(id) {}
  pid_t id_ = 0;  // 0: ended or moved from
};

}  // namespace plantainpaddle
