// An upstream's response is matched to a request by the id that it repeats. Upstreams may send a
// response once more, late, where the response to a later request is due; the copy of a refusal
// then bears the id of a request that may be under way again. The id tells a response from a copy
// only if no connection carries the same id twice, whatever the response to the first was.
//
// A copy may come as late as it likes, so nothing is forgotten while the connection lives. Its
// memory is bounded by closing it instead. A connection holds 8 bytes for each request, 8 KiB at
// most; the search is linear, since the array is small and read in order.
#include "routing/carried_requests.h"

#include <algorithm>

#include "base/hash.h"

namespace plantainpaddle {

request_identity identify_request(std::string_view id) noexcept { return {hash64(id)}; }

bool carried_requests::may_carry(request_identity request) const {
  if (is_full()) return false;
  return std::find(carried_.begin(), carried_.end(), request) == carried_.end();
}

void carried_requests::add(request_identity request) { carried_.push_back(request); }

bool carried_requests::is_full() const { return carried_.size() >= capacity_; }

connection_room room_for_connection(std::size_t open, std::size_t idle, std::size_t limit) {
  if (open < limit) return connection_room::open;
  // A request that waited for a connection in use could wait until its deadline: the idle ones
  // would stay idle.
  if (idle > 0) return connection_room::replace;
  return connection_room::wait;
}

}  // namespace plantainpaddle
