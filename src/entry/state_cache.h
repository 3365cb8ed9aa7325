// The newest known version of each value in the store: service tables, layouts and cell records.
//
// An item whose version isn't newer than the known one is ignored, whichever source it comes from.
// The state that an instance has published therefore never goes back to an older version.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ownership/cell_record.h"
#include "peer/messages.h"
#include "table/rows.h"

namespace plantainpaddle {

// The store keys of one cluster.
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

  // Stores the item if it is newer than the known version, and returns whether it was. The key
  // gives the type of the value; other keys are ignored. An unreadable value is an error and
  // changes nothing.
  result<bool> apply(const state_item& item);

  // A hash of all keys and versions that doesn't depend on the order in which they arrived.
  std::uint64_t summary() const { return summary_; }
  // The known version of a store key; 0 if there is none.
  std::uint64_t version_of(const std::string& key) const;
  // All keys and versions, without values.
  state_digest digest() const;
  // Returns the items that are newer here than in the digest: at most max_bytes of keys and values,
  // but at least one item if there is any.
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
