// Client of the platform's key-value service: the HTTP/JSON form of the etcd v3 interface.
//
//   store_client store(executor, {"127.0.0.1:2379"});
//   store.compare_and_swap(key, version, value, [](result<swap_answer> answer) { ... });
//
// Every call counts against the store's rate, a waiting watch as one. An error of a write says
// nothing on whether it took effect. Handlers run on the executor's thread, exactly once, never
// inside the call.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/client.h"

namespace plantainpaddle {

struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // modification revision
  bool operator==(const stored_value&) const = default;
};

struct range_answer {
  std::vector<stored_value> values;
  std::uint64_t revision = 0;  // of the whole store, to start a watch after
};

struct swap_answer {
  bool written = false;
  std::uint64_t version = 0;         // of the key now; 0: the key is absent
  std::optional<std::string> value;  // if not written: the value that stands there
};

struct watch_event {
  bool removed = false;
  stored_value value;
};

struct store_settings {
  std::vector<std::string> addresses;  // "IP:port"; tried in turn
  duration timeout = milliseconds(800);
  duration watch_idle = seconds(30);
};

class store_client {
 public:
  store_client(boost::asio::any_io_executor executor, store_settings settings);

  traffic_totals traffic() const { return http_.traffic(); }

  void range(const std::string& prefix, std::function<void(result<range_answer>)> done);
  void get(const std::string& key, std::function<void(result<std::optional<stored_value>>)> done);
  // Writes value if the key's version is expected (0: absent).
  void compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value,
                        std::function<void(result<swap_answer>)> done);
  // Events of all keys with the prefix after the revision, until the token is destroyed or an
  // error, which is the last call; then read again and watch from there.
  [[nodiscard]] std::shared_ptr<void> watch(
      const std::string& prefix, std::uint64_t after_revision,
      std::function<void(result<std::vector<watch_event>>)> on_events);

 private:
  const std::string& address() const;
  void call(const std::string& path, std::string body,
            std::function<void(result<std::string>)> done);

  store_settings settings_;
  std::shared_ptr<std::size_t> current_;  // index into addresses; moves on after an error
  http_client http_;
};

}  // namespace plantainpaddle
