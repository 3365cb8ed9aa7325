// What entry instances say to each other. Plain values; the wire form is peer/wire.capnp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ownership/assigner.h"
#include "ownership/messages.h"

namespace plantainpaddle {

// A value of the store as somebody read it: newer ones replace older ones, never the other way
// round.
struct state_item {
  std::string key;
  std::uint64_t version = 0;  // the store's modification revision
  std::string value;
  bool operator==(const state_item&) const = default;
};

// Values that the receiver may not have yet.
struct state_push {
  std::vector<state_item> items;
  bool operator==(const state_push&) const = default;
};

// What the sender has; the answer is a push of what is newer at the receiver. First the summary
// alone is sent; if the receiver's differs, it does not acknowledge, and the entries follow.
struct state_digest {
  std::uint64_t summary = 0;  // of all keys and versions
  bool has_entries = false;
  struct entry {
    std::string key;
    std::uint64_t version = 0;
    bool operator==(const entry&) const = default;
  };
  std::vector<entry> entries;
  bool operator==(const state_digest&) const = default;
};

// The acting assigner has stopped; the receiver goes on under the same term.
struct term_handover {
  state_item record;
  std::optional<std::string>
      unconfirmed_write;  // a record whose write may have taken effect or not
  bool operator==(const term_handover&) const = default;
};

// An order for an upstream that checks no fences, to the dispatcher that holds its grant.
struct dispatcher_order {
  upstream_id upstream;
  grant_order order;
  bool operator==(const dispatcher_order&) const = default;
};

// Requests that the sender has let in since its last message, per limit row and tenant.
struct limit_usage {
  struct entry {
    std::string limit;  // "service/row name"
    std::string tenant;
    double used = 0;
    bool operator==(const entry&) const = default;
  };
  std::vector<entry> entries;
  bool operator==(const limit_usage&) const = default;
};

// Requests of a cell's shards that the sender has seen since its last message, to the cell's
// assigner. At most max_shard_entries, those with the most requests.
inline constexpr std::size_t max_shard_entries = 256;
struct shard_requests {
  struct entry {
    shard_id shard;
    std::uint32_t requests = 0;
    bool operator==(const entry&) const = default;
  };
  cell_id cell;
  std::vector<entry> entries;
  bool operator==(const shard_requests&) const = default;
};

struct acknowledgement {
  bool accepted = true;
  bool operator==(const acknowledgement&) const = default;
};

using peer_request = std::variant<term_question, state_push, state_digest, term_handover,
                                  dispatcher_order, limit_usage, shard_requests>;
// Of a limit_usage the answer is one too: what is asked for elsewhere.
using peer_reply =
    std::variant<acknowledgement, term_answer, state_push, grant_answer, limit_usage>;

// Who a peer is. Cluster name, protocol version and region must match, or the connection is
// refused.
struct peer_identity {
  std::string cluster;
  std::uint32_t version = 1;
  std::string region;
  instance_id instance;
  domain_id domain;
  bool operator==(const peer_identity&) const = default;
};

}  // namespace plantainpaddle
