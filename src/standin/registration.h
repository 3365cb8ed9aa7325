// An upstream stand-in's entry in the platform's store: written again and again while it lives, so
// that it lapses without it.
//
//   registration entry(executor, "127.0.0.1:2380", {.id = {"desk-1"}, ...});
//   entry.start();
//   entry.set_leaving();
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "http/client.h"
#include "ownership/upstream_list.h"

namespace plantainpaddle {

class registration {
 public:
  // platform: the address of the stand-in's control paths.
  registration(boost::asio::any_io_executor executor, std::string platform,
               registered_upstream upstream, duration heartbeat);

  void start();
  void set_leaving();
  // The platform can't be reached.
  void set_cut_off(bool cut_off) { cut_off_ = cut_off; }
  void stop();

 private:
  void write();

  std::string platform_;
  registered_upstream upstream_;
  duration heartbeat_;
  http_client http_;
  boost::asio::steady_timer timer_;
  bool cut_off_ = false;
  std::uint64_t sequence_ = 0;    // of the latest heartbeat
  std::uint64_t changed_at_ = 0;  // the sequence at which the entry changed last
};

}  // namespace plantainpaddle
