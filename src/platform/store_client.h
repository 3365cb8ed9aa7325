// Client of the platform's key-value service, whichever it is: what is said to the service is a
// store_protocol, one alternative for each kind of service.
//
//   store_client store(executor, {.addresses = {"127.0.0.1:2379"}});
//   store.compare_and_swap(key, version, value, [](result<swap_answer> answer) { ... });
//
// Every call counts against the store's rate, a waiting watch as one. No call is repeated here:
// whether to ask again, and when, is decided by the callers. An error of a write says nothing on
// whether it took effect. Handlers run on the executor's thread, exactly once, never inside the
// call. After an error the next call goes to the next address.
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
#include "platform/store_protocol.h"

namespace plantainpaddle {

struct store_settings {
  std::vector<std::string> addresses;  // "IP:port"; tried in turn
  duration timeout = milliseconds(800);
  duration watch_idle = seconds(30);    // a watch without any line for so long has ended
  std::size_t answer_bytes = 16 << 20;  // largest answer, and largest line of a watch
  store_protocol protocol = etcd_protocol{};
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
  // Which address is in use; shared with calls under way.
  struct rotation;
  void call(store_request request, std::function<void(result<std::string>)> done);

  store_settings settings_;
  std::shared_ptr<rotation> rotation_;
  http_client http_;
};

}  // namespace plantainpaddle
