// The upstreams' side knows which request each message belongs to; the instance's side knows only
// the ids in the responses. The oracle compares what callers are told with what ran.
#include "routing/testing/carry_simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "routing/carried_requests.h"
#include "routing/response_status.h"

namespace plantainpaddle::testing {

namespace {

struct response {
  std::string id;
  bool refusal = false;
};

struct arrival {
  std::size_t request = 0;
  std::string id;
};

struct connection {
  connection(std::size_t to, std::size_t capacity) : upstream(to), carried(capacity) {}

  std::size_t upstream;
  carried_requests carried;
  std::optional<std::size_t> user;  // the request that waits for its response
  std::deque<arrival> to_upstream;
  std::deque<response> to_instance;
  std::vector<response> copies;  // not sent yet
  bool open = true;              // at the instance; the upstream still reads what was sent
};

struct caller_request {
  std::string id;
  std::size_t upstream = 0;
  std::size_t attempts = 0;
  bool waits_for_connection = true;
  std::optional<unsigned> told;
  std::size_t runs = 0;
};

class play {
 public:
  explicit play(const carry_scenario& scenario) : scenario_(scenario), random_(scenario.seed) {}

  carry_outcome run() {
    constexpr std::size_t max_steps = 20'000;
    for (std::size_t i = 0; i < max_steps && seen_.violation.empty(); ++i) {
      if (begun_ < scenario_.requests && under_way_ < scenario_.concurrent && chance(0.3)) begin();
      if (!step() && begun_ >= scenario_.requests) break;
    }
    // What was sent before a connection was closed may run later than the answer to the caller.
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      while (!connections_[i].to_upstream.empty()) serve(i);
    }
    if (seen_.violation.empty() && under_way_ > 0) violate("a request has no end");
    return seen_;
  }

 private:
  bool chance(double share) { return std::uniform_real_distribution<double>()(random_) < share; }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  void violate(const std::string& what) {
    if (seen_.violation.empty()) seen_.violation = what;
  }

  void begin(std::optional<std::string> id = std::nullopt) {
    requests_.push_back(
        {.id = id.value_or("r" + std::to_string(begun_)), .upstream = pick(scenario_.upstreams)});
    ++begun_;
    ++under_way_;
  }

  // Makes one random move; false if there is none left.
  bool step() {
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (!requests_[i].told && requests_[i].waits_for_connection) waiting.push_back(i);
    }
    std::vector<std::size_t> busy;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      const auto& one = connections_[i];
      if (one.user || !one.to_upstream.empty() || (one.open && !one.copies.empty())) {
        busy.push_back(i);
      }
    }
    if (waiting.empty() && busy.empty()) return false;
    if (!waiting.empty() && (busy.empty() || chance(0.4))) {
      connect(waiting[pick(waiting.size())]);
    } else {
      move(busy[pick(busy.size())]);
    }
    return true;
  }

  void move(std::size_t at) {
    auto& one = connections_[at];
    if (one.user && chance(scenario_.broken)) return cut(at);
    if (one.open && !one.copies.empty() && chance(0.2)) return send_copy(one);
    if (!one.to_upstream.empty() && chance(0.5)) return serve(at);
    if (one.user && !one.to_instance.empty()) return read(at);
  }

  void send_copy(connection& one) {
    const auto which = pick(one.copies.size());
    one.to_instance.push_back(one.copies[which]);
    one.copies.erase(one.copies.begin() + static_cast<std::ptrdiff_t>(which));
  }

  // The upstream takes the next request, refuses or runs it, and responds.
  void serve(std::size_t at) {
    auto& one = connections_[at];
    const auto next = one.to_upstream.front();
    one.to_upstream.pop_front();
    auto& request = requests_[next.request];
    const bool refusal = chance(scenario_.refused);
    if (!refusal) {
      ++seen_.runs;
      if (++request.runs > 1) violate("a request runs twice");
      if (request.told && is_promise(*request.told)) violate("a request runs after a promise");
    }
    while (!one.copies.empty() && chance(0.5)) send_copy(one);
    one.to_instance.push_back({next.id, refusal});
    if (chance(scenario_.copied)) one.copies.push_back({next.id, refusal});
  }

  // As connection_pool and exchange do it.
  void connect(std::size_t number) {
    auto& request = requests_[number];
    const auto identity = identify_request(request.id);
    std::vector<std::size_t> idle;
    std::size_t open = 0;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      auto& one = connections_[i];
      if (!one.open || one.upstream != request.upstream) continue;
      // Bytes that no request waits for close an idle connection.
      if (!one.user && !one.to_instance.empty()) {
        one.open = false;
        continue;
      }
      ++open;
      if (!one.user) idle.push_back(i);
    }
    for (const auto i : idle) {
      if (connections_[i].carried.may_carry(identity)) return send(number, i);
    }
    switch (room_for_connection(open, idle.size(), scenario_.limit)) {
      case connection_room::wait:
        if (!idle.empty()) violate("a request waits although connections are idle");
        return;
      case connection_room::replace:
        if (idle.empty()) return violate("a connection in use is replaced");
        ++seen_.replaced;
        connections_[idle.front()].open = false;
        break;
      case connection_room::open:
        if (open >= scenario_.limit) violate("more connections are open than the limit allows");
        break;
    }
    connections_.emplace_back(request.upstream, scenario_.capacity);
    send(number, connections_.size() - 1);
  }

  void send(std::size_t number, std::size_t at) {
    auto& one = connections_[at];
    auto& request = requests_[number];
    one.carried.add(identify_request(request.id));
    if (one.carried.size() > scenario_.capacity) violate("a connection remembers too much");
    one.user = number;
    one.to_upstream.push_back({number, request.id});
    request.waits_for_connection = false;
    ++request.attempts;
  }

  // The instance reads a response, which it knows by its id.
  void read(std::size_t at) {
    auto& one = connections_[at];
    const auto next = one.to_instance.front();
    one.to_instance.pop_front();
    const auto number = *one.user;
    if (next.id != requests_[number].id) {
      ++seen_.skipped;
      return;
    }
    one.user.reset();
    if (one.carried.is_full()) one.open = false;
    if (!next.refusal) return end(number, 200);
    auto& request = requests_[number];
    if (request.attempts >= scenario_.max_attempts) {
      return end(number, choose_terms(503, run_state::not_run).status);
    }
    request.waits_for_connection = true;
    if (!scenario_.keyed && scenario_.upstreams > 1) {
      request.upstream =
          (request.upstream + 1 + pick(scenario_.upstreams - 1)) % scenario_.upstreams;
    }
  }

  // The connection breaks, or the deadline ends the wait; the upstream may have the request.
  void cut(std::size_t at) {
    auto& one = connections_[at];
    const auto number = *one.user;
    one.user.reset();
    one.open = false;
    const std::vector<unsigned> wanted{408, 421, 429, 502, 503, 504};
    const auto terms = choose_terms(wanted[pick(wanted.size())], run_state::unknown);
    if (terms.may_retry) violate("a request that may have run is told to come back");
    end(number, terms.status);
  }

  void end(std::size_t number, unsigned status) {
    --under_way_;
    auto& request = requests_[number];
    request.told = status;
    if (!is_promise(status)) return;
    ++seen_.promises;
    if (request.runs > 0) violate("a request that ran is told that it hasn't");
    const auto id = request.id;
    if (begun_ < scenario_.requests && chance(scenario_.repeated)) begin(id);
  }

  static bool is_promise(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  carry_scenario scenario_;
  std::mt19937_64 random_;
  std::deque<caller_request> requests_;
  std::deque<connection> connections_;
  std::size_t begun_ = 0;
  std::size_t under_way_ = 0;
  carry_outcome seen_;
};

}  // namespace

carry_outcome play_carrying(const carry_scenario& scenario) { return play(scenario).run(); }

carry_scenario random_carry_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&](std::size_t from, std::size_t to) {
    return std::uniform_int_distribution<std::size_t>(from, to)(random);
  };
  const auto share = [&](double most) {
    return std::uniform_real_distribution<double>(0, most)(random);
  };
  return {.upstreams = pick(1, 3),
          .keyed = pick(0, 1) == 1,
          .limit = pick(1, 4),
          .capacity = pick(1, 12),
          .max_attempts = pick(1, 4),
          .refused = share(0.8),
          .copied = share(0.8),
          .repeated = share(0.6),
          .broken = share(0.1),
          .requests = pick(5, 80),
          .concurrent = pick(1, 8),
          .seed = random()};
}

}  // namespace plantainpaddle::testing
