// The assignment of a service's numbered keys to upstreams, as a list of key ranges. The service's
// assigner stores it as one value, which only the assigner writes.
//
//   result<range_record> read = parse_range_record(text);
//   const range_entry& entry = entry_of(*read, key);
//
// Invariants: the ranges are sorted and cover all keys without gaps. The fencing token (fence) of a
// range is higher than every fence that any of its keys had under earlier owners; last_fence is the
// highest fence issued so far.
//
// Fences come in blocks of fence_block. A new fence is the first of the next block, so that an
// owner that has released its keys refuses all fences of its own one. An owner that is replaced
// without a release is followed by one with the next fence of the block. The upper half of a block
// is for claim_fence().
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

inline constexpr std::uint32_t last_numbered_key = 65535;

// The keys from `first` to `last`, both inclusive, and their owner.
struct range_entry {
  std::uint32_t first = 0;
  std::uint32_t last = last_numbered_key;
  std::optional<upstream_id> owner;  // empty if no upstream may serve the keys
  fence_number fence;
  // Former owners that may still hold keys of the range under lower fences, the latest last. The
  // owner gets no grant until each of them has released the keys or its grants have expired.
  std::vector<upstream_id> former;

  bool operator==(const range_entry&) const = default;
};

inline constexpr std::uint64_t fence_block = 16;
// Returns whether both fences are of one block.
bool same_block(fence_number a, fence_number b);
// Returns the next fence of the block; none if there is none left for owners.
std::optional<fence_number> next_in_block(fence_number fence);
// Returns the fence under which former owners release keys for one with this fence: they refuse
// what is left of their block, too.
fence_number release_fence(fence_number fence);

struct range_record {
  // Number of the store's history in which the record was written; 0 if the store has only one.
  std::uint64_t era = 0;
  term_number term;
  instance_id assigner;  // empty after the last assigner relinquished leadership
  std::string address;   // where other instances reach the assigner
  fence_number last_fence;
  std::uint64_t mark = 0;  // identifies the write to its writer if the store's answer is lost
  // Set when an assigner relinquishes leadership: the time after this write by which all grants of
  // it and its predecessors have expired. Empty if that time is unknown.
  std::optional<duration> lapses_in;
  // Upstreams may hold keys that the record doesn't assign to them, since later records were lost
  // with the store's former history. A key that has a fence of an earlier era is granted to nobody
  // who doesn't hold it (range_assigner_doubts.cc).
  bool unsettled = false;
  // Owners of ranges with lower fences than this can't show that they hold them. These were in
  // doubt in an earlier era already.
  fence_number claims_from;
  // Lately, a range went to another owner although its former owner hadn't released it.
  bool lapsed = false;
  // The incarnation of each owner when the record was written, or an earlier one. Owners of which
  // none is known are left out.
  std::map<upstream_id, std::uint64_t> lives;
  std::vector<range_entry> ranges;

  bool operator==(const range_record&) const = default;
};

// Orders the records of a service by when they were written. Versions in the store don't: a store
// that comes back from an older copy gives them out again.
struct record_position {
  std::uint64_t era = 0;
  std::uint64_t term = 0;
  std::uint64_t mark = 0;
  auto operator<=>(const record_position&) const = default;
};
record_position position_of(const range_record& record);

// Returns a record with one range that covers all keys and has no owner.
range_record make_range_record();

// Returns the record as JSON.
std::string format_range_record(const range_record& record);
// Parses the JSON of format_range_record(). Returns errc::bad_input if a field is missing or out of
// bounds, if the ranges aren't sorted or don't cover all keys, or if a fence exceeds last_fence.
result<range_record> parse_range_record(std::string_view text);

// What has changed from one record to the next.
struct range_delta {
  // The next record, in which each run of unchanged ranges is one entry, and with the changed lives
  // only: 0 is the life of an upstream that the record states none of.
  range_record changes;
  std::vector<std::size_t> unchanged;  // the indexes of these entries, rising
  bool operator==(const range_delta&) const = default;
};
range_delta make_delta(const range_record& before, const range_record& after);
// Returns the record `after` of make_delta(), or errc::bad_input if the delta wasn't made from
// `before`, as far as the bounds of the ranges tell.
result<range_record> apply_delta(const range_record& before, const range_delta& delta);

// Returns the entry whose range contains `key`, which must not exceed last_numbered_key.
const range_entry& entry_of(const range_record& record, std::uint32_t key);

// Makes `to` the owner of the keys from `first` to `last`, both inclusive, under a new fence. Their
// previous owners become former owners. Keys that `to` already owns stay as they are. Entries for
// which `keeps_block` holds get the next fence of their block, if there is one.
using entry_predicate = std::function<bool(const range_entry&)>;
void move_range(range_record& record, std::uint32_t first, std::uint32_t last,
                const upstream_id& to, const entry_predicate& keeps_block = {});
// Gives owned ranges, by index, new fences; their owners keep them. Those of one owner that leave
// their blocks get the same fence.
enum class fence_change { none, same_block, next_block };
void renew_fences(range_record& record, const std::function<fence_change(std::size_t)>& change);
// Returns whether the fence of an owner, or the lack of one, is from before the record's era.
bool is_inherited(const range_record& record, fence_number fence);
// Returns the fence under which the owner of an entry with an inherited fence is asked whether it
// has kept the keys: an owner that has released them refuses it. It is above the fences of owners
// that got the keys without a release, and above that of former eras.
fence_number claim_fence(const range_record& record, const range_entry& entry);

// Returns the record with which `assigner` takes over: the term is one higher, and all owned ranges
// have new fences, in their blocks if the record is lapsed. A record of another era is unsettled
// from then on, and in an unsettled record inherited fences stay.
range_record take_over(range_record record, const instance_id& assigner, const std::string& address,
                       std::uint64_t era);
// Returns the record with which its assigner goes on in another era: the owners keep their fences,
// new ones are above all of former eras.
range_record carry_over(range_record record, std::uint64_t era);
// Merges adjacent ranges that have the same owner, fence and former owners.
void merge_ranges(range_record& record);

}  // namespace plantainpaddle
