// Shares the limit that an upstream has named among all instances. For each upstream one instance,
// the first in rendezvous order, issues permits, one for each request; the others ask it. So the
// limit holds over all instances however little each of them sends.
//
//   upstream_permits permits(own_name);
//   permits.set_instances(addresses, now);               // whenever they change
//   permit_step step = permits.begin(request, now);      // a decision, or whom to ask
//   step = permits.on_no_answer(request, asked, now);    // instead of an answer
//   permits.on_answer(request, decision, now);
//   reply(permits.issue(request_of_a_peer, now));
//
// No I/O and no clock. Not thread-safe. upstream_permits.cc shows why the limit holds while the
// instances disagree about who issues.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct permit_config {
  duration longest_wait = milliseconds(500);  // for which a permit may be issued in advance
  // Permits that may be issued at once after a pause: as many as fall due in burst_time, from one
  // to max_burst.
  duration burst_time = milliseconds(500);
  double max_burst = 3;
  // Within this time after a change all instances know which instances there are.
  duration settle_time = seconds(8);
  // Share of the rate at which an instance issues that others may not take for the issuer.
  double unsettled_share = 0.35;
  // Share of the rate for all instances together that reach no issuer.
  double alone_share = 0.15;
  duration suspect_time = seconds(2);  // for which an instance that didn't answer isn't asked
  // A limit for which no permits were asked for so long is taken to have ended.
  duration limit_life = seconds(4);
  duration forget_after = seconds(60);  // memory of an upstream that is no longer used
  // Set where a limit must hold whatever an instance knows of the others. For so long after it has
  // seen itself registered, an instance neither issues permits nor sends alone: those that start
  // together don't know each other yet, and each would take the whole limit for its own.
  duration quiet_time{0};
  // An instance whose list of the others is older than this only sends alone, since its own
  // registration may have lapsed and another one issue in its place. Shorter than the lease of a
  // registration and settle_time together.
  std::optional<duration> list_life;

  bool operator==(const permit_config&) const = default;
};

// Returns how many permits an issuer gives out at once after a pause.
double permit_burst(double rate, const permit_config& config);

// One request to an upstream with a limit.
struct permit_request {
  upstream_id upstream;
  double rate = 0;           // the limit, in requests per second
  duration rate_age{0};      // since a response named it
  duration longest_wait{0};  // for which the request may be delayed
  bool operator==(const permit_request&) const = default;
};

struct permit_decision {
  bool granted = false;
  // If granted, the time until the request may be sent; otherwise the time until asking again may
  // help.
  duration wait{0};
  bool operator==(const permit_decision&) const = default;
};

// The instance to ask.
struct permit_issuer {
  std::string name;
  std::string address;
  bool operator==(const permit_issuer&) const = default;
};

using permit_step = std::variant<permit_decision, permit_issuer>;

class upstream_permits {
 public:
  // `self` is the name of this instance in set_instances().
  explicit upstream_permits(std::string self, permit_config config = {});

  // `addresses` holds the addresses of the registered instances, by name.
  // They were known to be all at `known_at`.
  void set_instances(const std::map<std::string, std::string>& addresses, monotonic_time now,
                     monotonic_time known_at = monotonic_time::max());

  permit_step begin(const permit_request& request, monotonic_time now);
  permit_step on_no_answer(const permit_request& request, const permit_issuer& asked,
                           monotonic_time now);
  void on_answer(const permit_request& request, const permit_decision& answer, monotonic_time now);

  // Whether this instance may decide as an issuer; otherwise the next one in order is to be asked.
  bool may_issue(monotonic_time now) const;
  // Decides as the issuer on a request of this instance or of another one.
  permit_decision issue(const permit_request& request, monotonic_time now);

  // Returns the limits, by upstream, for which this instance has been asked for permits lately.
  std::map<upstream_id, double> limits_asked_for(monotonic_time now) const;

 private:
  struct instance {
    std::string address;
    monotonic_time since{};
    std::optional<monotonic_time> gone_at;  // no longer registered
  };
  struct upstream_state {
    double rate = 0;  // the latest limit
    monotonic_time rate_named{};
    monotonic_time next{};  // when the next permit falls due, as the issuer
    monotonic_time asked_at{};
    monotonic_time refused_until{};  // as told by the issuer
    std::optional<monotonic_time> next_alone;
    monotonic_time alone_at{};  // when this instance last decided alone
    monotonic_time used_at{};
    std::vector<std::string> order;  // the first two issuers
    std::uint64_t order_version = 0;
  };

  upstream_state& state_of(const upstream_id& upstream, monotonic_time now);
  const std::vector<std::string>& order_of(const upstream_id& upstream,
                                           upstream_state& state) const;
  bool is_suspect(const std::string& name, monotonic_time now) const;
  permit_step ask(const permit_request& request, const std::string& name, monotonic_time now);
  permit_decision decide_alone(const permit_request& request, upstream_state& state,
                               monotonic_time now) const;
  // Whether the other instances are known, as far as quiet_time tells.
  bool knows_others(monotonic_time now) const;

  std::string self_;
  permit_config config_;
  std::map<std::string, instance> instances_;  // including those that have gone lately
  monotonic_time list_known_at_{};
  std::uint64_t version_ = 1;  // of the names in instances_
  std::map<std::string, monotonic_time> suspect_until_;
  std::map<upstream_id, upstream_state> upstreams_;
};

}  // namespace plantainpaddle
