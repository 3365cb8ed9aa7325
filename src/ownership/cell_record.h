// Records of ownership in the metadata store: one per cell, and one layout per service.
//
// A cell is a group of up to max_cell_upstreams upstreams of one service in one failure domain,
// together with the shards that they own. The cell's record names its assigner, its standbys, and
// the owner and fencing token of each shard. The service's layout says which shards belong to which
// cell. Both records are JSON and change only by compare-and-swap.
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
  std::optional<upstream_id> owner;  // none: never owned under this fence, or released
  fence_number fence;
  bool released = false;  // given up to another cell: not granted until the layout returns it
  bool operator==(const shard_owner&) const = default;
};

// Identifies one write of a record, so that a writer that got no answer can recognise its own write
// when it reads the record.
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
  revision_number revision;  // one higher with each write
  instance_id assigner;
  std::vector<instance_id> standbys;
  std::map<shard_id, shard_owner> shards;
  write_mark mark;

  bool operator==(const cell_record&) const = default;
};

// Returns the shards that the record assigns to an upstream, sorted by shard.
std::vector<shard_grant> grants_of(const cell_record& record, const upstream_id& upstream);

// Returns an error that names each field that is missing, unknown or out of bounds. Texts longer
// than max_record_bytes are refused.
result<cell_record> parse_cell_record(std::string_view text);
std::string format_cell_record(const cell_record& record);

// A shard's place in the layout: the cell that it belongs to, and the lowest fence that the cell
// may use for it, which is raised when the shard changes cells.
struct layout_entry {
  std::uint32_t cell = 0;  // index into service_layout::cells
  fence_number least_fence{1};
  std::optional<std::uint32_t> next;  // the cell that gets the shard once this one has released it
  bool operator==(const layout_entry&) const = default;
};

// A service's cells, and the cell that each of its shards belongs to.
struct service_layout {
  service_id service;
  revision_number revision;
  std::vector<cell_id> cells;
  std::vector<layout_entry> shards;  // indexed by shard id
  write_mark mark;

  bool operator==(const service_layout&) const = default;
};

// Reports errors as parse_cell_record does.
result<service_layout> parse_service_layout(std::string_view text);
std::string format_service_layout(const service_layout& layout);

// The owner of a shard is an upstream or, for an upstream that checks no fences, a dispatched owner
// "upstream~instance": all requests to the upstream go through that instance, its dispatcher, which
// holds the grant on its behalf.
upstream_id make_dispatched_owner(const upstream_id& upstream, const instance_id& dispatcher);
upstream_id upstream_of(const upstream_id& owner);
// Returns nothing if the owner is the upstream itself.
std::optional<instance_id> dispatcher_of(const upstream_id& owner);

// A cell's id is "service/domain/number".
cell_id make_cell_id(const service_id& service, const domain_id& domain, std::uint32_t number);
// Returns an empty id if the cell's id has another form.
domain_id domain_of(const cell_id& cell);
service_id service_of(const cell_id& cell);

}  // namespace plantainpaddle
