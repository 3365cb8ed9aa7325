// Rows as JSON. Only row_json.cc knows the names, units and bounds of the columns; the defaults are
// those of the structs in rows.h.
//
//   error_list errors;
//   row_value row = read_row(row_kind::upstream, value, "$.upstreams[0]", errors);
//   boost::json::object columns = row_to_json(row);
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/json.h"
#include "table/rows.h"

namespace plantainpaddle {

// The kind as it is written in row ids: "service", "upstream", "route" or "limit".
std::string_view kind_name(row_kind kind) noexcept;
std::optional<row_kind> parse_kind(std::string_view name) noexcept;

boost::json::object row_to_json(const row_value& row);
// The same as one line of text, with numbers as by number_text(): 1, 0.34.
std::string row_to_text(const row_value& row);
// Reads a row whose place in the document is path. Appends to errors; after an error the row must
// not be used.
row_value read_row(row_kind kind, const boost::json::value& value, const std::string& path,
                   error_list& errors);

}  // namespace plantainpaddle
