// Messages between instances, as JSON: a load report carries an instance's request counts by key to
// the assigner of a service, and a pushed record carries what the assigner has written to the
// store, as the changes from a record that the receiver is known to have, or whole. The response
// to either says which record the receiver has, by its position.
//
//   {"service": "desk", "address": "10.1.0.18:7200", "known": [1, 3, 14], "keys": [[17, 3]],
//    "limits": [["desk-1", 14.9]], "leaving": [["desk-2", 1764942000123]],
//    "speeds": [["desk-1", 3, 1.21]]}
//   {"service": "desk", "version": 812, "base": [1, 3, 14], "unchanged": [0, 2], "record": "..."}
//   {"known": [1, 3, 17]}
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "ownership/observed_speeds.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

struct load_report_message {
  service_id service;
  std::string address;    // where the sender takes pushed records
  record_position known;  // of the record that it has
  std::vector<std::pair<std::uint32_t, std::uint32_t>> keys;  // key, requests
  // Limits that upstreams of the service name, in requests per second, if the sender issues the
  // permits for them.
  std::map<upstream_id, double> limits;
  // Lives of upstreams of the service that have said in a response that they leave.
  std::map<upstream_id, std::uint64_t> leaving;
  // Answers that upstreams of the service gave the sender since its last report; empty unless the
  // sender's snapshot is contended.
  answer_samples speeds;
  bool operator==(const load_report_message&) const = default;
};

struct pushed_record {
  service_id service;
  std::uint64_t version = 0;  // of the record's key in the store, in the record's era
  record_position base;       // of the record that `record` changes; zero: it is whole
  range_delta record;
  bool operator==(const pushed_record&) const = default;
};

// Each parse function returns an error if the text is too long, is not JSON, or lacks or misuses a
// field.
std::string format_pushed_record(const pushed_record& pushed);
result<pushed_record> parse_pushed_record(std::string_view text);

// The response to a message, zero if the receiver has no record.
std::string format_known_record(const record_position& position);
result<record_position> parse_known_record(std::string_view text);

std::string format_load_report(const load_report_message& report);
result<load_report_message> parse_load_report(std::string_view text);

}  // namespace plantainpaddle
