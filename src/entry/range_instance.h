// range_instance runs an entry instance on a platform where upstreams register themselves in the
// store and are granted ranges of numbered keys. Traffic, ownership, readiness and metrics share
// one thread.
//
//   range_instance instance(settings, file);
//   if (auto started = instance.start(); !started) ...
//   instance.run();                                   // returns when drained after SIGTERM or
//   SIGINT
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

  // Starts all listeners and returns the address that callers connect to, or the error of the first
  // listener that could not be opened.
  result<std::string> start();
  // Serves until the instance has drained. Returns once, after start() has succeeded.
  void run();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
