#include "table/rows.h"

#include "table/row_json.h"

namespace plantainpaddle {

std::string to_string(const row_id& id) { return std::string(kind_name(id.kind)) + "/" + id.name; }

std::optional<row_id> parse_row_id(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || slash + 1 == text.size()) return std::nullopt;
  const auto kind = parse_kind(text.substr(0, slash));
  if (!kind) return std::nullopt;
  return row_id{*kind, std::string(text.substr(slash + 1))};
}

namespace {
const std::string& name_string(const std::string& name) { return name; }
template <class Id>
const std::string& name_string(const Id& id) {
  return id.value;
}
}  // namespace

const std::string& row_name(const row_value& row) {
  return std::visit([](const auto& r) -> const std::string& { return name_string(r.name); }, row);
}

row_id id_of(const row_value& row) { return {row_kind(row.index()), row_name(row)}; }

}  // namespace plantainpaddle
