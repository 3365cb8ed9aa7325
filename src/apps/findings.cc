#include "apps/findings.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "ownership/cell_record.h"
#include "ownership/layout.h"

namespace plantainpaddle {
namespace {

constexpr std::string_view nobody = "nobody";
constexpr std::int64_t full_percent = 80;  // of a queue's limit

struct fault_row {
  fault what;
  std::string_view name;
  severity level;
};

constexpr fault_row fault_rows[] = {
    {fault::no_instance_answers, "no-instance-answers", severity::outage},
    {fault::no_active_upstream, "no-active-upstream", severity::outage},
    {fault::domain_without_instances, "domain-without-instances", severity::outage},
    {fault::cell_missing, "cell-missing", severity::outage},
    {fault::cell_without_assigner, "cell-without-assigner", severity::outage},
    {fault::assigner_without_right, "assigner-without-right", severity::outage},
    {fault::shards_without_owner, "shards-without-owner", severity::outage},
    {fault::store_unreadable, "store-unreadable", severity::degraded},
    {fault::no_instance_list, "no-instance-list", severity::degraded},
    {fault::store_unreachable, "store-unreachable", severity::degraded},
    {fault::instance_silent, "instance-silent", severity::degraded},
    {fault::upstream_suspected, "upstream-suspected", severity::degraded},
    {fault::no_standby, "no-standby", severity::degraded},
    {fault::table_behind, "table-behind", severity::degraded},
    {fault::queue_nearly_full, "queue-nearly-full", severity::degraded},
    {fault::moves_under_way, "moves-under-way", severity::notice},
    {fault::drain_under_way, "drain-under-way", severity::notice},
    {fault::drain_complete, "drain-complete", severity::notice},
    {fault::instance_leaving, "instance-leaving", severity::notice},
    {fault::nothing_declared, "nothing-declared", severity::notice},
};

constexpr bool rows_are_in_order() {
  for (std::size_t i = 0; i < std::size(fault_rows); ++i) {
    if (fault_rows[i].what != static_cast<fault>(i)) return false;
  }
  return true;
}
static_assert(rows_are_in_order(), "row_of() looks rows up by position");

const fault_row& row_of(fault f) { return fault_rows[static_cast<std::size_t>(f)]; }

std::string upstream_path(const std::string& service, const std::string& upstream) {
  return service + "/upstream/" + upstream;
}

std::string set_command(const std::string& row, const std::string& cells) {
  return "plantainpaddle-table set " + row + " " + cells;
}

const std::string start_command = "plantainpaddle-entry --settings FILE";

// Gathers the findings of one fleet.
class inspection {
 public:
  inspection(const fleet_view& fleet, const result<table>& declared)
      : fleet_(fleet), cells_(newest_cells(fleet)) {
    if (declared) {
      tables_ = *declared;
      if (tables_.empty()) {
        add(fault::nothing_declared, "table", "the table has no service yet",
            "plantainpaddle-table apply FILE   # or: plantainpaddle-table add NAME/service/NAME");
      }
    } else {
      add(fault::store_unreadable, "store",
          to_string(declared.error()) +
              ": what is owned stays served, but no change of the table and no new owner is "
              "possible",
          "bring the platform's store back; see docs/OPERATIONS.md, \"The store is gone\"");
    }
  }

  std::vector<finding> run() {
    if (fleet_.list_failure) {
      add(fault::no_instance_list, "instance list",
          to_string(*fleet_.list_failure) + ": shows only what the instances given by --ask know",
          "check the platform's instance list; then --instances");
    }
    if (!fleet_.list_failure || instances_seen(fleet_) > 0) inspect_instances();
    if (!fleet_.list_failure) {
      for (const auto& [name, service] : tables_) inspect_service(service);
      for (const auto& [cell, status] : cells_) inspect_cell(status);
    }
    std::sort(found_.begin(), found_.end(), [](const finding& a, const finding& b) {
      return std::tie(a.what, a.subject) < std::tie(b.what, b.subject);
    });
    return std::move(found_);
  }

 private:
  void add(fault what, std::string subject, std::string text, std::string command = "") {
    found_.push_back({what, std::move(subject), std::move(text), std::move(command)});
  }

  // The instance with the name; nullptr if the list doesn't have it.
  const instance_view* find_instance(const std::string& name) const {
    for (const auto& instance : fleet_.instances) {
      if (instance.info.name == name) return &instance;
    }
    return nullptr;
  }

  // Whether the instance answers and lives the life that the id names.
  bool lives(const std::string& id) const {
    const auto* instance = find_instance(instance_name({id}));
    return instance != nullptr && instance->status && instance->status->instance == id;
  }

  void inspect_instances() {
    if (instances_seen(fleet_) == 0) {
      add(fault::no_instance_answers, "instances",
          "none of " + std::to_string(fleet_.instances.size()) + " listed instances answers",
          start_command);
    }
    for (const auto& instance : fleet_.instances) {
      if (!instance.status) {
        const std::string why = instance.failure ? to_string(*instance.failure) : "no answer";
        add(fault::instance_silent, instance.info.name,
            instance.info.name + " in " + instance.info.domain.value + " doesn't answer: " + why,
            start_command + "   # on that instance, or replace it");
        continue;
      }
      inspect_answering(instance.info, *instance.status);
    }
  }

  void inspect_answering(const instance_info& info, const instance_status& status) {
    if (status.leaving || info.state == instance_state::leaving) {
      add(fault::instance_leaving, info.name, info.name + " finishes its requests and leaves");
    }
    if (status.store_reachable == false) {
      add(fault::store_unreachable, info.name,
          info.name + " can't reach the store, which others may",
          "check the network between " + info.domain.value + " and the platform");
    }
    for (const auto& queue : status.queues) {
      if (queue.limit <= 0 || queue.waiting * 100 < queue.limit * full_percent) continue;
      add(fault::queue_nearly_full, info.name + " " + queue.service + " " + queue.name,
          info.name + ": " + std::to_string(queue.waiting) + " of " + std::to_string(queue.limit) +
              " places taken in queue " + queue.name + " of " + queue.service,
          "plantainpaddle-table add " + queue.service +
              "/upstream/NAME address IP:port domain DOMAIN   # or lower a limit's rate");
    }
    inspect_tables(info, status);
  }

  void inspect_tables(const instance_info& info, const instance_status& status) {
    for (const auto& [name, service] : tables_) {
      const auto known = status.tables.find(name);
      const auto revision = known == status.tables.end() ? revision_number{} : known->second;
      if (revision >= service.revision) continue;
      add(fault::table_behind, info.name + " " + name.value,
          info.name + " has revision " + std::to_string(revision.value) + " of " + name.value +
              " in force, the store has " + std::to_string(service.revision.value),
          "wait 6 s and look again; then restart " + info.name);
    }
  }

  void inspect_service(const service_table& service) {
    const std::string& name = service.service.name.value;
    std::set<domain_id> domains;
    bool any_active = false;
    for (const auto& row : service.upstreams) {
      domains.insert(row.domain);
      any_active = any_active || (row.state == upstream_state::active && row.weight > 0);
      inspect_drain(service, row);
    }
    if (!any_active) {
      add(fault::no_active_upstream, name, name + " has no active upstream: its requests fail",
          service.upstreams.empty()
              ? "plantainpaddle-table add " + upstream_path(name, "NAME") +
                    " address IP:port domain DOMAIN"
              : set_command(upstream_path(name, service.upstreams.front().name.value),
                            "state active"));
    }
    for (const auto& domain : domains) inspect_domain(service, domain);
    if (service.service.keyed) inspect_layout(service);
  }

  void inspect_domain(const service_table& service, const domain_id& domain) {
    const bool seen = std::any_of(fleet_.instances.begin(), fleet_.instances.end(),
                                  [&](const instance_view& instance) {
                                    return instance.status && instance.info.domain == domain;
                                  });
    if (seen || service.service.isolation == isolation_mode::move) return;
    const std::string& name = service.service.name.value;
    add(fault::domain_without_instances, name + " " + domain.value,
        "no entry instance answers in " + domain.value + ", where " + name +
            " has upstreams and isolation is stay: nobody assigns their keys",
        start_command + "   # there; if the domain is lost: " +
            set_command(name + "/service/" + name, "isolation move"));
  }

  void inspect_layout(const service_table& service) {
    if (instances_seen(fleet_) == 0) return;
    std::set<cell_id> wanted;
    for (const auto& row : service.upstreams) wanted.insert(cell_of(service, row));
    for (const auto& cell : wanted) {
      if (cells_.contains(cell)) continue;
      add(fault::cell_missing, cell.value, cell.value + " has no record yet: nobody owns its keys",
          "wait 5 s and look again; then look into the log of an entry instance in " +
              domain_of(cell).value);
    }
  }

  void inspect_drain(const service_table& service, const upstream_row& row) {
    if (row.state != upstream_state::drain) return;
    const std::string path = upstream_path(service.service.name.value, row.name.value);
    int owned = 0;
    for (const auto& [cell, status] : cells_) {
      const auto shards = status.shards.find(row.name.value);
      if (service_of(cell) == service.service.name && shards != status.shards.end()) {
        owned += shards->second;
      }
    }
    if (owned > 0) {
      add(fault::drain_under_way, path,
          path + " drains: " + std::to_string(owned) + " shards are still to move");
    } else if (instances_seen(fleet_) > 0) {
      add(fault::drain_complete, path, path + " is drained and may be stopped",
          "plantainpaddle-table remove " + path + "   # or: " + set_command(path, "state active"));
    }
  }

  void inspect_cell(const cell_status& cell) {
    const bool assigned = lives(cell.assigner);
    if (!assigned) {
      add(fault::cell_without_assigner, cell.cell.value,
          cell.cell.value + ": its assigner " + cell.assigner +
              " doesn't answer; grants end unless a standby takes over, which takes 2 s",
          "look again in 3 s; then: " + start_command + "   # in " + domain_of(cell.cell).value);
    } else if (cell.has_right == false) {
      add(fault::assigner_without_right, cell.cell.value,
          cell.cell.value + ": its assigner " + cell.assigner +
              " reaches neither a standby nor the store (" + cell.phase.value_or("unknown phase") +
              ") and may not renew grants",
          "check the network of " + instance_name({cell.assigner}) +
              "; start another instance in " + domain_of(cell.cell).value);
    }
    inspect_owners(cell, assigned);
    const bool any_standby = std::any_of(cell.standbys.begin(), cell.standbys.end(),
                                         [&](const std::string& id) { return lives(id); });
    if (!any_standby) {
      add(fault::no_standby, cell.cell.value,
          cell.cell.value +
              " has no standby that answers: with its assigner lost, it waits for "
              "the store",
          start_command + "   # a second instance in " + domain_of(cell.cell).value);
    }
    if (cell.moves > 0) {
      add(fault::moves_under_way, cell.cell.value,
          cell.cell.value + ": " + std::to_string(cell.moves) + " shards are moving");
    }
    const std::string service = service_of(cell.cell).value;
    for (const auto& upstream : cell.suspected) {
      if (!cell.shards.contains(upstream) && drains(service, upstream)) continue;
      const std::string path = upstream_path(service, upstream);
      add(fault::upstream_suspected, path,
          path + " doesn't answer its assigner " + instance_name({cell.assigner}),
          set_command(path, "state drain") + "   # or restart it");
    }
  }

  void inspect_owners(const cell_status& cell, bool assigned) {
    const auto without = cell.shards.find(std::string(nobody));
    if (without == cell.shards.end() || without->second == 0) return;
    std::string why = "its assigner has given them to nobody yet";
    std::string command = "look again in 3 s";
    if (!assigned) {
      why = "its assigner doesn't answer";
      command = start_command + "   # in " + domain_of(cell.cell).value;
    } else if (!has_active_upstream(cell)) {
      why = "none of its upstreams is active";
      command = set_command(upstream_path(service_of(cell.cell).value, "NAME"), "state active");
    } else if (cell.has_right == false) {
      why = "its assigner may not change owners now";
    } else if (cell.phase && *cell.phase != "active") {
      why = "its assigner is " + *cell.phase + " after it took over";
    } else if (!cell.suspected.empty()) {
      why = "upstreams don't answer (" + cell.suspected.front() + ")";
      command = "restart that upstream";
    }
    add(fault::shards_without_owner, cell.cell.value,
        cell.cell.value + ": " + std::to_string(without->second) + " shards have no owner: " + why,
        command);
  }

  bool drains(const std::string& service, const std::string& upstream) const {
    const auto declared = tables_.find({service});
    if (declared == tables_.end()) return false;
    const auto& rows = declared->second.upstreams;
    return std::any_of(rows.begin(), rows.end(), [&](const upstream_row& row) {
      return row.name.value == upstream && row.state == upstream_state::drain;
    });
  }

  bool has_active_upstream(const cell_status& cell) const {
    const auto service = tables_.find(service_of(cell.cell));
    if (service == tables_.end()) return true;  // not known
    return std::any_of(service->second.upstreams.begin(), service->second.upstreams.end(),
                       [&](const upstream_row& row) {
                         return row.state == upstream_state::active &&
                                cell_of(service->second, row) == cell.cell;
                       });
  }

  const fleet_view& fleet_;
  std::map<cell_id, cell_status> cells_;
  table tables_;
  std::vector<finding> found_;
};

}  // namespace

std::string_view severity_name(severity s) noexcept {
  constexpr std::string_view names[] = {"OUTAGE", "DEGRADED", "notice"};
  return names[static_cast<std::size_t>(s)];
}

std::string_view fault_name(fault f) noexcept { return row_of(f).name; }

severity severity_of(fault f) noexcept { return row_of(f).level; }

bool is_well(const std::vector<finding>& findings) {
  return findings.empty() || severity_of(findings.front().what) == severity::notice;
}

std::map<cell_id, cell_status> newest_cells(const fleet_view& fleet) {
  std::map<cell_id, cell_status> newest;
  const auto rank = [](const cell_status& c) {
    return std::tuple(c.term, c.revision, c.phase.has_value());
  };
  for (const auto& instance : fleet.instances) {
    if (!instance.status) continue;
    for (const auto& cell : instance.status->cells) {
      const auto [place, added] = newest.emplace(cell.cell, cell);
      if (!added && rank(place->second) < rank(cell)) place->second = cell;
    }
  }
  return newest;
}

std::vector<finding> find_faults(const fleet_view& fleet, const result<table>& declared) {
  return inspection(fleet, declared).run();
}

}  // namespace plantainpaddle
