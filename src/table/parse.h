// Reads and writes the table's JSON form, which is the same in files and in the store.
//
// A file is {"services": [ {service table}, ... ]} with one row a line and without the history; a
// store value is one service table. Errors list
// every wrong column with its path, what was found and what is allowed; nothing is taken in part.
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "table/rows.h"

namespace plantainpaddle {

inline constexpr std::size_t max_table_bytes = 1'000'000;  // the store's largest value
inline constexpr std::size_t max_history = 50;             // change notes kept per service

result<service_table> parse_service_table(std::string_view text);
result<table> parse_table_file(std::string_view text);
std::string format_service_table(const service_table& declared);
std::string format_table_file(const table& declared);

}  // namespace plantainpaddle
