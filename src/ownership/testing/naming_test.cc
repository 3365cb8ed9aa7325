// Compares shard_of, rendezvous_order and make_layout with simple implementations: on all small
// cases and on random large ones.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <set>

#include "base/hash.h"
#include "ownership/layout.h"
#include "ownership/rendezvous.h"
#include "ownership/shard_map.h"

using namespace plantainpaddle;

namespace {

// Sorts by selection: repeatedly takes the name of the highest hash among the remaining ones.
std::vector<std::string> naive_order(std::string_view key, std::vector<std::string> names) {
  std::vector<std::string> order;
  while (!names.empty()) {
    std::size_t best = 0;
    for (std::size_t i = 1; i < names.size(); ++i) {
      const auto hash = hash64(key, names[i]);
      const auto best_hash = hash64(key, names[best]);
      if (hash > best_hash || (hash == best_hash && names[i] < names[best])) best = i;
    }
    order.push_back(names[best]);
    names.erase(names.begin() + static_cast<std::ptrdiff_t>(best));
  }
  return order;
}

service_table make_table(std::uint32_t shards, const std::vector<std::pair<int, double>>& rows) {
  service_table declared;
  declared.service.name = service_id{"sklad"};
  declared.service.shards = shards;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    upstream_row row;
    row.name = upstream_id{"s" + std::to_string(i)};
    row.domain = domain_id{"d" + std::to_string(rows[i].first)};
    row.weight = rows[i].second;
    declared.upstreams.push_back(row);
  }
  return declared;
}

// Checks that each shard is in exactly one cell, that each cell's number of shards differs from its
// share by weight by at most 1, and that no cell has more than max_cell_upstreams upstreams.
void check_layout(const service_table& declared) {
  const service_layout layout = make_layout(declared);
  std::map<cell_id, double> weight;
  std::map<cell_id, std::size_t> members;
  double total = 0;
  for (const auto& row : declared.upstreams) {
    weight[cell_of(declared, row)] += row.weight;
    ++members[cell_of(declared, row)];
    total += row.weight;
  }
  for (const auto& [cell, count] : members) BOOST_REQUIRE(count <= max_cell_upstreams);
  std::set<shard_id> seen;
  for (const auto& cell : layout.cells) {
    const auto home = home_shards(layout, cell);
    const double share = weight.at(cell) / total * declared.service.shards;
    BOOST_REQUIRE(std::abs(static_cast<double>(home.size()) - share) <= 1 + 1e-6);
    for (const auto& grant : home) BOOST_REQUIRE(seen.insert(grant.shard).second);
  }
  BOOST_REQUIRE_EQUAL(seen.size(), declared.service.shards);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(naming)

BOOST_AUTO_TEST_CASE(rendezvous_order_equals_the_naive_order) {
  for (unsigned subset = 0; subset < 1U << 7; ++subset) {
    std::vector<std::string> names;
    for (unsigned i = 0; i < 7; ++i) {
      if ((subset >> i & 1U) != 0) names.push_back("e" + std::to_string(i));
    }
    for (const char* key : {"", "a", "sklad/d1/0"}) {
      BOOST_REQUIRE(rendezvous_order(key, names) == naive_order(key, names));
    }
  }
  BOOST_TEST(
      rc::check("at random", [](const std::string& key, const std::vector<std::string>& names) {
        RC_ASSERT(rendezvous_order(key, names) == naive_order(key, names));
      }));
}

BOOST_AUTO_TEST_CASE(removing_a_name_keeps_the_order_of_the_others) {
  BOOST_TEST(rc::check("at random", [](const std::string& key, std::set<std::string> unique) {
    RC_PRE(!unique.empty());
    std::vector<std::string> names(unique.begin(), unique.end());
    auto order = rendezvous_order(key, names);
    const auto removed = names[*rc::gen::inRange<std::size_t>(0, names.size())];
    std::erase(names, removed);
    std::erase(order, removed);
    RC_ASSERT(rendezvous_order(key, names) == order);
  }));
}

BOOST_AUTO_TEST_CASE(shard_of_is_the_hash_modulo_the_count) {
  BOOST_TEST(rc::check("at random", [](const std::string& service, const std::string& key) {
    const auto bits = *rc::gen::inRange(0U, 17U);
    const std::uint32_t count = 1U << bits;
    RC_ASSERT(shard_of(service_id{service}, key, count).value == hash64(service, key) % count);
  }));
}

BOOST_AUTO_TEST_CASE(layouts_divide_all_shards_by_weight) {
  // Up to four upstreams in up to two domains with weights 0 to 2.
  for (int count = 1; count <= 4; ++count) {
    for (int code = 0; code < 1 << (3 * count); ++code) {
      std::vector<std::pair<int, double>> rows;
      double total = 0;
      for (int i = 0; i < count; ++i) {
        const int digit = code >> (3 * i) & 7;
        rows.emplace_back(digit & 1, std::min(digit >> 1, 2));
        total += rows.back().second;
      }
      if (total > 0) check_layout(make_table(8, rows));
    }
  }
  BOOST_TEST(rc::check("at random", [] {
    const auto domains = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    RC_PRE(!domains.empty());
    std::vector<std::pair<int, double>> rows;
    rows.reserve(domains.size());
    for (const int domain : domains) rows.emplace_back(domain, *rc::gen::inRange(1, 100) / 10.0);
    check_layout(make_table(1U << *rc::gen::inRange(4, 13), rows));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
