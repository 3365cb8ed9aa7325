// Callers that misuse a listener, all on one thread: each has one connection at a time, sends a
// script as its pace allows, and opens the next connection some time after the last one has ended.
//
//   crowd callers(address, {.callers = 600, .script = make_upload});
//   ... look at the process under test ...
//   callers.stop();
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "base/time.h"

namespace plantainpaddle {

// What a caller sends on one connection: `first`, then `unit` again and again up to `repeated`
// bytes, then `last`. Then it keeps the connection open.
struct crowd_script {
  std::string first;
  std::string unit;
  std::uint64_t repeated = 0;
  std::string last;
};

struct crowd_settings {
  std::size_t callers = 1;
  std::function<crowd_script(std::size_t caller)> script;
  std::size_t piece = 64 << 10;  // most bytes of one write
  duration pause{0};             // between the writes of a connection
  // Most bytes that a caller reads at once, after each pause between reads; 0: it reads nothing.
  std::size_t read_piece = 64 << 10;
  duration read_pause{0};
  duration reopen_after = milliseconds(500);  // from a connection's end to the next connection
  int receive_buffer = 0;                     // SO_RCVBUF in bytes; 0: the system's default
};

class crowd {
 public:
  crowd(const std::string& address, crowd_settings settings);
  ~crowd() { stop(); }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  // Closes all connections.
  void stop();
  std::uint64_t bytes_sent() const { return sent_; }
  std::uint64_t connections() const { return opened_; }

 private:
  void run(const std::string& address);

  crowd_settings settings_;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> sent_{0};
  std::atomic<std::uint64_t> opened_{0};
  std::thread thread_;
};

}  // namespace plantainpaddle
