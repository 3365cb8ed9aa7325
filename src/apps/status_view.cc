#include "apps/status_view.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "apps/sheet.h"
#include "base/json.h"
#include "ownership/cell_record.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

std::string state_text(const instance_view& instance) {
  if (!instance.status) return "silent";
  const bool leaves = instance.status->leaving || instance.info.state == instance_state::leaving;
  return leaves ? "leaving" : "live";
}

// "counter-desk 4, order-book 2".
std::string revisions_text(const instance_view& instance) {
  if (!instance.status) return "";
  std::string text;
  for (const auto& [service, revision] : instance.status->tables) {
    text += (text.empty() ? "" : ", ") + service.value + " " + std::to_string(revision.value);
  }
  return text;
}

std::string show_instances(const fleet_view& fleet) {
  sheet lines({"instance", "domain", "region", "state", "operators", "revisions in force"});
  for (const auto& instance : fleet.instances) {
    const auto& info = instance.info;
    lines.add({info.name, info.domain.value, info.region, state_text(instance), info.operators,
               revisions_text(instance)});
  }
  return lines.text("") + "\n";
}

std::string names_text(const std::vector<std::string>& ids) {
  std::string text;
  for (const auto& id : ids) text += (text.empty() ? "" : " ") + instance_name({id});
  return text;
}

std::string show_cells(const std::map<cell_id, cell_status>& cells) {
  sheet lines({"cell", "term", "assigner", "phase", "may renew", "standbys", "moves"});
  for (const auto& [id, cell] : cells) {
    const std::string right = !cell.has_right ? "" : *cell.has_right ? "yes" : "no";
    lines.add({id.value, std::to_string(cell.term.value), instance_name({cell.assigner}),
               cell.phase.value_or(""), right, names_text(cell.standbys),
               std::to_string(cell.moves)});
  }
  return lines.text("") + "\n";
}

std::string show_owners(const std::map<cell_id, cell_status>& cells,
                        const result<table>& declared) {
  sheet lines({"upstream", "cell", "shards", "weight", "state"});
  for (const auto& [id, cell] : cells) {
    std::map<std::string, int> owned = cell.shards;
    std::map<std::string, const upstream_row*> rows;
    if (declared && declared->contains(service_of(id))) {
      for (const auto& row : declared->at(service_of(id)).upstreams) {
        rows[row.name.value] = &row;
      }
    }
    for (const auto& [name, count] : owned) {
      const auto row = rows.find(name);
      const bool known = row != rows.end();
      const bool drains = known && row->second->state == upstream_state::drain;
      lines.add({name, id.value, std::to_string(count),
                 known ? number_text(row->second->weight) : "", drains ? "drain" : ""});
    }
  }
  return lines.text("") + "\n";
}

std::string show_queues(const fleet_view& fleet) {
  sheet lines({"queue", "service", "instance", "waiting", "limit"});
  for (const auto& instance : fleet.instances) {
    if (!instance.status) continue;
    for (const auto& queue : instance.status->queues) {
      lines.add({queue.name, queue.service, instance.info.name, std::to_string(queue.waiting),
                 std::to_string(queue.limit)});
    }
  }
  return lines.empty() ? "" : lines.text("") + "\n";
}

json::object to_json(const finding& f) {
  return {{"severity", severity_name(severity_of(f.what))},
          {"fault", fault_name(f.what)},
          {"subject", f.subject},
          {"text", f.text},
          {"command", f.command}};
}

json::object to_json(const instance_view& instance) {
  json::object tables;
  if (instance.status) {
    for (const auto& [service, revision] : instance.status->tables) {
      tables[service.value] = revision.value;
    }
  }
  return {{"name", instance.info.name},
          {"domain", instance.info.domain.value},
          {"region", instance.info.region},
          {"state", state_text(instance)},
          {"tables", std::move(tables)}};
}

json::object to_json(const cell_status& cell) {
  json::object shards;
  for (const auto& [owner, count] : cell.shards) shards[owner] = count;
  json::array standbys;
  for (const auto& id : cell.standbys) standbys.push_back(json::string(id));
  json::array suspected;
  for (const auto& name : cell.suspected) suspected.push_back(json::string(name));
  json::object made{{"cell", cell.cell.value},           {"term", cell.term.value},
                    {"revision", cell.revision.value},   {"assigner", cell.assigner},
                    {"standbys", std::move(standbys)},   {"shards", std::move(shards)},
                    {"suspected", std::move(suspected)}, {"moves", cell.moves}};
  if (cell.phase) made["phase"] = *cell.phase;
  if (cell.has_right) made["has_right"] = *cell.has_right;
  return made;
}

json::array queues_json(const fleet_view& fleet) {
  json::array items;
  for (const auto& instance : fleet.instances) {
    if (!instance.status) continue;
    for (const auto& queue : instance.status->queues) {
      items.push_back(json::object{{"instance", instance.info.name},
                                   {"service", queue.service},
                                   {"name", queue.name},
                                   {"waiting", queue.waiting},
                                   {"limit", queue.limit}});
    }
  }
  return items;
}

}  // namespace

std::string show_findings(const std::vector<finding>& findings) {
  std::string text;
  for (const auto& f : findings) {
    text += std::string(severity_name(severity_of(f.what))) + "  " + f.text + "  [" +
            std::string(fault_name(f.what)) + "]\n";
    if (!f.command.empty()) text += "    -> " + f.command + "\n";
  }
  if (is_well(findings)) text = "All keys are served.\n" + text;
  return text + "\n";
}

std::string show_status(const fleet_view& fleet, const result<table>& declared,
                        const std::vector<finding>& findings) {
  const auto cells = newest_cells(fleet);
  return show_findings(findings) + show_instances(fleet) + show_cells(cells) +
         show_owners(cells, declared) + show_queues(fleet);
}

std::string show_status_json(const fleet_view& fleet, const result<table>& declared,
                             const std::vector<finding>& findings) {
  json::array found;
  for (const auto& f : findings) found.push_back(to_json(f));
  json::array instances;
  for (const auto& instance : fleet.instances) instances.push_back(to_json(instance));
  json::array cells;
  for (const auto& [id, cell] : newest_cells(fleet)) cells.push_back(to_json(cell));
  json::object tables;
  if (declared) {
    for (const auto& [name, service] : *declared) tables[name.value] = service.revision.value;
  }
  return json::serialize(json::object{{"findings", std::move(found)},
                                      {"instances", std::move(instances)},
                                      {"cells", std::move(cells)},
                                      {"queues", queues_json(fleet)},
                                      {"declared", std::move(tables)}}) +
         "\n";
}

}  // namespace plantainpaddle
