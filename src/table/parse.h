// Reads and writes the table's JSON form, which is the same in files and in the store.
//
// A file is {"services": [ {service table}, ... ]} with one row per line and without the history; a
// store value is one service table with its history. An error lists every wrong column with its
// path, what was found and what was expected; a text with an error is rejected as a whole.
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "table/rows.h"

namespace plantainpaddle {

inline constexpr std::size_t max_table_bytes = 1'000'000;  // largest value that the store takes
inline constexpr std::size_t max_history = 50;             // change notes kept per service

// Both fail with errc::limit_exceeded above max_table_bytes, otherwise with errc::bad_input.
result<service_table> parse_service_table(std::string_view text);
result<table> parse_table_file(std::string_view text);
std::string format_service_table(const service_table& declared);
std::string format_table_file(const table& declared);

}  // namespace plantainpaddle
