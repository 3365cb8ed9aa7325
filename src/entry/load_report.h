// Messages between instances, as JSON: a load report carries an instance's request counts by key to
// the assigner of a service, and a pushed record carries what the assigner has written to the
// store.
//
//   {"service": "desk", "keys": [[17, 3], [18, 1]]}
//   {"service": "desk", "version": 812, "record": "..."}
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

struct load_report_message {
  service_id service;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> keys;  // key, requests
  bool operator==(const load_report_message&) const = default;
};

struct pushed_record {
  service_id service;
  std::uint64_t version = 0;  // of the record's key in the store
  range_record record;
  bool operator==(const pushed_record&) const = default;
};

// Each parse function returns an error if the text is too long, is not JSON, or lacks or misuses a
// field.
std::string format_pushed_record(const pushed_record& pushed);
result<pushed_record> parse_pushed_record(std::string_view text);

std::string format_load_report(const load_report_message& report);
result<load_report_message> parse_load_report(std::string_view text);

}  // namespace plantainpaddle
