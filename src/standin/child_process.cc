#include "standin/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <utility>

extern char** environ;

namespace plantainpaddle {

result<child_process> child_process::start(const std::vector<std::string>& command,
                                           const std::string& log_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  pid_t id = 0;
  const int failed = posix_spawn(&id, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    return error{std::error_code(failed, std::generic_category()), step::settings, command[0],
                 std::strerror(failed)};
  }
  return child_process(id);
}

child_process::~child_process() { kill(); }

child_process::child_process(child_process&& other) noexcept : id_(std::exchange(other.id_, 0)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    kill();
    id_ = std::exchange(other.id_, 0);
  }
  return *this;
}

void child_process::signal(int number) const {
  if (id_ != 0) ::kill(id_, number);
}

void child_process::kill() {
  if (id_ == 0) return;
  signal(SIGKILL);
  wait();
}

int child_process::wait() {
  if (id_ == 0) return -1;
  int status = 0;
  ::waitpid(std::exchange(id_, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::uint64_t child_process::resident_bytes() const {
  std::ifstream in("/proc/" + std::to_string(id_) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace plantainpaddle
