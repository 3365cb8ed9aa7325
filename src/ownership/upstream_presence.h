// Which upstream a connection leads to, and which ones have ended. An upstream's entry may outlast
// it, and its address may be given to another one.
//
//   upstream_presence presence(reuse_after);
//   presence.begin_term(now);
//   presence.on_identified(upstream, address, asked, answered, closes);
//   if (presence.is_reached(upstream, address, connected)) presence.on_inferred(upstream);
//   if (presence.has_ended(upstream, address)) ...  // nothing that it held is in force
//
// Times are those of one clock, which counts suspensions of the machine.
#pragma once

#include <map>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

class upstream_presence {
 public:
  // reuse_after: an address isn't given to an upstream of another service until so long after the
  // end of the one that had it. Zero if that isn't known.
  explicit upstream_presence(duration reuse_after);

  // This instance has become the assigner, or knows as the assigner that the store came back from
  // an older copy.
  void begin_term(monotonic_time now) { term_began_ = now; }
  // The upstream has stated its id at the address. The connection leads to it until it ends, which
  // the upstream may do with its answer.
  void on_identified(const upstream_id& upstream, const std::string& address, monotonic_time asked,
                     monotonic_time answered, bool closes);

  // Returns whether a connection to the address that was established by `connected` leads to the
  // upstream or to one of the same service. Only for upstreams that close connections with their
  // answers, so that no order can follow the question.
  bool is_reached(const upstream_id& upstream, const std::string& address,
                  monotonic_time connected) const;
  // Such a connection is used for orders.
  void on_inferred(const upstream_id& upstream);

  // Returns whether an answer of another upstream at the address shows that all lives of this one
  // that may hold keys have ended, and that nobody else got them in its place.
  bool has_ended(const upstream_id& upstream, const std::string& address) const;

 private:
  struct answer {
    std::string address;
    monotonic_time asked{};
    monotonic_time answered{};
    bool closes = false;
    bool inferred_since = false;  // orders went over a connection that wasn't asked
  };
  struct occupant {
    upstream_id upstream;
    monotonic_time asked{};
  };

  duration reuse_after_;
  monotonic_time term_began_{};
  std::map<upstream_id, answer> latest_;       // of each upstream
  std::map<std::string, occupant> occupants_;  // who answered last, by address
};

}  // namespace plantainpaddle
