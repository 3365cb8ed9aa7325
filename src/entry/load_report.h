// What an instance tells the assigner of a service: the requests that it got, by key.
//
//   {"service": "desk", "keys": [[17, 3], [18, 1]]}
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace plantainpaddle {

struct load_report_message {
  service_id service;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> keys;  // with their numbers of requests
  bool operator==(const load_report_message&) const = default;
};

std::string format_load_report(const load_report_message& report);
result<load_report_message> parse_load_report(std::string_view text);

}  // namespace plantainpaddle
