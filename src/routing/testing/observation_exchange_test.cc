// The exchange of observations between instances: what is passed on, how old it is, and what
// happens when an instance hangs, restarts or can't be reached.
#include "routing/observation_exchange.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

reported_load load_of(std::uint32_t running) { return {.running = running}; }

instance_registration instance(const std::string& name, const std::string& domain, double cores) {
  return {name, name + ":1", {domain}, cores};
}

std::optional<upstream_observation> find(const std::vector<shared_observation>& seen,
                                         observation_key key) {
  for (const auto& one : seen) {
    if (one.key == key) return one.seen;
  }
  return std::nullopt;
}

// Instances that exchange messages, which take 1 ms each way unless a test says otherwise.
struct network {
  struct node {
    std::unique_ptr<observation_exchange> exchange;
    std::map<observation_key, std::pair<reported_load, monotonic_time>> known;  // from others
    bool silent = false;  // takes requests and doesn't answer
  };
  struct pending {
    std::string from;
    observation_ask ask;
    monotonic_time due;
  };

  std::vector<instance_registration> instances;
  std::map<std::string, node> nodes;
  std::vector<pending> unanswered;
  std::uint64_t token = 1;
  std::size_t messages = 0;

  explicit network(std::vector<instance_registration> listed) : instances(std::move(listed)) {
    for (const auto& one : instances) start(one.name);
  }

  void start(const std::string& name) {
    for (const auto& one : instances) {
      if (one.name != name) continue;
      nodes[name] = {std::make_unique<observation_exchange>(one, token++)};
      nodes[name].exchange->set_instances(instances);
    }
  }

  void take(node& to, const std::vector<shared_observation>& news, monotonic_time now) {
    for (const auto& one : news) to.known[one.key] = {one.seen.load, now - one.seen.age};
  }

  // Every 50 ms, as an instance's tick.
  void tick(std::int64_t ms) {
    std::erase_if(unanswered, [&](const pending& one) {
      if (one.due > at(ms)) return false;
      nodes[one.from].exchange->on_failure(one.ask, at(ms));
      return true;
    });
    for (auto& [name, sender] : nodes) {
      if (sender.silent) continue;
      for (const auto& ask : sender.exchange->due(at(ms))) {
        ++messages;
        auto& receiver = nodes[ask.peer.name];
        if (receiver.silent) {
          unanswered.push_back({name, ask, at(ms) + milliseconds(250)});
          continue;
        }
        const auto served = receiver.exchange->serve(ask.request, at(ms + 1));
        take(receiver, served.news, at(ms + 1));
        take(sender, sender.exchange->on_answer(ask, served.answer, at(ms + 2)), at(ms + 2));
      }
    }
  }

  void run(std::int64_t from, std::int64_t until) {
    for (std::int64_t ms = from; ms < until; ms += 50) tick(ms);
  }
};

network three_instances() {
  return network({instance("a", "d1", 0.5), instance("b", "d1", 0.3), instance("c", "d1", 0.1)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(observation_exchanges)

BOOST_AUTO_TEST_CASE(the_board_keeps_the_latest_report_of_each_upstream) {
  observation_board board;
  BOOST_TEST(board.take(1, load_of(3), at(0), at(10)));
  BOOST_TEST(board.take(2, load_of(4), at(5), at(10)));
  BOOST_TEST(!board.take(1, load_of(9), at(-5), at(10)));
  BOOST_TEST(!board.take(3, load_of(9), at(11), at(10)));  // not made yet
  BOOST_TEST(!board.take(3, load_of(9), at(-5000), at(10)));
  auto delta = board.since(0, 10, at(20));
  BOOST_TEST(delta.observations.size() == 2U);
  BOOST_TEST((find(delta.observations, 1) == upstream_observation{load_of(3), milliseconds(20)}));
  BOOST_TEST(board.since(delta.position, 10, at(20)).observations.empty());
  BOOST_TEST(board.take(1, load_of(5), at(15), at(20)));
  delta = board.since(delta.position, 10, at(20));
  BOOST_TEST(delta.observations.size() == 1U);
  BOOST_TEST(board.since(0, 10, at(9000)).observations.empty());
}

// Guards against a reader that never gets some upstreams while others change all the time.
BOOST_AUTO_TEST_CASE(a_limited_reader_gets_each_upstream_in_turn) {
  observation_board board;
  std::set<observation_key> got;
  std::uint64_t position = 0;
  for (std::int64_t ms = 1; ms <= 10; ++ms) {
    for (observation_key key = 0; key < 50; ++key) {
      board.take(key, load_of(1), at(ms), at(ms));
    }
    const auto delta = board.since(position, 10, at(ms));
    position = delta.position;
    for (const auto& seen : delta.observations) got.insert(seen.key);
  }
  BOOST_TEST(got.size() >= 10U);
  // Without further changes the rest follows.
  for (int i = 0; i < 5; ++i) {
    const auto delta = board.since(position, 10, at(11));
    position = delta.position;
    for (const auto& seen : delta.observations) got.insert(seen.key);
  }
  BOOST_TEST(got.size() == 50U);
}

// Guards against an unbounded board when another instance sends keys that don't exist.
BOOST_AUTO_TEST_CASE(the_board_is_bounded) {
  observation_board board;
  for (observation_key key = 0; key < 20'000; ++key) board.take(key, load_of(1), at(0), at(0));
  BOOST_TEST(board.size() == 8192U);
  BOOST_TEST(board.take(30'000, load_of(1), at(5000), at(5000)));
  BOOST_TEST(board.size() == 1U);
}

BOOST_AUTO_TEST_CASE(what_one_observes_all_know_soon) {
  auto net = three_instances();
  net.run(0, 500);
  net.nodes["c"].exchange->observe(7, load_of(3), at(495), at(500));
  net.run(500, 900);
  for (const auto* name : {"a", "b"}) {
    BOOST_REQUIRE(net.nodes[name].known.contains(7));
    const auto& [load, reported_at] = net.nodes[name].known[7];
    BOOST_TEST(load.running == 3U);
    BOOST_TEST((reported_at <= at(495) && reported_at >= at(485)));
  }
  BOOST_TEST(net.nodes["c"].exchange->collector(at(900)) == "a");
  // Two of three send a message each 150 ms.
  BOOST_TEST(net.messages <= 2U * 900U / 150U + 2U);
}

// Guards against observations that stop when the collector hangs: it takes requests and never
// answers.
BOOST_AUTO_TEST_CASE(a_collector_that_hangs_is_replaced_within_a_second) {
  auto net = three_instances();
  net.run(0, 500);
  net.nodes["a"].silent = true;
  net.run(500, 1000);
  net.nodes["c"].exchange->observe(7, load_of(3), at(995), at(1000));
  net.run(1000, 1500);
  BOOST_TEST(net.nodes["c"].exchange->collector(at(1500)) == "b");
  BOOST_TEST(net.nodes["b"].known.contains(7));
  // It is asked again, and the others return to it.
  net.nodes["a"].silent = false;
  net.run(1500, 9000);
  BOOST_TEST(net.nodes["c"].exchange->collector(at(9000)) == "a");
  net.nodes["b"].exchange->observe(8, load_of(2), at(8999), at(9000));
  net.run(9000, 9500);
  BOOST_TEST(net.nodes["c"].known.contains(8));
}

// Guards against an instance that no other one answers and that therefore knows nothing: it goes on
// with what it observes itself.
BOOST_AUTO_TEST_CASE(an_instance_without_others_collects_for_itself) {
  auto net = three_instances();
  net.nodes["a"].silent = true;
  net.nodes["b"].silent = true;
  net.run(0, 1500);
  BOOST_TEST(net.nodes["c"].exchange->collector(at(1500)) == "c");
}

// Guards against old figures that look new: a request is held up for two seconds on its way.
BOOST_AUTO_TEST_CASE(a_request_that_was_held_up_makes_its_figures_older) {
  auto net = three_instances();
  net.run(0, 500);
  auto& sender = *net.nodes["c"].exchange;
  auto& collector = *net.nodes["a"].exchange;
  sender.observe(7, load_of(3), at(590), at(600));
  const auto asks = sender.due(at(600));
  BOOST_REQUIRE(asks.size() == 1U);
  BOOST_REQUIRE(asks[0].request.observations.size() == 1U);
  const auto served = collector.serve(asks[0].request, at(2600));
  const auto seen = find(served.news, 7);
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST((seen->age >= milliseconds(2010) && seen->age <= milliseconds(2200)));
}

// Guards against old figures that look new: the receiver was frozen while the answer waited.
BOOST_AUTO_TEST_CASE(an_answer_that_was_held_up_makes_its_figures_older) {
  auto net = three_instances();
  net.run(0, 500);
  net.nodes["b"].exchange->observe(7, load_of(3), at(549), at(550));
  net.run(550, 750);
  auto& reader = *net.nodes["c"].exchange;
  net.nodes["a"].exchange->observe(9, load_of(1), at(800), at(800));
  const auto asks = reader.due(at(1000));
  BOOST_REQUIRE(asks.size() == 1U);
  const auto served = net.nodes["a"].exchange->serve(asks[0].request, at(1001));
  const auto news = reader.on_answer(asks[0], served.answer, at(3000));
  const auto seen = find(news, 9);
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST((seen->age >= milliseconds(2200)));
}

// Guards against figures whose age can't be told: the collector has restarted, or was suspended, or
// the sender names another answer than it was given last.
BOOST_AUTO_TEST_CASE(figures_of_unknown_age_are_not_taken) {
  auto net = three_instances();
  net.run(0, 500);
  auto& sender = *net.nodes["c"].exchange;
  sender.observe(7, load_of(3), at(590), at(600));
  const auto ask = sender.due(at(600)).at(0);
  net.start("a");
  BOOST_TEST(net.nodes["a"].exchange->serve(ask.request, at(601)).news.empty());
  net = three_instances();
  net.run(0, 500);
  auto repeated = net.nodes["c"].exchange->due(at(600)).at(0).request;
  repeated.observations.push_back({7, {load_of(3), milliseconds(1)}});
  BOOST_TEST(net.nodes["a"].exchange->serve(repeated, at(601)).news.size() == 1U);
  repeated.observations[0].key = 8;
  BOOST_TEST(net.nodes["a"].exchange->serve(repeated, at(602)).news.empty());
  repeated.answer = 0;
  BOOST_TEST(net.nodes["a"].exchange->serve(repeated, at(603)).news.empty());
  auto impossible = net.nodes["b"].exchange->due(at(600)).at(0).request;
  impossible.observations.push_back({9, {load_of(3), milliseconds(1)}});
  impossible.since_answer = seconds(5);  // longer than since the answer was made
  BOOST_TEST(net.nodes["a"].exchange->serve(impossible, at(603)).news.empty());
}

// Guards against reports that are lost when the collector restarts.
BOOST_AUTO_TEST_CASE(a_restarted_collector_gets_what_it_lacks) {
  auto net = three_instances();
  net.run(0, 500);
  net.nodes["c"].exchange->observe(7, load_of(3), at(500), at(500));
  net.start("a");
  net.run(500, 1200);
  BOOST_TEST(net.nodes["a"].known.contains(7));
  BOOST_TEST(net.nodes["b"].known.contains(7));
}

// Guards against figures that go round between the domains, and against traffic between domains
// about upstreams of third ones.
BOOST_AUTO_TEST_CASE(domains_tell_each_other_of_their_own_upstreams_only) {
  network net({instance("a", "d1", 0.5), instance("b", "d1", 0.1), instance("x", "d2", 0.4),
               instance("y", "d2", 0.2)});
  for (const auto* name : {"a", "b"}) net.nodes[name].exchange->set_own_domain({1, 2});
  for (const auto* name : {"x", "y"}) net.nodes[name].exchange->set_own_domain({11, 12});
  net.run(0, 1000);
  net.nodes["b"].exchange->observe(1, load_of(3), at(1000), at(1000));
  net.nodes["b"].exchange->observe(12, load_of(2), at(1000), at(1000));
  net.nodes["y"].exchange->observe(11, load_of(4), at(1000), at(1000));
  net.run(1000, 2000);
  BOOST_TEST(net.nodes["y"].known.contains(1));
  BOOST_TEST(!net.nodes["y"].known.contains(12));
  BOOST_TEST(net.nodes["b"].known.contains(11));
  BOOST_TEST(net.nodes["a"].known.contains(12));
  BOOST_TEST(!net.nodes["x"].known.contains(12));
}

// Guards against a domain that loses its own exchange when another domain is cut off.
BOOST_AUTO_TEST_CASE(a_domain_that_cannot_be_reached_changes_nothing_in_the_others) {
  network net({instance("a", "d1", 0.5), instance("b", "d1", 0.1), instance("x", "d2", 0.4),
               instance("y", "d2", 0.2)});
  net.nodes["x"].silent = true;
  net.nodes["y"].silent = true;
  net.run(0, 3000);
  net.nodes["b"].exchange->observe(1, load_of(3), at(3000), at(3000));
  net.run(3000, 3300);
  BOOST_TEST(net.nodes["a"].known.contains(1));
}

// Guards against a failure of the exchange while instances disagree on who collects.
BOOST_AUTO_TEST_CASE(disagreement_on_the_collector_only_splits_the_knowledge) {
  auto net = three_instances();
  auto without_a = net.instances;
  without_a.erase(without_a.begin());
  net.nodes["c"].exchange->set_instances(without_a);
  net.run(0, 500);
  net.nodes["c"].exchange->observe(7, load_of(3), at(500), at(500));
  net.run(500, 1200);
  BOOST_TEST(net.nodes["b"].known.contains(7));  // asked by c, though it doesn't collect for others
  net.nodes["c"].exchange->set_instances(net.instances);
  net.nodes["c"].exchange->observe(8, load_of(3), at(1200), at(1200));
  net.run(1200, 1800);
  BOOST_TEST(net.nodes["a"].known.contains(8));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
