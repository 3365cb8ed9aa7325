#include "standin/kv_store.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

// Every change ever made, and the map that they lead to.
struct naive_store {
  std::vector<std::pair<std::uint64_t, std::string>> changes;  // revision, key
  std::map<std::string, std::string> values;
  std::map<std::string, std::uint64_t> revisions;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(kv)

BOOST_AUTO_TEST_CASE(random_changes_match_the_naive_store) {
  const bool ok = rc::check("kv_store equals a map and a list of changes", [] {
    kv_store store({.log_changes = 20});
    naive_store naive;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    std::uint64_t revision = 1;
    for (const auto& [what, number] : steps) {
      const std::string key = "k" + std::to_string(number);
      if (what == 0) {
        const bool there = naive.values.erase(key) > 0;
        RC_ASSERT(store.remove(key, "") == (there ? 1U : 0U));
        if (!there) continue;
        naive.revisions.erase(key);
      } else {
        const std::string value(static_cast<std::size_t>(what), 'v');
        RC_ASSERT(store.put(key, value, 0));
        naive.values[key] = value;
        naive.revisions[key] = revision + 1;
      }
      naive.changes.emplace_back(++revision, key);
      RC_ASSERT(store.revision() == revision);
    }
    const auto all = store.range("k", std::string(1, '\0'));
    RC_ASSERT(all.size() == naive.values.size());
    for (const auto& entry : all) {
      RC_ASSERT(entry.value == naive.values[entry.key]);
      RC_ASSERT(entry.modified == naive.revisions[entry.key]);
    }
    for (std::uint64_t from = 1; from <= revision + 1; ++from) {
      const auto events = store.events("k1", "k3", from);
      RC_ASSERT(events.has_value() == (from > store.compacted()));
      if (!events) continue;
      std::vector<std::pair<std::uint64_t, std::string>> wanted;
      for (const auto& change : naive.changes) {
        if (change.first >= from && change.second >= "k1" && change.second < "k3") {
          wanted.push_back(change);
        }
      }
      RC_ASSERT(events->size() == wanted.size());
      for (std::size_t i = 0; i < wanted.size(); ++i) {
        RC_ASSERT((*events)[i].entry.modified == wanted[i].first);
        RC_ASSERT((*events)[i].entry.key == wanted[i].second);
      }
    }
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(leases_lapse_and_bounds_hold) {
  kv_store store({.value_bytes = 10, .total_bytes = 30});
  const monotonic_time start{};
  const auto lease = store.grant_lease(0, seconds(2), start);
  BOOST_TEST(store.put("a", "1", lease));
  BOOST_TEST(!store.put("b", "1", lease + 1));
  BOOST_TEST(!store.put("b", std::string(11, 'x'), 0));
  BOOST_TEST(store.keep_alive(lease, start + seconds(1)).has_value());
  store.expire(start + milliseconds(2999));
  BOOST_TEST(store.find("a") != nullptr);
  store.expire(start + seconds(3));
  BOOST_TEST(store.find("a") == nullptr);
  BOOST_TEST(store.put("b", std::string(10, 'x'), 0));
  BOOST_TEST(store.put("c", std::string(10, 'x'), 0));
  BOOST_TEST(!store.put("d", std::string(10, 'x'), 0));
  BOOST_TEST(store.put("c", "x", 0));
  BOOST_TEST(store.put("d", std::string(10, 'x'), 0));
}

BOOST_AUTO_TEST_SUITE_END()
