// range_instance runs an entry instance on a platform where upstreams register themselves in the
// store and are granted ranges of numbered keys. Traffic, ownership, readiness and metrics share
// one thread.
//
//   range_instance instance(settings, file);
//   if (auto started = instance.start(); !started) ...
//   instance.run();  // returns when drained after SIGTERM or SIGINT
#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "entry/settings.h"

namespace plantainpaddle {

class range_instance {
 public:
  // `file` is the path that the settings came from. It is read again on SIGHUP and when its
  // modification time changes.
  range_instance(entry_settings settings, std::string file);
  ~range_instance();
  range_instance(const range_instance&) = delete;
  range_instance& operator=(const range_instance&) = delete;

  // Opens the listeners for operators, peers and callers, in this order, and returns the address
  // that callers connect to, or the error of the first listener that couldn't be opened. Requests
  // are served once run() is called.
  result<std::string> start();
  // Serves on the calling thread until the instance has drained after SIGTERM or SIGINT.
  // Connections that take too long, or are open at a second signal, are aborted. To be called once,
  // after start() has succeeded.
  void run();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
