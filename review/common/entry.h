// Starts entry processes with the command and the settings template of the deploy file, and the
// rest that every case needs: the desired state, heartbeats of servers, and requests of clients.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/net.h"
#include "common/server.h"
#include "common/store.h"

namespace review {

// The project's folder and the folder of the case, from the command line and the environment.
struct case_setup {
  std::string root;
  std::string folder;    // of the case
  std::string scratch;   // a temporary folder, removed at the end
  bool troubled = true;  // false with TROUBLE=0
  int argument = 0;      // of the case, if it takes one
};
case_setup read_setup(int argc, char** argv);
// Ends the processes that were started, removes the scratch folder and exits at once, since
// connections of the stand-ins may still be open on threads of their own.
[[noreturn]] void end_case(int code);

struct entry_options {
  std::string name;
  std::string zone = "north";
};

class entry {
 public:
  entry(const case_setup& setup, entry_options options, const std::string& store_address);
  ~entry();
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  const std::string& name() const { return options_.name; }
  const std::string& front() const { return front_; }
  pid_t pid() const { return pid_; }
  bool is_ready() const;
  bool wait_until_ready(std::int64_t timeout_ms) const;
  void signal(int number) const;
  // Whether the process has ended by itself.
  bool has_ended();

 private:
  entry_options options_;
  std::string front_;
  std::string ready_;
  pid_t pid_ = -1;
};

struct route {
  std::string name;
  std::string prefix;
  std::string type;  // safe, unsafe or upload
  std::string service;
  int timeout_ms = 3000;
  int max_attempts = 2;
};
struct service {
  std::string name;
  bool sharded = false;
};
constexpr const char* client_host = "orders.example";
// The text of op/config.
std::string desired_state(int version, const std::vector<route>& routes,
                          const std::vector<service>& services);

// Writes the entries of servers into the store about every 870 ms, until it is destroyed.
// `reaches`, if there is one, says whether a server reaches the store now.
class heartbeats {
 public:
  heartbeats(store& to, std::vector<server*> servers,
             std::function<bool(const server&)> reaches = {});
  ~heartbeats();

 private:
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// A request as clients send it, on a new connection. No value: no whole answer came.
std::optional<message> request(const std::string& front, const std::string& method,
                               const std::string& target, const std::string& id,
                               std::int64_t budget_ms, std::int64_t key, const std::string& body);
std::vector<field> request_fields(const std::string& id, std::int64_t budget_ms, std::int64_t key);

}  // namespace review
