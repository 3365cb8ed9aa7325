// All conclusions start from answers of upstreams, never from entries of the store:
//
// 1. An upstream that has stated its id on a connection is at its other end until it ends.
// 2. An upstream that answered a question of time `asked` hadn't ended before, so that until asked
// +
//    reuse_after its address is given to no other service. A server that starts again there, with a
//    new id, is of the same service. If it takes a grant for its predecessor, the assigner knows of
//    the grant under that name, and waits for a release over such a connection or for the grant's
//    end.
// 3. If another upstream is at the address where this one has answered, that life of it has ended.
//    If it answered in this assigner's term, no other life holds keys. Earlier ones ended before
//    it. A later one is at another address. Earlier assigners grant it nothing, since a new
//    connection takes a new fence and they can't write the record any more, and this one grants
//    only to lives that have answered it. After a connection by (2) nothing is concluded.
#include "ownership/upstream_presence.h"

namespace plantainpaddle {

namespace {

constexpr duration memory = seconds(60);  // longer than any grant lasts
constexpr double max_clock_error = 0.1;   // of this clock against the platform's

}  // namespace

upstream_presence::upstream_presence(duration reuse_after)
    : reuse_after_(std::chrono::duration_cast<duration>(reuse_after * (1 - max_clock_error))) {}

void upstream_presence::on_identified(const upstream_id& upstream, const std::string& address,
                                      monotonic_time asked, monotonic_time answered, bool closes) {
  if (!occupants_.contains(address)) {
    const auto oldest = answered - memory;
    std::erase_if(latest_, [&](const auto& e) { return e.second.answered < oldest; });
    std::erase_if(occupants_, [&](const auto& e) { return e.second.asked < oldest; });
  }
  latest_[upstream] = {address, asked, answered, closes};
  occupants_[address] = {upstream, asked};
}

bool upstream_presence::is_reached(const upstream_id& upstream, const std::string& address,
                                   monotonic_time connected) const {
  const auto it = latest_.find(upstream);
  if (it == latest_.end() || it->second.address != address || !it->second.closes) return false;
  return connected < it->second.asked + reuse_after_;
}

void upstream_presence::on_inferred(const upstream_id& upstream) {
  const auto it = latest_.find(upstream);
  if (it != latest_.end()) it->second.inferred_since = true;
}

bool upstream_presence::has_ended(const upstream_id& upstream, const std::string& address) const {
  const auto own = latest_.find(upstream);
  const auto there = occupants_.find(address);
  if (own == latest_.end() || there == occupants_.end()) return false;
  if (there->second.upstream == upstream || own->second.address != address) return false;
  if (own->second.inferred_since || own->second.asked < term_began_) return false;
  return there->second.asked >= own->second.answered;
}

}  // namespace plantainpaddle
