#include "entry/status.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainpaddle {
namespace {

namespace json = boost::json;

template <class Id>
json::array names_of(const std::vector<Id>& ids) {
  json::array names;
  for (const auto& id : ids) names.push_back(json::string(id.value));
  return names;
}

json::object to_json(const cell_record& record) {
  std::map<std::string, int> counts;
  for (const auto& [shard, entry] : record.shards) {
    ++counts[entry.owner ? upstream_of(*entry.owner).value : std::string("nobody")];
  }
  json::object shards;
  for (const auto& [owner, count] : counts) shards[owner] = count;
  return {{"cell", record.cell.value},
          {"term", record.term.value},
          {"revision", record.revision.value},
          {"assigner", record.assigner.value},
          {"standbys", names_of(record.standbys)},
          {"shards", std::move(shards)}};
}

json::object to_json(const traffic_totals& traffic, duration cpu_time) {
  return {{"cpu_us", cpu_time.count()},
          {"messages_sent", traffic.messages_sent},
          {"bytes_sent", traffic.bytes_sent},
          {"messages_received", traffic.messages_received},
          {"bytes_received", traffic.bytes_received}};
}

}  // namespace

std::string format_status(const control_status& head, const state_cache& cache,
                          const std::map<cell_id, cell_runner::cell_state>& running) {
  json::object tables;
  for (const auto& [name, declared] : cache.tables()) tables[name.value] = declared.revision.value;
  json::array cells;
  for (const auto& [cell, known] : cache.cells()) {
    json::object line = to_json(known.record);
    if (const auto role = running.find(cell); role != running.end()) {
      line["phase"] = phase_name(role->second.phase);
      line["has_right"] = role->second.has_right;
      line["moves"] = role->second.moves;
      line["suspected"] = names_of(role->second.suspected);
    }
    cells.push_back(std::move(line));
  }
  json::array queues;
  for (const auto& queue : head.queues) {
    queues.push_back(json::object{{"service", queue.service.value},
                                  {"name", queue.upstream.value},
                                  {"waiting", queue.waiting},
                                  {"limit", queue.limit}});
  }
  json::object out{
      {"instance", head.instance.value}, {"domain", head.domain.value},
      {"leaving", head.leaving},         {"control", to_json(head.traffic, head.cpu_time)},
      {"tables", std::move(tables)},     {"queues", std::move(queues)},
      {"cells", std::move(cells)}};
  if (head.store_reachable) out["store_reachable"] = *head.store_reachable;
  return json::serialize(out);
}

}  // namespace plantainpaddle
