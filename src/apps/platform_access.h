// The platform's store as an operator's program uses it: one call at a time, blocking.
//
//   platform_access platform(address);
//   auto tables = platform.read_tables();
//   auto outcome = commit_edits(platform.access(), proposal);
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "apps/commit.h"
#include "apps/platform_options.h"
#include "apps/registry_view.h"
#include "entry/state_cache.h"

namespace plantainpaddle {

class platform_access {
 public:
  explicit platform_access(const platform_address& address);

  // All services of the cluster.
  result<table> read_tables();
  // With platform_form::items.
  result<registry_state> read_registry();
  // The members of the answer use this object.
  table_access access();

 private:
  // Runs start(done) to its end and gives what done was called with.
  template <class T, class Start>
  result<T> wait(Start start);

  boost::asio::io_context io_{1};
  store_client store_;
  state_keys keys_;
};

}  // namespace plantainpaddle
