// Errors: a std::error_code, the step that failed, the peer involved and a detail for people.
//
//   result<table> read = parse_table_file(text);
//   if (!read) return read.error();
//
// Bad input never throws: a function that can fail returns a result, and constructors as a rule
// can't fail.
#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace plantainpaddle {

enum class errc {
  bad_input = 1,   // rejected before anything was done
  not_found,       // no such row, key, route or instance
  conflict,        // another writer changed it first
  unavailable,     // the peer can't be reached or reports overload
  timed_out,       // no answer in time: the request may or may not have run
  refused,         // the peer declined the request
  limit_exceeded,  // a declared limit was exceeded
  not_owner,       // the peer doesn't own the shard under this fencing token
  stale,           // an older term, revision or nonce than one already seen
  protocol,        // the peer's answer is malformed or breaks the protocol
  cancelled,       // the caller went away
  internal,
};

// The category of errc; its messages are names such as "not-found".
const std::error_category& plantainpaddle_category() noexcept;
std::error_code make_error_code(errc code) noexcept;

// The operation in which an error arose. Log lines and the router's own error answers name it.
enum class step {
  settings,
  table,
  listen,
  parse_request,
  route,
  limit,
  admit,
  connect,
  send_request,
  read_answer,
  store,
  instance_list,
  peer,
  grant,
  ownership,
};

// Returns the name that logs and answers use, such as "parse-request".
std::string_view step_name(step at) noexcept;

struct error {
  std::error_code code;
  step at = step::settings;
  std::string peer;    // address or id of the peer, empty if none is involved
  std::string detail;  // for people: what was found and what was expected

  bool operator==(const error&) const = default;
};

// Formats an error as "step peer: detail (code)".
std::string to_string(const error& e);

template <class T>
using result = boost::system::result<T, error>;

// Throws std::logic_error. result<T>::value() calls it if the result holds an error, which is a bug
// of the caller.
[[noreturn]] void throw_exception_from_error(const error& e, const boost::source_location& where);

}  // namespace plantainpaddle

template <>
struct std::is_error_code_enum<plantainpaddle::errc> : std::true_type {};
