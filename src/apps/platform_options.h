// Where an operator's program finds the platform: from an entry instance's settings file, or from
// single options, which go before it.
#pragma once

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "apps/fleet.h"
#include "entry/settings.h"

namespace plantainpaddle {

struct platform_address {
  platform_form form = platform_form::etcd;
  std::string cluster;
  std::vector<std::string> store;  // "IP:port"
  fleet_address fleet;
};

// The options --settings, --store, --form, --cluster, --instances and --ask of a command.
class platform_options {
 public:
  explicit platform_options(TCLAP::CmdLine& command);
  // Call after parsing. errc::bad_input names the option that lacks.
  result<platform_address> address();

 private:
  TCLAP::ValueArg<std::string> settings_;
  TCLAP::MultiArg<std::string> store_;
  TCLAP::ValuesConstraint<std::string> forms_;
  TCLAP::ValueArg<std::string> form_;
  TCLAP::ValueArg<std::string> cluster_;
  TCLAP::ValueArg<std::string> instances_;
  TCLAP::MultiArg<std::string> ask_;
};

}  // namespace plantainpaddle
