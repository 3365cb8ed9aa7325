#include "harness/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace plantainpaddle {
namespace {

constexpr duration poll_period = milliseconds(5);
constexpr int signal_code = 128;

// Between fork and exec only calls that are safe after a fork.
[[noreturn]] void become(const std::vector<char*>& arguments, int log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(signal_code);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(signal_code - 1);
}

}  // namespace

result<child_process> child_process::start(const std::vector<std::string>& arguments,
                                           const std::string& log_file) {
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) return error{errc::unavailable, step::listen, log_file, std::strerror(errno)};
  std::vector<std::string> copies = arguments;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (auto& copy : copies) pointers.push_back(copy.data());
  pointers.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) become(pointers, log, parent);
  close(log);
  if (pid < 0) return error{errc::unavailable, step::listen, arguments[0], std::strerror(errno)};
  return child_process(pid);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), code_(other.code_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this == &other) return *this;
  kill();
  pid_ = std::exchange(other.pid_, 0);
  code_ = other.code_;
  return *this;
}

child_process::~child_process() { kill(); }

void child_process::signal(int number) const {
  if (pid_ != 0) ::kill(pid_, number);
}

bool child_process::running() { return !wait(duration{0}); }

std::optional<int> child_process::wait(duration most) {
  const monotonic_time until = monotonic_now() + most;
  while (pid_ != 0) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_code + WTERMSIG(status);
      break;
    }
    if (monotonic_now() >= until) return std::nullopt;
    std::this_thread::sleep_for(poll_period);
  }
  return code_;
}

void child_process::kill() {
  if (pid_ == 0) return;
  signal(SIGKILL);
  wait(seconds(10));
}

std::uint64_t child_process::resident_bytes() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t child_process::peak_resident_bytes() const {
  constexpr std::string_view name = "VmHWM:";
  constexpr std::uint64_t kib = 1024;
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name)) return std::stoull(line.substr(name.size())) * kib;
  }
  return 0;
}

std::size_t child_process::open_descriptors() const {
  std::error_code code;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", code);
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

}  // namespace plantainpaddle
