// Balance of load between cells, by plans that are carried out round by round.
#include "ownership/cell_balance.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

service_table three_domains() {
  service_table declared;
  declared.service.name = service_id{"s"};
  declared.service.shards = 256;
  for (int u = 0; u < 6; ++u) {
    const auto number = std::to_string(u);
    declared.upstreams.push_back({.name = upstream_id{"u" + number},
                                  .address = "127.0.0.1:1",
                                  .domain = domain_id{"d" + std::to_string(u % 3)}});
  }
  return declared;
}

std::vector<double> loads_of(const service_layout& layout, const std::map<shard_id, double>& load) {
  std::vector<double> cell_loads(layout.cells.size());
  for (const auto& [shard, rate] : load) {
    const auto& entry = layout.shards[shard.value];
    cell_loads[entry.next.value_or(entry.cell)] += rate;
  }
  return cell_loads;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_balance)

BOOST_AUTO_TEST_CASE(load_is_balanced_within_the_move_limit) {
  const auto declared = three_domains();
  auto layout = make_layout(declared);
  std::map<shard_id, double> load;
  for (std::uint32_t s = 0; s < 256; ++s)
    load[shard_id{s}] = layout.shards[s].cell == 1 ? 200 : 100;
  const cell_balance_settings settings;
  std::size_t total = 0;
  for (int round = 0; round < 50; ++round) {
    const auto moves = plan_cell_moves(layout, declared, load, settings);
    BOOST_REQUIRE(moves.size() <= settings.move_limit);
    if (moves.empty()) break;
    for (const auto& move : moves) {
      BOOST_TEST(layout.shards[move.shard.value].cell == 1U);
      layout.shards[move.shard.value].next = move.cell;
    }
    // At the limit no further move is started.
    if (moves.size() == settings.move_limit) {
      BOOST_TEST(plan_cell_moves(layout, declared, load, settings).empty());
    }
    for (auto& entry : layout.shards) {
      if (entry.next) entry = {*entry.next, entry.least_fence, std::nullopt};
    }
    total += moves.size();
  }
  const auto loads = loads_of(layout, load);
  const double mean = (loads[0] + loads[1] + loads[2]) / 3;
  BOOST_TEST(*std::max_element(loads.begin(), loads.end()) <= 1.05 * mean);
  BOOST_TEST(total > 0U);
}

BOOST_AUTO_TEST_CASE(a_cell_without_active_upstreams_is_emptied_step_by_step) {
  auto declared = three_domains();
  auto layout = make_layout(declared);
  for (auto& upstream : declared.upstreams) {
    if (upstream.domain.value == "d2") upstream.state = upstream_state::drain;
  }
  const auto moves = plan_cell_moves(layout, declared, {}, {.move_limit = 10});
  BOOST_TEST(moves.size() == 10U);
  for (const auto& move : moves) {
    BOOST_TEST(layout.cells[layout.shards[move.shard.value].cell].value == "s/d2/0");
    BOOST_TEST(layout.cells[move.cell].value != "s/d2/0");
  }
}

BOOST_AUTO_TEST_CASE(balanced_cells_move_nothing) {
  const auto declared = three_domains();
  BOOST_TEST(plan_cell_moves(make_layout(declared), declared, {}, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
