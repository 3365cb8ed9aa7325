// What this instance knows of the store's values: tables, layouts and cell records, newest version
// of each.
//
// A value with an older version than the known one is refused, wherever it came from, so that
// nothing an instance has shown as in force ever goes back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ownership/cell_record.h"
#include "peer/messages.h"
#include "table/rows.h"

namespace plantainpaddle {

struct state_keys {
  std::string prefix;  // "/plantainpaddle/<cluster>/"
  std::string table(const service_id& service) const { return prefix + "table/" + service.value; }
  std::string layout(const service_id& service) const { return prefix + "layout/" + service.value; }
  std::string cell(const cell_id& cell) const { return prefix + "cell/" + cell.value; }
};

struct known_record {
  cell_record record;
  std::uint64_t version = 0;
};

class state_cache {
 public:
  explicit state_cache(const std::string& cluster) : keys_{"/plantainpaddle/" + cluster + "/"} {}

  // True if the item is newer than what was known and can be read. Its key says what it is.
  result<bool> apply(const state_item& item);

  // Of all keys and versions, in any order of arrival.
  std::uint64_t summary() const { return summary_; }
  // Of a store key; 0 if it isn't known.
  std::uint64_t version_of(const std::string& key) const;
  state_digest digest() const;
  // What is newer here than in the digest, at most max_bytes of it.
  state_push newer_than(const state_digest& theirs, std::size_t max_bytes) const;

  const state_keys& keys() const { return keys_; }
  const std::map<service_id, service_table>& tables() const { return tables_; }
  const std::map<service_id, service_layout>& layouts() const { return layouts_; }
  const std::map<cell_id, known_record>& cells() const { return cells_; }

 private:
  state_keys keys_;
  std::map<std::string, state_item> items_;
  std::uint64_t summary_ = 0;
  std::map<service_id, service_table> tables_;
  std::map<service_id, service_layout> layouts_;
  std::map<cell_id, known_record> cells_;
};

}  // namespace plantainpaddle
