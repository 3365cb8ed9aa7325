// Who is refused or closed when the memory for callers' connections is used up.
#include "routing/memory_budget.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

constexpr monotonic_time start{seconds(100)};
constexpr std::size_t kib = 1024;
constexpr memory_budget_limits limits{
    .bytes = 1024 * kib, .shares = {1, 0.5, 0.25, 1, 1}, .stall = milliseconds(500)};

// A budget with some holders that wait for their callers since `start`.
struct fixture {
  void open(memory_budget::holder_id id, held_kind kind, std::size_t bytes) {
    budget.open(id, start);
    budget.add(id, kind, bytes);
  }
  memory_budget::verdict ask(memory_budget::holder_id id, held_kind kind, std::size_t bytes,
                             duration after = seconds(1)) {
    return budget.request(id, kind, bytes, start + after);
  }

  memory_budget budget{limits};
};

using ids = std::vector<memory_budget::holder_id>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budgets, fixture)

// Guards against an ordinary caller that is refused because others hold all memory without moving.
BOOST_AUTO_TEST_CASE(the_largest_without_progress_makes_room_for_a_new_caller) {
  open(1, held_kind::heads, 300 * kib);
  open(2, held_kind::heads, 500 * kib);
  open(3, held_kind::heads, 200 * kib);
  budget.open(4, start + seconds(1));
  const auto got = ask(4, held_kind::heads, 32 * kib);
  BOOST_TEST(got.granted);
  BOOST_TEST(got.victims == ids{2});
}

// Guards against a caller that is ended while its upstream works on its request.
BOOST_AUTO_TEST_CASE(who_waits_for_an_upstream_is_no_victim) {
  open(1, held_kind::heads, 1000 * kib);
  budget.set_waits_for_caller(1, false, start);
  budget.open(2, start);
  const auto got = ask(2, held_kind::heads, 32 * kib);
  BOOST_TEST(!got.granted);
  BOOST_TEST(got.victims.empty());
}

// Guards against uploads of equal speed that end each other shortly before they are complete.
BOOST_AUTO_TEST_CASE(of_equals_that_progress_the_one_that_asks_is_refused) {
  open(1, held_kind::bodies, 256 * kib);
  open(2, held_kind::bodies, 256 * kib);
  const auto got = ask(1, held_kind::bodies, 4 * kib, milliseconds(100));
  BOOST_TEST(!got.granted);
  BOOST_TEST(got.victims.empty());
}

// Guards against a new caller that is refused beside a few large ones that progress slowly.
BOOST_AUTO_TEST_CASE(a_small_caller_displaces_a_much_larger_one_that_progresses) {
  open(1, held_kind::bodies, 500 * kib);
  budget.open(2, start);
  const auto got = ask(2, held_kind::bodies, 32 * kib, milliseconds(100));
  BOOST_TEST(got.granted);
  BOOST_TEST(got.victims == ids{1});
}

// Guards against the end of connections that hold nothing of the kind whose share is used up.
BOOST_AUTO_TEST_CASE(a_kinds_share_is_freed_by_its_holders) {
  open(1, held_kind::heads, 400 * kib);
  open(2, held_kind::pipelined, 256 * kib);
  budget.open(3, start);
  const auto got = ask(3, held_kind::pipelined, 32 * kib);
  BOOST_TEST(got.granted);
  BOOST_TEST(got.victims == ids{2});
}

// Guards against further victims for the same bytes while the first ones are being closed.
BOOST_AUTO_TEST_CASE(what_a_victim_holds_counts_as_free_until_it_is_closed) {
  open(1, held_kind::heads, 600 * kib);
  open(2, held_kind::heads, 400 * kib);
  budget.open(3, start);
  BOOST_TEST(ask(3, held_kind::heads, 64 * kib).victims == ids{1});
  budget.add(3, held_kind::heads, 64 * kib);
  budget.add(1, held_kind::heads, 16 * kib);
  BOOST_TEST(ask(3, held_kind::heads, 64 * kib).victims.empty());
  budget.close(1);
  BOOST_TEST(budget.held() == 464 * kib);
  BOOST_TEST(ask(3, held_kind::heads, 64 * kib).granted);
  BOOST_TEST(!ask(3, held_kind::heads, 640 * kib, milliseconds(1)).granted);
}

// Guards against a burst that is granted the memory of victims before they are closed.
BOOST_AUTO_TEST_CASE(what_all_hold_is_bounded_also_while_victims_are_closed) {
  open(1, held_kind::heads, 1000 * kib);
  budget.open(2, start);
  BOOST_TEST(ask(2, held_kind::heads, 100 * kib).granted);
  budget.add(2, held_kind::heads, 100 * kib);
  BOOST_TEST(!ask(2, held_kind::heads, 100 * kib).granted);
  budget.close(1);
  BOOST_TEST(ask(2, held_kind::heads, 100 * kib).granted);
}

// Guards against a full listener that refuses the newest caller beside idle connections.
BOOST_AUTO_TEST_CASE(the_connection_that_waits_for_longest_makes_room) {
  open(1, held_kind::heads, 4 * kib);
  open(2, held_kind::heads, 4 * kib);
  budget.on_bytes(1, memory_budget::progress_bytes, start + milliseconds(100));
  budget.on_bytes(2, memory_budget::progress_bytes - 1, start + milliseconds(100));
  BOOST_TEST(budget.choose_longest_waiting(start + milliseconds(300)) == 0U);
  BOOST_TEST(budget.choose_longest_waiting(start + seconds(1)) == 2U);
  BOOST_TEST(budget.choose_longest_waiting(start + seconds(1)) == 1U);
  BOOST_TEST(budget.choose_longest_waiting(start + seconds(1)) == 0U);
}

// Guards against a pipelining caller whose requests take up the memory that others need.
BOOST_AUTO_TEST_CASE(no_request_is_read_ahead_while_memory_is_short) {
  open(1, held_kind::heads, 500 * kib);
  BOOST_TEST(budget.may_read_ahead());
  budget.add(1, held_kind::heads, 12 * kib);
  BOOST_TEST(!budget.may_read_ahead());
  budget.remove(1, held_kind::heads, 12 * kib);
  BOOST_TEST(budget.may_read_ahead());
}

BOOST_AUTO_TEST_SUITE_END()
