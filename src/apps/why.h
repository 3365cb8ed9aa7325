// From a request's id to its cause: the lines of the log that tell of it, and the last thing that
// each instance had learnt before of the upstreams and services that they name.
//
//   const auto found = explain_request(lines, "9c41d07be2a35f68");
//   for (const auto& line : found.told) ...
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace plantainpaddle {

struct request_explanation {
  std::vector<std::string> told;     // of the request, in the order of their times
  std::vector<std::string> beliefs;  // what was known of its upstreams and services by then
  std::size_t unreadable = 0;        // lines that are no JSON objects
  bool operator==(const request_explanation&) const = default;
};

// lines: of any number of instances, in any order. A line may have text before its JSON object.
request_explanation explain_request(const std::vector<std::string>& lines, std::string_view id);

}  // namespace plantainpaddle
