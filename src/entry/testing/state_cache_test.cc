#include "entry/state_cache.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "ownership/layout.h"
#include "table/parse.h"

using namespace plantainpaddle;

namespace {

state_item table_item(const state_cache& cache, std::uint64_t version, double weight) {
  service_table declared;
  declared.revision.value = version;
  declared.service.name.value = "desk";
  declared.service.imbalance_weight = weight;
  return {cache.keys().table({"desk"}), version, format_service_table(declared)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cache)

BOOST_AUTO_TEST_CASE(older_versions_are_refused_in_every_order) {
  // In every order of arrival of three versions, the known version only grows.
  std::vector<std::uint64_t> versions{3, 5, 9};
  do {
    state_cache cache("shop");
    std::uint64_t newest = 0;
    for (const auto version : versions) {
      const auto applied = cache.apply(table_item(cache, version, 1));
      BOOST_REQUIRE(applied.has_value());
      BOOST_TEST(*applied == (version > newest));
      newest = std::max(newest, version);
      BOOST_TEST(cache.tables().at({"desk"}).revision.value == newest);
    }
  } while (std::next_permutation(versions.begin(), versions.end()));
}

BOOST_AUTO_TEST_CASE(an_unreadable_value_changes_nothing) {
  state_cache cache("shop");
  BOOST_REQUIRE(cache.apply(table_item(cache, 3, 1)).value());
  const auto refused = cache.apply({cache.keys().table({"desk"}), 4, "{"});
  BOOST_TEST(refused.has_error());
  BOOST_TEST(cache.tables().at({"desk"}).revision.value == 3U);
  BOOST_TEST(cache.apply(table_item(cache, 5, 1)).value());
}

BOOST_AUTO_TEST_CASE(keys_of_another_cluster_are_ignored) {
  state_cache cache("shop");
  const state_cache other("other");
  BOOST_TEST(!cache.apply(table_item(other, 3, 1)).value());
  BOOST_TEST(cache.tables().empty());
}

BOOST_AUTO_TEST_CASE(a_digest_is_answered_with_newer_items_only) {
  state_cache behind("shop");
  state_cache ahead("shop");
  BOOST_REQUIRE(behind.apply(table_item(behind, 3, 1)).value());
  BOOST_REQUIRE(ahead.apply(table_item(ahead, 4, 2)).value());
  const auto push = ahead.newer_than(behind.digest(), 1000);
  BOOST_REQUIRE_EQUAL(push.items.size(), 1U);
  BOOST_TEST(push.items.front().version == 4U);
  BOOST_TEST(behind.newer_than(ahead.digest(), 1000).items.empty());
  BOOST_TEST(behind.summary() != ahead.summary());
  BOOST_REQUIRE(behind.apply(push.items.front()).value());
  BOOST_TEST(behind.summary() == ahead.summary());
}

BOOST_AUTO_TEST_SUITE_END()
