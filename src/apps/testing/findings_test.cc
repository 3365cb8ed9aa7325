#include "apps/findings.h"

#include <boost/test/unit_test.hpp>

#include "apps/status_view.h"
#include "ownership/cell_record.h"

using namespace plantainpaddle;

namespace {

// Two domains with two instances each, one service with an upstream in each domain, all well.
struct well_system {
  fleet_view fleet;
  table tables;

  well_system() {
    for (const char* name : {"north-1", "north-2", "south-1", "south-2"}) add_instance(name);
    service_table& service = tables[{"desk"}];
    service.revision.value = 3;
    service.service.name.value = "desk";
    service.upstreams = {{.name = {"desk-n"}, .address = "1.1.1.1:1", .domain = {"north"}},
                         {.name = {"desk-s"}, .address = "1.1.1.2:1", .domain = {"south"}}};
    for (auto& instance : fleet.instances) {
      instance.status->tables[{"desk"}] = {3};
      instance.status->cells = {cell("north", "desk-n"), cell("south", "desk-s")};
    }
  }

  void add_instance(const std::string& name) {
    const std::string domain = name.substr(0, name.find('-'));
    instance_view view;
    view.info.name = name;
    view.info.domain.value = domain;
    view.status = instance_status{.instance = name + "@1", .domain = {domain}};
    fleet.instances.push_back(view);
  }

  static cell_status cell(const std::string& domain, const std::string& upstream) {
    cell_status made;
    made.cell = make_cell_id({"desk"}, {domain}, 0);
    made.term.value = 1;
    made.assigner = domain + "-1@1";
    made.standbys = {domain + "-2@1"};
    made.shards = {{upstream, 8}};
    made.phase = "active";
    made.has_right = true;
    return made;
  }

  // The northern cell as every instance shows it.
  template <class Change>
  void change_north(Change change) {
    for (auto& instance : fleet.instances) {
      if (instance.status) change(instance.status->cells.at(0));
    }
  }

  void silence(const std::string& name) {
    for (auto& instance : fleet.instances) {
      if (instance.info.name == name) instance.status.reset();
    }
  }

  upstream_row& north_upstream() { return tables.at({"desk"}).upstreams[0]; }

  std::vector<finding> findings() const { return find_faults(fleet, tables); }
};

const finding* find(const std::vector<finding>& all, fault what) {
  for (const auto& f : all) {
    if (f.what == what) return &f;
  }
  return nullptr;
}

// The finding is there, and on top unless something worse is meant to be.
void check_top(const well_system& system, fault what, const std::string& command) {
  const auto all = system.findings();
  BOOST_REQUIRE(!all.empty());
  BOOST_TEST(fault_name(all[0].what) == fault_name(what));
  BOOST_TEST(all[0].command.find(command) != std::string::npos, all[0].command);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(apps_findings)

BOOST_AUTO_TEST_CASE(nothing_is_wrong_with_a_well_system) {
  const well_system system;
  BOOST_TEST(system.findings().empty());
  const auto text = show_status(system.fleet, system.tables, {});
  BOOST_TEST(text.starts_with("All keys are served.\n"));
}

BOOST_AUTO_TEST_CASE(faults_are_ordered_by_severity) {
  for (int f = 1; f <= static_cast<int>(fault::nothing_declared); ++f) {
    BOOST_TEST((severity_of(static_cast<fault>(f - 1)) <= severity_of(static_cast<fault>(f))));
  }
}

BOOST_AUTO_TEST_CASE(an_unreadable_instance_list) {
  well_system system;
  system.fleet = {.list_failure = error{errc::unavailable, step::instance_list, "1.1.1.1:1", ""}};
  check_top(system, fault::no_instance_list, "--instances");
}

BOOST_AUTO_TEST_CASE(no_instance_answers_and_a_lost_domain) {
  well_system system;
  system.silence("north-1");
  system.silence("north-2");
  check_top(system, fault::domain_without_instances, "set desk/service/desk isolation move");
  system.silence("south-1");
  system.silence("south-2");
  check_top(system, fault::no_instance_answers, "plantainpaddle-entry");
}

BOOST_AUTO_TEST_CASE(no_active_upstream) {
  well_system system;
  for (auto& row : system.tables.at({"desk"}).upstreams) row.state = upstream_state::drain;
  check_top(system, fault::no_active_upstream, "set desk/upstream/desk-n state active");
  system.tables.at({"desk"}).upstreams.clear();
  check_top(system, fault::no_active_upstream, "add desk/upstream/NAME");
}

BOOST_AUTO_TEST_CASE(a_cell_without_record) {
  well_system system;
  for (auto& instance : system.fleet.instances)
    instance.status->cells.erase(instance.status->cells.begin());
  check_top(system, fault::cell_missing, "north");
  BOOST_TEST(system.findings()[0].subject == "desk/north/0");
}

BOOST_AUTO_TEST_CASE(a_lost_assigner) {
  well_system system;
  system.silence("north-1");
  check_top(system, fault::cell_without_assigner, "plantainpaddle-entry");
  BOOST_TEST(find(system.findings(), fault::instance_silent) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_restarted_assigner_is_lost_in_its_old_life) {
  well_system system;
  system.fleet.instances[0].status->instance = "north-1@2";
  check_top(system, fault::cell_without_assigner, "plantainpaddle-entry");
}

BOOST_AUTO_TEST_CASE(an_assigner_that_is_cut_off) {
  well_system system;
  system.change_north([](cell_status& c) { c.has_right = false; });
  check_top(system, fault::assigner_without_right, "network of north-1");
}

BOOST_AUTO_TEST_CASE(shards_without_owner_say_why) {
  const auto reason = [](auto change) {
    well_system system;
    system.change_north([](cell_status& c) { c.shards["nobody"] = 2; });
    change(system);
    const auto all = system.findings();
    const auto* f = find(all, fault::shards_without_owner);
    return f == nullptr ? std::string() : f->text;
  };
  const auto has = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  BOOST_TEST(has(reason([](auto&) {}), "2 shards have no owner: its assigner has given"));
  BOOST_TEST(has(reason([](auto& s) { s.silence("north-1"); }), "its assigner doesn't answer"));
  BOOST_TEST(has(reason([](auto& s) { s.north_upstream().state = upstream_state::drain; }),
                 "none of its upstreams is active"));
  BOOST_TEST(
      has(reason([](auto& s) { s.change_north([](cell_status& c) { c.has_right = false; }); }),
          "may not change owners"));
  BOOST_TEST(
      has(reason([](auto& s) { s.change_north([](cell_status& c) { c.phase = "waiting"; }); }),
          "its assigner is waiting"));
  BOOST_TEST(
      has(reason([](auto& s) { s.change_north([](cell_status& c) { c.suspected = {"desk-n"}; }); }),
          "upstreams don't answer (desk-n)"));
}

BOOST_AUTO_TEST_CASE(an_unreadable_store) {
  const well_system system;
  const auto all =
      find_faults(system.fleet, error{errc::timed_out, step::store, "1.1.1.1:1", "no answer"});
  BOOST_REQUIRE(all.size() == 1U);
  BOOST_TEST(fault_name(all[0].what) == "store-unreadable");
}

BOOST_AUTO_TEST_CASE(an_instance_that_does_not_reach_the_store) {
  well_system system;
  system.fleet.instances[3].status->store_reachable = false;
  check_top(system, fault::store_unreachable, "south");
}

BOOST_AUTO_TEST_CASE(a_silent_instance) {
  well_system system;
  system.add_instance("north-3");
  system.silence("north-3");
  check_top(system, fault::instance_silent, "plantainpaddle-entry");
}

BOOST_AUTO_TEST_CASE(a_suspected_upstream) {
  well_system system;
  system.change_north([](cell_status& c) { c.suspected = {"desk-n"}; });
  check_top(system, fault::upstream_suspected, "set desk/upstream/desk-n state drain");
}

BOOST_AUTO_TEST_CASE(a_stopped_upstream_that_was_drained_is_no_fault) {
  well_system system;
  system.north_upstream().state = upstream_state::drain;
  system.change_north([](cell_status& c) {
    c.suspected = {"desk-n"};
    c.shards = {{"other", 8}};
  });
  check_top(system, fault::drain_complete, "remove desk/upstream/desk-n");
}

BOOST_AUTO_TEST_CASE(no_standby) {
  well_system system;
  system.change_north([](cell_status& c) { c.standbys.clear(); });
  check_top(system, fault::no_standby, "second instance in north");
}

BOOST_AUTO_TEST_CASE(a_table_that_is_behind) {
  well_system system;
  system.fleet.instances[1].status->tables[{"desk"}] = {2};
  check_top(system, fault::table_behind, "restart north-2");
}

BOOST_AUTO_TEST_CASE(a_queue_that_fills) {
  well_system system;
  system.fleet.instances[1].status->queues = {{"desk", "counter", 79, 100}};
  BOOST_TEST(system.findings().empty());
  system.fleet.instances[1].status->queues[0].waiting = 80;
  check_top(system, fault::queue_nearly_full, "add desk/upstream/NAME");
}

BOOST_AUTO_TEST_CASE(what_is_under_way_is_a_notice) {
  well_system system;
  system.north_upstream().state = upstream_state::drain;
  system.change_north([](cell_status& c) { c.moves = 2; });
  system.fleet.instances[3].status->leaving = true;
  const auto all = system.findings();
  BOOST_TEST(find(all, fault::moves_under_way) != nullptr);
  BOOST_TEST(find(all, fault::drain_under_way) != nullptr);
  BOOST_TEST(find(all, fault::instance_leaving) != nullptr);
  BOOST_TEST(all.size() == 3U);
  BOOST_TEST(show_status(system.fleet, system.tables, all).starts_with("All keys are served."));
}

BOOST_AUTO_TEST_CASE(a_drained_upstream_may_be_stopped) {
  well_system system;
  system.north_upstream().state = upstream_state::drain;
  system.change_north([](cell_status& c) { c.shards = {{"other", 8}}; });
  check_top(system, fault::drain_complete, "remove desk/upstream/desk-n");
}

BOOST_AUTO_TEST_CASE(an_empty_table) {
  well_system system;
  system.tables.clear();
  check_top(system, fault::nothing_declared, "plantainpaddle-table apply FILE");
}

BOOST_AUTO_TEST_CASE(the_newest_view_of_a_cell_counts) {
  well_system system;
  auto& stale = system.fleet.instances[2].status->cells[0];
  stale.assigner = "gone-1@1";
  stale.phase.reset();
  auto& current = system.fleet.instances[0].status->cells[0];
  current.term.value = 2;
  BOOST_TEST(newest_cells(system.fleet).at(current.cell).assigner == "north-1@1");
  BOOST_TEST(system.findings().empty());
}

BOOST_AUTO_TEST_SUITE_END()
