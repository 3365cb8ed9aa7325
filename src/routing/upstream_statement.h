// What a response states about the upstream that it comes from, beside its answer to the request.
//
//   const auto stated = parse_upstream_statement({.limit = "20.5", .leaving = "1"});
//   if (stated.leaving) ...
//   if (!stated.unreadable.empty()) count(stated.unreadable);
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

// A longer pause counts as this long, so that one absurd value can't put an upstream out of use.
inline constexpr duration max_pause = seconds(600);

// The values of the response's fields; empty where there is no such field.
struct statement_fields {
  std::string_view limit;
  std::string_view leaving;
  std::string_view retry_after;
};

struct upstream_statement {
  std::optional<double> limit;    // requests per second that it takes from all instances together
  bool leaving = false;           // it shuts down and wants no new requests
  std::optional<duration> pause;  // for which it wants no requests from this instance
  std::string_view unreadable;    // the name of a field whose value was ignored; usually empty
  bool operator==(const upstream_statement&) const = default;
};

// Values that can't be read count as absent.
upstream_statement parse_upstream_statement(const statement_fields& fields);

// Parses a Retry-After in seconds, whole or with a decimal fraction, bounded by max_pause. Returns
// nullopt unless it is a positive number without an exponent.
std::optional<duration> parse_pause(std::string_view text);

// Whether a response with this status turns its request away because of the upstream's state, so
// that its Retry-After applies to all requests.
bool is_turned_away(unsigned status);

}  // namespace plantainpaddle
