// Rows of text in aligned columns, as a spreadsheet shows them.
//
//   sheet s({"UPSTREAM", "WEIGHT"});
//   s.add({"desk-1", "2"});
//   std::cout << s.text("  ");
#pragma once

#include <string>
#include <vector>

namespace plantainpaddle {

class sheet {
 public:
  explicit sheet(std::vector<std::string> header);
  // Missing cells are empty, cells beyond the header are dropped.
  void add(std::vector<std::string> cells);
  std::string text(const std::string& indent) const;
  bool empty() const { return lines_.size() == 1; }

 private:
  std::vector<std::vector<std::string>> lines_;
};

}  // namespace plantainpaddle
