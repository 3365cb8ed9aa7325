// The platform's list of live and leaving instances. It lags: a hint on whom to ask, never a proof
// that an instance is gone.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "http/client.h"

namespace plantainpaddle {

enum class instance_state { live, leaving };

struct instance_info {
  std::string name;
  domain_id domain;
  std::string region;
  std::string callers;  // "IP:port" of each listener
  std::string forward;
  std::string operators;
  std::string peers;
  instance_state state = instance_state::live;
  bool operator==(const instance_info&) const = default;
};

result<std::vector<instance_info>> parse_instance_list(std::string_view text);
std::string format_instance_list(const std::vector<instance_info>& instances);

// GET /v1/instances at address.
void fetch_instances(http_client& client, const std::string& address, duration timeout,
                     std::function<void(result<std::vector<instance_info>>)> done);

}  // namespace plantainpaddle
