// Hands on news of the store between the instances of a failure domain, so that one of them reads
// the store for all. Who reads is decided by news_source, what the others miss by news_log.
//
//   news_relay relay(io.get_executor(), client, store, view, self);
//   relay.tick();                                      // several times a second
//   relay.on_store_change(changed.instances);          // the view has changed
//   co_return co_await relay.serve(request.body);      // another instance asks for news
//
// An answer is held until there is news or the store has been read again, so that each instance
// knows how old its view is. Everything runs on the executor's thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include "base/suspensions.h"
#include "entry/news_messages.h"
#include "entry/store_view.h"
#include "http/client.h"
#include "ownership/news_source.h"
#include "platform/store_client.h"

namespace plantainpaddle {

inline constexpr std::string_view news_target = "/news";

class news_relay {
 public:
  // self: as it is registered; its address is where serve() is reached.
  news_relay(boost::asio::any_io_executor executor, http_client& client, store_client& store,
             store_view& view, instance_registration self);

  // Asks for news if another instance reads the store, and answers those that wait for news.
  void tick();
  // instances: the registered instances are among what has changed.
  void on_store_change(bool instances);
  boost::asio::awaitable<http_response> serve(std::string body);

  // Counts since the start.
  struct counters {
    std::uint64_t asked = 0;     // other instances, for news
    std::uint64_t failed = 0;    // of these, without a usable answer
    std::uint64_t answered = 0;  // requests of others
    std::uint64_t values = 0;    // of these, with a value that was asked for
    std::uint64_t role_changes = 0;
  };
  const counters& counts() const { return counts_; }
  feed_role role() const { return role_; }

 private:
  struct waiter {
    news_request request;
    monotonic_time arrived{};
    boost::asio::steady_timer timer;
  };

  void update_role(monotonic_time now);
  void ask(const instance_registration& reader, monotonic_time now);
  void on_answer(const instance_registration& reader, std::uint64_t asked_in,
                 monotonic_time asked_at, const result<http_response>& answer);
  bool is_due(const waiter& waiting) const;
  void wake_due();
  void fail(const instance_registration& reader, std::string_view why);

  boost::asio::any_io_executor executor_;
  http_client& client_;
  store_client& store_;
  store_view& view_;
  news_source source_;
  suspensions suspended_;
  feed_role role_ = feed_role::alone;
  std::string reader_;  // the instance that reads the store for this one; empty if this one does
  bool asking_ = false;
  std::uint64_t token_ = 0;     // of the log that the last news came from
  std::uint64_t sequence_ = 0;  // in that log
  std::list<waiter> waiting_;
  value_pace pace_;
  counters counts_;
};

std::string_view role_name(feed_role role);

}  // namespace plantainpaddle
