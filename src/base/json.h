// Strict reading of JSON objects: an unknown name, a missing member, a wrong type or a number out
// of range becomes an error that names the path, what was found and what was expected.
//
//   object_reader reader(value, "$.limits[2]", step::table, errors);
//   row.tenant = reader.text("tenant");
//   row.rate = reader.integer("rate", 1, 1'000'000, 100);   // optional: has a default
//   reader.finish();                                         // reports unknown names
//
// Errors are collected in a list, so that a person sees all of them at once. After an error the
// values read are placeholders and must not be used.
#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace plantainpaddle {

using error_list = std::vector<error>;

// Parses at most max_bytes of text, nested at most 16 levels deep. The detail of a syntax error has
// its line and column. errc::limit_exceeded: the text is too long.
result<boost::json::value> parse_json(std::string_view text, step at, std::size_t max_bytes);

// Reads the members of one JSON object by name and type. A member without a fallback is required;
// every error is appended to the list that the constructor is given.
class object_reader {
 public:
  // path is the place of the value in the document, such as "$.limits[2]". value and errors must
  // outlive the reader.
  object_reader(const boost::json::value& value, std::string path, step at, error_list& errors);

  // A string member.
  std::string text(std::string_view name, std::optional<std::string> fallback = std::nullopt);
  std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> fallback = std::nullopt);
  std::uint64_t unsigned_integer(std::string_view name,
                                 std::optional<std::uint64_t> fallback = std::nullopt);
  double number(std::string_view name, double min, double max,
                std::optional<double> fallback = std::nullopt);
  bool boolean(std::string_view name, std::optional<bool> fallback = std::nullopt);
  // A string member that is one of the allowed values; returns its index.
  std::size_t choice(std::string_view name, const std::vector<std::string_view>& allowed,
                     std::optional<std::size_t> fallback = std::nullopt);
  // An array of strings; empty if the member is absent.
  std::vector<std::string> texts(std::string_view name, bool required);
  // The member as an array or object, or null if it is absent (an error if required) or of another
  // type.
  const boost::json::array* array(std::string_view name, bool required);
  const boost::json::value* object(std::string_view name, bool required);

  // The path of a member, for errors of the caller's own checks.
  std::string path_of(std::string_view name) const;
  // Appends errc::bad_input with the path of a member.
  void fail(std::string_view name, std::string detail);
  // Reports each member that was never asked for as an unknown name.
  void finish();

 private:
  const boost::json::value* find(std::string_view name, bool required);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  step step_;
  error_list* errors_;
  std::set<std::string, std::less<>> seen_;
};

// Returns the first error with the details of all, joined by "; ". errors must not be empty.
error join_errors(const error_list& errors);

// Parses an object and calls `read` with an object_reader for it. The error, if any, joins all that
// were found.
template <class Read>
result<void> read_object(std::string_view text, step at, std::size_t max_bytes, const Read& read) {
  const auto value = parse_json(text, at, max_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", at, errors);
  read(reader);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return {};
}

// Formats a number with the fewest digits that read back as the same value: 1, 0.34.
std::string number_text(double number);

}  // namespace plantainpaddle
