// Runs layouts step by step to their end and checks that no shard is ever in two cells, that fences
// only grow, and that each cell ends up with its share.

#include "ownership/layout.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

constexpr std::uint32_t shard_total = 64;
constexpr std::size_t move_limit = 4;

service_table table_of(const std::vector<std::string>& domains) {
  service_table declared;
  declared.service.name = service_id{"sklad"};
  declared.service.shards = shard_total;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    upstream_row row;
    row.name = upstream_id{"s" + std::to_string(i)};
    row.domain = domain_id{domains[i]};
    declared.upstreams.push_back(row);
  }
  return declared;
}

// Does to the records what the cells' assigners do after a change of the layout, without grants:
// they take in new shards and release leaving ones at once.
void update_records(const service_layout& layout, std::map<cell_id, cell_record>& records) {
  for (const auto& cell : layout.cells) {
    auto& shards = records[cell].shards;
    for (const auto& grant : home_shards(layout, cell)) {
      const auto [place, added] = shards.emplace(grant.shard, shard_owner{{}, grant.fence, false});
      if (!added && grant.fence > place->second.fence) place->second = {{}, grant.fence, false};
    }
    for (const auto shard : leaving_shards(layout, cell)) {
      auto& entry = shards.at(shard);
      if (!entry.released) entry = {{}, fence_number{entry.fence.value + 1}, true};
    }
  }
}

void check_step(const service_layout& before, const service_layout& after) {
  BOOST_REQUIRE_EQUAL(after.revision.value, before.revision.value + 1);
  BOOST_REQUIRE_EQUAL(after.shards.size(), before.shards.size());
  std::size_t moving = 0;
  for (std::size_t shard = 0; shard < after.shards.size(); ++shard) {
    const auto& old = before.shards[shard];
    const auto& now = after.shards[shard];
    if (now.next) ++moving;
    if (now.cell == old.cell) continue;
    BOOST_REQUIRE(old.next == now.cell);
    BOOST_REQUIRE(now.least_fence > old.least_fence);
  }
  BOOST_REQUIRE(moving <= move_limit);
}

service_layout run_to_end(service_layout layout, const service_table& declared,
                          const std::set<cell_id>& lost = {}) {
  std::map<cell_id, cell_record> records;
  update_records(layout, records);
  for (std::uint32_t round = 0; round < 4 * shard_total; ++round) {
    auto next = advance_layout(layout, declared, records, lost, move_limit);
    if (!next) return layout;
    check_step(layout, *next);
    layout = *next;
    update_records(layout, records);
  }
  BOOST_FAIL("the layout still changes after 4 rounds for each shard");
  return layout;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(layouts)

BOOST_AUTO_TEST_CASE(a_new_domain_gets_its_share_step_by_step) {
  const auto layout =
      run_to_end(make_layout(table_of({"d1", "d2"})), table_of({"d1", "d2", "d3", "d3"}));
  BOOST_TEST(home_shards(layout, cell_id{"sklad/d1/0"}).size() == 16U);
  BOOST_TEST(home_shards(layout, cell_id{"sklad/d2/0"}).size() == 16U);
  BOOST_TEST(home_shards(layout, cell_id{"sklad/d3/0"}).size() == 32U);
}

BOOST_AUTO_TEST_CASE(a_shard_does_not_move_before_its_release) {
  const auto declared = table_of({"d1", "d2"});
  auto layout = make_layout(table_of({"d1"}));
  std::map<cell_id, cell_record> records;
  update_records(layout, records);
  layout = *advance_layout(layout, declared, records, {}, move_limit);
  BOOST_TEST(leaving_shards(layout, layout.cells[0]).size() == move_limit);
  BOOST_TEST(!advance_layout(layout, declared, records, {}, move_limit).has_value());
  BOOST_TEST(home_shards(layout, cell_id{"sklad/d2/0"}).empty());
}

BOOST_AUTO_TEST_CASE(the_shards_of_a_lost_cell_move_without_release) {
  const auto declared = table_of({"d1", "d2"});
  auto layout = make_layout(declared);
  std::map<cell_id, cell_record> records;
  update_records(layout, records);
  for (std::uint32_t round = 0; round < 4 * shard_total; ++round) {
    const auto next =
        advance_layout(layout, declared, records, {cell_id{"sklad/d1/0"}}, move_limit);
    if (!next) break;
    layout = *next;
  }
  BOOST_TEST(home_shards(layout, cell_id{"sklad/d1/0"}).empty());
  for (const auto& grant : home_shards(layout, cell_id{"sklad/d2/0"})) {
    const auto old = records.at(cell_id{"sklad/d1/0"}).shards.find(grant.shard);
    const bool moved = old != records.at(cell_id{"sklad/d1/0"}).shards.end();
    BOOST_TEST((!moved || grant.fence > old->second.fence));
  }
}

BOOST_AUTO_TEST_CASE(after_any_change_of_the_table_each_cell_gets_its_share) {
  BOOST_TEST(rc::check("at random", [] {
    const auto domains = rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("a", "b", "c")));
    const auto before = table_of(*domains);
    const auto after = table_of(*domains);
    const auto layout = run_to_end(make_layout(before), after);
    std::map<cell_id, double> weight;
    for (const auto& row : after.upstreams) weight[cell_of(after, row)] += row.weight;
    for (const auto& cell : layout.cells) {
      const double share = weight[cell] / static_cast<double>(after.upstreams.size()) * shard_total;
      RC_ASSERT(std::abs(static_cast<double>(home_shards(layout, cell).size()) - share) < 2);
    }
  }));
}

BOOST_AUTO_TEST_CASE(records_and_layouts_are_unchanged_by_formatting_and_parsing) {
  BOOST_TEST(rc::check("at random", [] {
    cell_record record;
    record.cell = cell_id{"sklad/d1/0"};
    record.service = service_id{"sklad"};
    record.domain = domain_id{"d1"};
    record.term = term_number{*rc::gen::inRange<std::uint64_t>(0, 1000)};
    record.standbys = {instance_id{"e2@1"}};
    for (std::uint32_t shard = 0; shard < shard_total; ++shard) {
      const int kind = *rc::gen::inRange(0, 4);
      shard_owner entry{std::nullopt, fence_number{*rc::gen::inRange<std::uint64_t>(0, 99)},
                        kind == 0};
      if (kind > 1) entry.owner = upstream_id{"s" + std::to_string(kind)};
      record.shards[shard_id{shard}] = entry;
    }
    const auto again = parse_cell_record(format_cell_record(record));
    RC_ASSERT(again.has_value() && *again == record);
    service_layout layout = make_layout(table_of({"d1", "d2"}));
    for (auto& entry : layout.shards) {
      if (*rc::gen::arbitrary<bool>()) entry.next = 1 - entry.cell;
    }
    const auto layout_again = parse_service_layout(format_service_layout(layout));
    RC_ASSERT(layout_again.has_value() && *layout_again == layout);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
