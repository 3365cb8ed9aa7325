// A stand-in of a back-end server, as PROTOCOL.md describes it: slots and a short queue, keys that
// it holds by grants, and the headers of its answers. It notes each run.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/net.h"

namespace review {

struct run {
  std::string server;
  std::string id;  // of the request
  std::int64_t key = -1;
  std::int64_t at = 0;  // when the server began to work
};

// Keys that a server held for a time.
struct hold {
  std::string server;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  std::int64_t from = 0;
  std::int64_t until = 0;
};

// What all servers of a case did. Thread-safe.
class ledger {
 public:
  void add(run done);
  std::vector<run> runs();
  std::vector<run> runs_of(const std::string& id);

 private:
  std::mutex mutex_;
  std::vector<run> runs_;
  std::map<std::string, std::vector<std::size_t>> by_id_;
};

struct server_options {
  std::string id;
  std::string service;
  std::string zone;
  bool sharded = false;
  int slots = 3;
  int queue = 12;
  std::int64_t work_ms = 40;
  // The server begins to work when it has a request's head, and reads the body meanwhile.
  bool begins_at_head = false;
  // From an answer's head to its body.
  std::int64_t body_delay_ms = 0;
  // Changes the bytes of an answer before they are sent. Optional.
  std::function<std::string(const message& request, int status, std::string answer)> spoil;
  // Returns bytes to be sent before the next answer on the connection. Optional.
  std::function<std::string(const message& request, int status, const std::string& answer)> extra;
};

class server {
 public:
  server(server_options options, ledger& runs, record& log);
  ~server() { stop(); }
  const std::string& address() const { return listener_->address(); }
  const std::string& id() const { return options_.id; }
  // The server's entry in the store.
  std::string entry(std::uint64_t sequence) const;
  bool holds(std::uint32_t key);
  std::vector<hold> holds_of(std::uint32_t key);
  // The stamp of this server's answer to the request.
  std::string stamp_for(const std::string& request_id) const;
  static std::string body_for(const std::string& request_id);
  void stop();

 private:
  struct key_state {
    std::uint64_t seen = 0;  // highest fence
    std::uint64_t fence = 0;
    std::int64_t until = 0;
    int running = 0;
    std::vector<hold> past;
  };

  void serve(connection& link);
  bool serve_one(connection& link, message& request, std::string& owed);
  std::string work(connection& link, message& request, int& status);
  std::string order(const message& request);
  std::string format(const message& request, int status, const std::string& reason,
                     std::vector<field> fields, const std::string& body);

  server_options options_;
  ledger& runs_;
  record& log_;
  std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::vector<key_state> keys_;
  std::unique_ptr<acceptor> listener_;
};

}  // namespace review
