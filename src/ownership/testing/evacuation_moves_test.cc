// The keys of a whole failure domain move at once: how long that takes an assigner of the size of a
// large deployment, and what a takeover and a store that is down do to it.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>

#include "ownership/range_assigner.h"

namespace plantainpaddle {

namespace {

constexpr std::size_t upstream_count = 232;
constexpr std::size_t domain_count = 4;
constexpr duration tick_period = milliseconds(50);
constexpr duration write_time = milliseconds(20);
constexpr duration grant_time = milliseconds(4);
constexpr duration release_time = milliseconds(600);  // as long as work on the keys goes on
// The share of `evacuate` for which owners get requests: the moves must be over by then.
constexpr duration grace = seconds(3);

monotonic_time start_time() { return monotonic_time(seconds(1000)); }

class moving_fleet {
 public:
  moving_fleet() {
    auto record = make_range_record();
    record.assigner = {"e@1"};
    begin(record, 10, {});
    run_for(seconds(4));
  }

  // Upstream i is in domain i % domain_count.
  static upstream_id name(std::size_t i) { return {"u" + std::to_string(i)}; }
  static bool is_in(const upstream_id& upstream, std::size_t domain) {
    return std::stoul(upstream.value.substr(1)) % domain_count == domain;
  }

  void begin(const range_record& record, std::uint64_t version, range_predecessor predecessor) {
    ++generation_;
    assigner.emplace(range_timing{});
    assigner->start(record, version, predecessor, now);
    version_ = version;
    list();
    for (std::size_t i = 0; i < upstream_count; ++i) assigner->on_link(name(i), ++last_link_, now);
  }

  void evacuate(std::size_t domain) {
    evacuated = domain;
    list();
  }

  void run_for(duration length) {
    const auto end = now + length;
    while (now < end) {
      if (store_is_up) assigner->confirm(now);
      step();
      const auto next = now + tick_period;
      while (!events_.empty() && events_.top().time <= next) {
        const auto due = events_.top();
        events_.pop();
        now = due.time;
        if (due.generation == generation_) due.run();
        step();
      }
      now = next;
    }
  }

  // Returns how many ranges are owned by, or still to be released by, an evacuated upstream.
  std::size_t unmoved() const {
    return static_cast<std::size_t>(std::count_if(
        assigner->record().ranges.begin(), assigner->record().ranges.end(), [&](const auto& entry) {
          return !entry.former.empty() || !entry.owner || is_in(*entry.owner, *evacuated);
        }));
  }
  std::size_t owned_in(std::size_t domain) const {
    const auto& ranges = assigner->record().ranges;
    return static_cast<std::size_t>(std::count_if(
        ranges.begin(), ranges.end(),
        [&](const auto& entry) { return entry.owner && is_in(*entry.owner, domain); }));
  }

  std::optional<range_assigner> assigner;
  std::optional<std::size_t> evacuated;
  bool store_is_up = true;
  std::size_t grants_to_evacuated = 0;
  std::size_t releases = 0;
  monotonic_time now = start_time();

 private:
  struct event {
    monotonic_time time;
    std::uint64_t number = 0;
    std::uint64_t generation = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  void list() {
    std::vector<range_upstream> upstreams;
    for (std::size_t i = 0; i < upstream_count; ++i) {
      upstreams.push_back({name(i), 4, evacuated != i % domain_count, {}});
    }
    assigner->set_upstreams(upstreams, now);
  }
  void after(duration delay, std::function<void()> run) {
    events_.push({now + delay, ++last_event_, generation_, std::move(run)});
  }
  void step() {
    for (const auto& order : assigner->tick(load_, now)) {
      std::visit([this](const auto& one) { perform(one); }, order);
    }
  }
  void perform(const range_action::write&) {
    after(write_time, [this] {
      if (!store_is_up) return assigner->on_not_written(now);
      assigner->on_written(++version_, now);
    });
  }
  void perform(const range_action::grant& order) {
    if (evacuated && is_in(order.upstream, *evacuated)) ++grants_to_evacuated;
    after(grant_time, [this, order] { assigner->on_granted(order, now); });
  }
  void perform(const range_action::release& order) {
    ++releases;
    after(release_time, [this, order] { assigner->on_released(order, "", now); });
  }

  key_load load_{seconds(2)};
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t generation_ = 0;  // events of an earlier assigner are dropped
  std::uint64_t version_ = 0;
  link_number last_link_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(moves_of_an_evacuated_domain)

// Guards against moves that the limit on moves for balance holds up: a quarter of the keys would
// take longer than their owners may serve.
BOOST_AUTO_TEST_CASE(all_keys_of_a_domain_move_while_their_owners_still_serve) {
  moving_fleet fleet;
  const auto moving = fleet.owned_in(1);
  BOOST_TEST_MESSAGE(moving << " of " << fleet.assigner->record().ranges.size()
                            << " ranges are owned in the domain");
  BOOST_TEST_REQUIRE(moving > 50U);
  fleet.evacuate(1);
  fleet.run_for(grace);
  BOOST_TEST(fleet.unmoved() == 0U);
  BOOST_TEST(fleet.releases >= moving);
}

// Guards against a second evacuation that begins before the first one's moves are over.
BOOST_AUTO_TEST_CASE(a_second_evacuation_moves_keys_that_are_still_moving) {
  moving_fleet fleet;
  fleet.evacuate(1);
  fleet.run_for(milliseconds(200));
  fleet.evacuate(2);
  fleet.run_for(grace);
  BOOST_TEST(fleet.unmoved() == 0U);
}

// Guards against keys that stay in the domain because the assigner that began to move them is gone:
// its successor has the record and the orders in the store.
BOOST_AUTO_TEST_CASE(a_successor_ends_what_the_assigner_has_begun) {
  moving_fleet fleet;
  fleet.evacuate(1);
  fleet.run_for(milliseconds(200));
  auto record = fleet.assigner->record();
  record.assigner = {"f@1"};
  fleet.begin(record, fleet.assigner->version() + 1, {.exists = true});
  fleet.run_for(grace);
  BOOST_TEST(fleet.unmoved() == 0U);
}

// Guards against former owners that stop serving while the move can't be recorded: their grants are
// renewed until the store is back.
BOOST_AUTO_TEST_CASE(owners_hold_their_keys_until_the_store_takes_the_move) {
  moving_fleet fleet;
  fleet.store_is_up = false;
  fleet.evacuate(1);
  const auto owned = fleet.owned_in(1);
  fleet.run_for(seconds(2));
  BOOST_TEST(fleet.owned_in(1) == owned);
  BOOST_TEST(fleet.releases == 0U);
  BOOST_TEST(fleet.grants_to_evacuated > 0U);
  fleet.store_is_up = true;
  fleet.run_for(grace);
  BOOST_TEST(fleet.unmoved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
