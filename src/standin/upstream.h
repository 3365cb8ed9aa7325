// Stand-in of an upstream over HTTP/1.1: takes fenced grants, runs requests in slots with a bounded
// queue, sheds, drains, starts cold, stops what the caller or the grant's end takes away, and keeps
// a journal of every run. docs/UPSTREAM.md has the protocol. With a registry it is an upstream of
// the users' platform: it registers itself, is granted ranges of numbered keys, and uses the
// platform's header fields.
//
//   upstream_standin upstream(executor, {.name = "desk-1", .slots = 6});
//   auto address = upstream.listen("127.0.0.1:0");
//
// Paths of its own: GET /control/journal, GET and POST /control/settings, GET /control/counters.
// One thread. Bodies pass through a buffer of fixed size.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "ownership/messages.h"

namespace plantainpaddle {

struct upstream_options {
  std::string name = "upstream";
  std::string service;       // empty: from the cell of the last grant
  std::string journal_file;  // empty: only in memory
  std::size_t slots = 6;
  std::size_t queue = 64;
  std::size_t connections = 130;  // more are closed at once
  duration open_delay = milliseconds(1);
  duration busy{0};                                         // of a request with no other time
  std::map<std::string, duration, std::less<>> class_busy;  // by the request's Standin-Class
  double slowness = 1;                                      // factor on all busy times
  duration cold_start{0};                                   // busy times fall from fourfold
  bool check_fence = true;
  std::string registry;   // control address of the platform stand-in; empty: the product's own form
  std::string domain;     // failure domain, for the registration
  std::string advertise;  // address in the registration; empty: where it listens
  // From one writing of its entry to the next. The entry stays for three of them after its end.
  duration heartbeat = milliseconds(870);
  bool registers = true;  // otherwise it is cut off from the registry
  duration warm_up{0};    // keys that come without a handover are slow for so long; with a registry
  double late_orders = 0;              // share of orders without an answer, carried out late
  duration late = milliseconds(2000);  // by so much
  // Shares of answers and of refusals of which a copy comes where the next answer on the
  // connection is due. Only of answers that fit into one piece.
  double copy_answers = 0;
  double copy_refusals = 0;
  bool drain = false;  // refuses new work
  bool shed = false;   // the same, and says so
  double limit = 0;  // requests a second that it says it takes; it runs more all the same. 0: none
  bool leaving = false;  // says in all answers that it leaves; it runs requests all the same
  // It turns all requests away and says that it wants none for so many seconds. 0: it doesn't.
  double pause_s = 0;
  std::optional<load_report> misleading;  // reported instead of the truth
};

// Applies a JSON object of changes to run-time settings.
std::optional<error> apply_settings(upstream_options& options, std::string_view text);
std::string format_settings(const upstream_options& options);

class upstream_standin {
 public:
  upstream_standin(boost::asio::any_io_executor executor, upstream_options options);
  ~upstream_standin();
  upstream_standin(const upstream_standin&) = delete;
  upstream_standin& operator=(const upstream_standin&) = delete;

  result<std::string> listen(const std::string& address);
  void close();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainpaddle
