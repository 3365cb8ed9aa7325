// Client of the platform's key-value service, whichever it is: what is said to the service is a
// store_protocol, one alternative for each kind of service.
//
//   store_client store(executor, {.addresses = {"127.0.0.1:2379"}});
//   store.compare_and_swap(key, version, value, [](result<swap_answer> answer) { ... });
//
// poll(), transact() and leases are the platform's metadata store's alone; watch() is etcd's. A
// call that the service has no form for fails with errc::refused.
//
// A store that comes back from an older copy of itself starts a new era: what it acknowledged since
// is lost, and its revisions and leases are given out again. A call that began in one era and was
// answered in another fails with errc::protocol, since neither what it asked nor what it got can be
// told from what the other era means by the same numbers.
//
// Every call counts against the store's rate, a waiting watch as one. No call is repeated here:
// whether to ask again, and when, is decided by the callers. An error of a write says nothing on
// whether it took effect. Handlers run on the executor's thread, exactly once, never inside the
// call. After an error the next call goes to the next address, on a new connection. errc::refused:
// nothing was done.
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

  // From the next call on; calls under way end as they would have.
  void set_addresses(std::vector<std::string> addresses);

  traffic_totals traffic() const { return http_.traffic(); }

  // timeout: of each call, as of poll().
  void range(const std::string& prefix, std::function<void(result<range_answer>)> done,
             std::optional<duration> timeout = {}, std::shared_ptr<http_call> call = {});
  void get(const std::string& key, std::function<void(result<std::optional<stored_value>>)> done);
  // Writes value if the key's version is expected (0: absent).
  void compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value,
                        std::function<void(result<swap_answer>)> done);

  // What has changed under the prefix after the revision; waits for a first change as long as
  // `wait`. timeout: beyond the wait; none: that of the settings.
  void poll(const std::string& prefix, std::uint64_t after_revision, duration wait,
            std::function<void(result<poll_answer>)> done, std::optional<duration> timeout = {},
            std::shared_ptr<http_call> call = {});
  void transact(const store_transaction& transaction,
                std::function<void(result<transaction_answer>)> done);
  void create_lease(duration ttl, std::function<void(result<granted_lease>)> done);
  // False: the lease has ended.
  void renew_lease(std::uint64_t lease, std::function<void(result<bool>)> done);
  void end_lease(std::uint64_t lease, std::function<void(result<bool>)> done);
  // The highest number of the store's history that a response has stated; 0: none has.
  std::uint64_t era() const { return *era_; }
  // Another instance has seen this era of the store.
  void observe_era(std::uint64_t era, const std::string& peer) { note_era(era, peer); }
  // Called when the era changes, before the call that shows it is answered; not for the first one.
  void set_era_handler(std::function<void()> handler) { on_era_ = std::move(handler); }
  // Calls made so far.
  std::uint64_t calls() const { return *calls_; }

  // Events of all keys with the prefix after the revision, until the token is destroyed or an
  // error, which is the last call; then read again and watch from there.
  [[nodiscard]] std::shared_ptr<void> watch(
      const std::string& prefix, std::uint64_t after_revision,
      std::function<void(result<std::vector<watch_event>>)> on_events);

 private:
  // Which address is in use; shared with calls under way.
  struct rotation;
  void send(store_request request, duration timeout,
            std::function<void(result<http_response>)> done, std::shared_ptr<http_call> call = {});
  void call(store_request request, std::function<void(result<std::string>)> done);
  // What `ask` makes of the platform's form goes out, `read` reads the answer.
  template <class Answer, class Ask, class Read>
  void ask_items(duration timeout, const Ask& ask, Read read,
                 std::function<void(result<Answer>)> done, std::shared_ptr<http_call> call = {});
  void range_pages(const std::string& prefix, range_answer so_far, duration timeout,
                   std::function<void(result<range_answer>)> done,
                   std::shared_ptr<http_call> handle);

  store_settings settings_;
  void note_era(std::uint64_t era, const std::string& address);

  std::function<void()> on_era_;
  std::shared_ptr<std::uint64_t> era_ = std::make_shared<std::uint64_t>(0);
  std::shared_ptr<std::uint64_t> calls_ = std::make_shared<std::uint64_t>(0);
  std::shared_ptr<rotation> rotation_;
  http_client http_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for handlers that outlive it
};

}  // namespace plantainpaddle
