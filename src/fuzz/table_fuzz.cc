// Table files and store values: whatever reads formats and reads back equal, and edits of it keep
// the rules.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "table/edit.h"
#include "table/parse.h"
#include "table/review.h"

using namespace plantainpaddle;

namespace {

void check(bool holds) {
  if (!holds) std::abort();
}

// Sets each column of each row to the text; what is accepted must read back and be undone.
void edit_all(const service_table& declared, std::string_view text) {
  for (const auto& [id, row] : rows_of(declared)) {
    for (const char* column : {"weight", "state", "timeout_ms", "rate", "renew_ms"}) {
      const auto changed = with_column(row, column, text);
      if (!changed) continue;
      const auto next = accept_edits(declared, {{id, *changed}}, {.author = "fuzz", .mark = 1});
      if (!next) continue;
      check(next->revision.value == declared.revision.value + 1);
      review_change(declared, *next);
      const auto undone = table_at(*next, declared.revision);
      if (undone) check(rows_of(*undone) == rows_of(declared));
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto service = parse_service_table(text)) {
    const auto again = parse_service_table(format_service_table(*service));
    check(again.has_value() && *again == *service);
    if (service->revision.value < 1'000'000) edit_all(*service, text.substr(0, 8));
  }
  if (auto file = parse_table_file(text)) {
    for (auto& [name, service] : *file) service.history.clear();  // files carry none
    const auto again = parse_table_file(format_table_file(*file));
    check(again.has_value() && *again == *file);
  }
  return 0;
}
