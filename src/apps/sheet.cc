#include "apps/sheet.h"

#include <algorithm>

namespace plantainpaddle {

sheet::sheet(std::vector<std::string> header) { lines_.push_back(std::move(header)); }

void sheet::add(std::vector<std::string> cells) {
  cells.resize(lines_.front().size());
  lines_.push_back(std::move(cells));
}

std::string sheet::text(const std::string& indent) const {
  std::vector<std::size_t> widths(lines_.front().size());
  for (const auto& line : lines_) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  std::string text;
  for (const auto& line : lines_) {
    std::string shown = indent;
    for (std::size_t i = 0; i < line.size(); ++i) {
      shown += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    shown.erase(shown.find_last_not_of(' ') + 1);
    text += shown + "\n";
  }
  return text;
}

}  // namespace plantainpaddle
