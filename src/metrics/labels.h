// Label values of the Prometheus text format.
#pragma once

#include <string>
#include <string_view>

namespace plantainpaddle {

// Quotes and backslashes escaped, line ends as blanks.
inline std::string escape_label(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  return text;
}

}  // namespace plantainpaddle
