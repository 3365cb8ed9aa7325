// An entry instance on a platform where upstreams register themselves in the store and are granted
// ranges of numbered keys: traffic, ownership, readiness and metrics on one thread.
//
//   range_instance instance(settings, file);
//   if (auto started = instance.start(); !started) ...
//   instance.run();                                   // until SIGTERM or SIGINT, drained
#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "entry/settings.h"

namespace plantainpaddle {

class range_instance {
 public:
  // file: where the settings were read from, to be read again at SIGHUP or when it changes.
  range_instance(entry_settings settings, std::string file);
  ~range_instance();
  range_instance(const range_instance&) = delete;
  range_instance& operator=(const range_instance&) = delete;

  result<std::string> start();
  void run();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
