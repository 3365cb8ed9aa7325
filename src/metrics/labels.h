// Label values of the Prometheus text format.
#pragma once

#include <string>
#include <string_view>

namespace plantainpaddle {

// Escapes quotes and backslashes, and replaces line feeds by spaces.
inline std::string escape_label(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  return text;
}

}  // namespace plantainpaddle
