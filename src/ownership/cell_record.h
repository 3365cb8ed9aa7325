// The one store record of a cell: who assigns, who stands by, and who owns which shard at which
// fence. Changed by compare-and-swap only.
//
// A cell is up to max_cell_upstreams upstreams of one service in one failure domain and the shards
// they own. Which shards belong to which cell is said by the service's layout record.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "ownership/messages.h"

namespace plantainpaddle {

inline constexpr std::size_t max_cell_upstreams = 16;
inline constexpr std::size_t max_standbys = 3;
inline constexpr std::size_t max_record_bytes = 1'000'000;

struct shard_owner {
  std::optional<upstream_id> owner;  // none: nobody has owned it since its last fence, or released
  fence_number fence;
  bool released = false;  // to another cell: granted to nobody until the layout gives it back
  bool operator==(const shard_owner&) const = default;
};

// Who wrote a record, so that a writer whose answer was lost can recognise its own write.
struct write_mark {
  instance_id writer;
  std::uint64_t nonce = 0;
  bool operator==(const write_mark&) const = default;
};

struct cell_record {
  cell_id cell;
  service_id service;
  domain_id domain;
  term_number term;
  revision_number revision;  // grows by one with each write of the record
  instance_id assigner;
  std::vector<instance_id> standbys;
  std::map<shard_id, shard_owner> shards;
  write_mark mark;

  bool operator==(const cell_record&) const = default;
};

// The shards that the record gives to an upstream, sorted by shard.
std::vector<shard_grant> grants_of(const cell_record& record, const upstream_id& upstream);

result<cell_record> parse_cell_record(std::string_view text);
std::string format_cell_record(const cell_record& record);

// The service's layout: its cells, and the cell that each shard belongs to. fence is the least
// fence that the cell may use for the shard, raised when a shard changes cells.
struct layout_entry {
  std::uint32_t cell = 0;  // index into cells
  fence_number least_fence{1};
  std::optional<std::uint32_t> next;  // the cell that takes it once this one has released it
  bool operator==(const layout_entry&) const = default;
};

struct service_layout {
  service_id service;
  revision_number revision;
  std::vector<cell_id> cells;
  std::vector<layout_entry> shards;  // by shard id
  write_mark mark;

  bool operator==(const service_layout&) const = default;
};

result<service_layout> parse_service_layout(std::string_view text);
std::string format_service_layout(const service_layout& layout);

// An owner is an upstream, or, for an upstream that checks no fences, "upstream~instance": the
// upstream through that instance as its dispatcher.
upstream_id make_dispatched_owner(const upstream_id& upstream, const instance_id& dispatcher);
upstream_id upstream_of(const upstream_id& owner);
// Nothing if the owner is the upstream itself.
std::optional<instance_id> dispatcher_of(const upstream_id& owner);

cell_id make_cell_id(const service_id& service, const domain_id& domain, std::uint32_t number);
domain_id domain_of(const cell_id& cell);
service_id service_of(const cell_id& cell);

}  // namespace plantainpaddle
