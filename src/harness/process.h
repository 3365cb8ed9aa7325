// Child processes of benches and demonstrations: start, signal, wait. The product itself starts
// none.
//
//   auto child = child_process::start({"build/bin/plantainpaddle-standin", "platform", ...}, log);
//   child->signal(SIGSTOP);
//
// The destructor kills the process and waits for it. A killed parent takes its children along.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace plantainpaddle {

class child_process {
 public:
  // Standard output and error are appended to the file.
  static result<child_process> start(const std::vector<std::string>& arguments,
                                     const std::string& log_file);
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  ~child_process();

  void signal(int number) const;
  bool running();
  // The exit code, 128 + the signal's number, or nothing if it still runs after the time.
  std::optional<int> wait(duration most);
  void kill();                                // SIGKILL and wait
  std::uint64_t resident_bytes() const;       // 0 if it has ended
  std::uint64_t peak_resident_bytes() const;  // since its start; 0 if it has ended
  std::size_t open_descriptors() const;       // 0 if it has ended

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}
  pid_t pid_ = 0;  // 0: none or reaped
  int code_ = 0;
};

}  // namespace plantainpaddle
