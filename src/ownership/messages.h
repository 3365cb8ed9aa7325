// Messages of the ownership protocol: grant orders from an assigner to its upstreams, and term
// questions from an assigner to its standbys. These are plain values; upstream/ encodes them as
// JSON over HTTP, and peer/ as Cap'n Proto.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

// A shard and the fencing token under which its owner serves it.
struct shard_grant {
  shard_id shard;
  fence_number fence;
  auto operator<=>(const shard_grant&) const = default;
};

// Returns a digest of a set of grants, which must be sorted by shard. The empty set has digest 0.
std::uint64_t digest_of(const std::vector<shard_grant>& set);

// Sent by an assigner to an upstream, which then holds exactly this set of shards until length has
// passed since it handed out the nonce. A held shard that is not in the set is revoked: the
// upstream accepts no new request for it, finishes those in flight, and never accepts the revoked
// fence again while its process runs.
//
// A life number identifies one run of a process; a restart begins a new life.
struct grant_order {
  cell_id cell;
  term_number term;
  instance_id assigner;
  std::uint64_t life = 0;   // from the upstream's last answer; 0: not known
  std::uint64_t nonce = 0;  // from the upstream's last answer; 0: grants nothing, asks for a nonce
  duration length{0};
  std::uint64_t digest = 0;  // of the set to be held
  // Absent if the upstream's last answer had this digest.
  std::optional<std::vector<shard_grant>> set;

  bool operator==(const grant_order&) const = default;
};

// What an upstream reports of its own load. The values are hints for balancing: they may be out of
// date or wrong.
struct load_report {
  std::uint32_t busy_slots = 0;
  std::uint32_t queued = 0;
  bool draining = false;
  bool shedding = false;
  double cold = 0;  // from 0 (warmed up) to 1 (just started)

  bool operator==(const load_report&) const = default;
};

enum class grant_status {
  accepted,     // the set is held until the grant ends
  need_set,     // the digest differs from the held set's: send the set itself
  stale_nonce,  // the nonce is not the last one of this life, or too old: use the new one
  stale_term,   // the upstream has seen a higher term
};

struct grant_answer {
  grant_status status = grant_status::stale_nonce;
  std::uint64_t life = 0;
  std::uint64_t nonce = 0;  // for the next order
  term_number highest_term;
  std::uint64_t held_digest = 0;
  // The grants under which requests are accepted, sorted by shard: none once the grant has lapsed.
  // Left empty if held_digest equals the order's digest.
  std::vector<shard_grant> held;
  std::vector<shard_grant> draining;  // no longer held, with requests still in flight
  load_report load;

  bool operator==(const grant_answer&) const = default;
};

// Sent by an assigner to a standby. It announces the assigner's term and asks for the highest term
// that the standby has seen.
struct term_question {
  cell_id cell;
  term_number term;
  instance_id assigner;
  bool operator==(const term_question&) const = default;
};

struct term_answer {
  term_number highest_term;
  bool operator==(const term_answer&) const = default;
};

}  // namespace plantainpaddle
