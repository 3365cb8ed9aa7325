// Where an operator's program finds the platform: from an entry instance's settings file, or from
// single options, which go before it.
#pragma once

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "base/error.h"

namespace plantainpaddle {

struct platform_address {
  std::string cluster;
  std::vector<std::string> store;  // "IP:port"
  std::string instances;           // "IP:port"
  bool operator==(const platform_address&) const = default;
};

// The options --settings, --store, --cluster and --instances of a command.
class platform_options {
 public:
  explicit platform_options(TCLAP::CmdLine& command);
  // Call after parsing. errc::bad_input names the option that lacks.
  result<platform_address> address();

 private:
  TCLAP::ValueArg<std::string> settings_;
  TCLAP::MultiArg<std::string> store_;
  TCLAP::ValueArg<std::string> cluster_;
  TCLAP::ValueArg<std::string> instances_;
};

}  // namespace plantainpaddle
