#include "ownership/cell_record.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_record_shards = 1 << 16;

// Stand in it of an owner's index.
constexpr std::int64_t no_owner = -1;
constexpr std::int64_t released_shard = -2;

// Encodes each shard as [shard, owner, fence], where owner is an index into names, no_owner or
// released_shard. Appends each owner's name to names once, which keeps large records short.
json::array shards_to_json(const cell_record& record, json::array& names) {
  std::map<upstream_id, std::int64_t> index;
  json::array shards;
  for (const auto& [shard, entry] : record.shards) {
    std::int64_t owner = entry.released ? released_shard : no_owner;
    if (entry.owner) {
      const auto [it, added] = index.emplace(*entry.owner, static_cast<std::int64_t>(index.size()));
      if (added) names.push_back(json::string(entry.owner->value));
      owner = it->second;
    }
    shards.push_back(json::array{shard.value, owner, entry.fence.value});
  }
  return shards;
}

void read_mark(object_reader& reader, write_mark& mark) {
  mark.writer.value = reader.text("writer");
  mark.nonce = reader.unsigned_integer("nonce");
}

// Returns nothing unless the value is a list of exactly width integers, each at least
// released_shard.
std::optional<std::vector<std::int64_t>> read_numbers(const json::value& value, std::size_t width) {
  const auto* items = value.if_array();
  if (items == nullptr || items->size() != width) return std::nullopt;
  std::vector<std::int64_t> numbers;
  for (const auto& item : *items) {
    boost::system::error_code code;
    const auto number = item.to_number<std::int64_t>(code);
    if (code || number < released_shard) return std::nullopt;
    numbers.push_back(number);
  }
  return numbers;
}

void read_shards(object_reader& reader, const std::vector<std::string>& names,
                 cell_record& record) {
  const auto* items = reader.array("shards", true);
  if (items == nullptr) return;
  if (items->size() > max_record_shards) return reader.fail("shards", "too many");
  for (const auto& item : *items) {
    const auto numbers = read_numbers(item, 3);
    if (!numbers || (*numbers)[0] < 0 ||
        (*numbers)[0] >= static_cast<std::int64_t>(max_record_shards) || (*numbers)[2] < 0 ||
        (*numbers)[1] >= static_cast<std::int64_t>(names.size())) {
      return reader.fail("shards", "an entry is not [shard, upstream, fence]");
    }
    shard_owner entry;
    if ((*numbers)[1] >= 0) {
      entry.owner = upstream_id{names[static_cast<std::size_t>((*numbers)[1])]};
    }
    entry.released = (*numbers)[1] == released_shard;
    entry.fence.value = static_cast<std::uint64_t>((*numbers)[2]);
    const shard_id shard{static_cast<std::uint32_t>((*numbers)[0])};
    if (!record.shards.emplace(shard, entry).second) {
      return reader.fail("shards", "shard " + std::to_string(shard.value) + " is listed twice");
    }
  }
}

}  // namespace

std::vector<shard_grant> grants_of(const cell_record& record, const upstream_id& upstream) {
  std::vector<shard_grant> grants;
  for (const auto& [shard, entry] : record.shards) {
    if (entry.owner == upstream) grants.push_back({shard, entry.fence});
  }
  return grants;
}

result<cell_record> parse_cell_record(std::string_view text) {
  const auto value = parse_json(text, step::ownership, max_record_bytes);
  if (!value) return value.error();
  error_list errors;
  cell_record record;
  object_reader reader(*value, "$", step::ownership, errors);
  record.cell.value = reader.text("cell");
  record.service.value = reader.text("service");
  record.domain.value = reader.text("domain");
  record.term.value = reader.unsigned_integer("term");
  record.revision.value = reader.unsigned_integer("revision");
  record.assigner.value = reader.text("assigner");
  for (auto& name : reader.texts("standbys", true)) record.standbys.push_back({std::move(name)});
  if (record.standbys.size() > max_standbys) reader.fail("standbys", "too many");
  read_shards(reader, reader.texts("upstreams", true), record);
  read_mark(reader, record.mark);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return record;
}

std::string format_cell_record(const cell_record& record) {
  json::array standbys;
  for (const auto& standby : record.standbys) standbys.push_back(json::string(standby.value));
  json::array names;
  json::array shards = shards_to_json(record, names);
  return json::serialize(json::object{{"cell", record.cell.value},
                                      {"service", record.service.value},
                                      {"domain", record.domain.value},
                                      {"term", record.term.value},
                                      {"revision", record.revision.value},
                                      {"assigner", record.assigner.value},
                                      {"standbys", std::move(standbys)},
                                      {"upstreams", std::move(names)},
                                      {"shards", std::move(shards)},
                                      {"writer", record.mark.writer.value},
                                      {"nonce", record.mark.nonce}});
}

result<service_layout> parse_service_layout(std::string_view text) {
  const auto value = parse_json(text, step::ownership, max_record_bytes);
  if (!value) return value.error();
  error_list errors;
  service_layout layout;
  object_reader reader(*value, "$", step::ownership, errors);
  layout.service.value = reader.text("service");
  layout.revision.value = reader.unsigned_integer("revision");
  for (auto& cell : reader.texts("cells", true)) layout.cells.push_back({std::move(cell)});
  if (const auto* items = reader.array("shards", true)) {
    if (items->size() > max_record_shards) reader.fail("shards", "too many");
    for (const auto& item : *items) {
      const bool moves = item.is_array() && item.get_array().size() == 3;
      const auto numbers = read_numbers(item, moves ? 3 : 2);
      const auto is_cell = [&](std::int64_t number) {
        return number >= 0 && number < static_cast<std::int64_t>(layout.cells.size());
      };
      if (!numbers || !is_cell((*numbers)[0]) || (*numbers)[1] < 0 ||
          (moves && !is_cell((*numbers)[2]))) {
        reader.fail("shards", "an entry is not [cell, least fence] or [cell, least fence, next]");
        break;
      }
      layout_entry entry{static_cast<std::uint32_t>((*numbers)[0]),
                         fence_number{static_cast<std::uint64_t>((*numbers)[1])}, std::nullopt};
      if (moves) entry.next = static_cast<std::uint32_t>((*numbers)[2]);
      layout.shards.push_back(entry);
    }
  }
  read_mark(reader, layout.mark);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return layout;
}

std::string format_service_layout(const service_layout& layout) {
  json::array cells;
  for (const auto& cell : layout.cells) cells.push_back(json::string(cell.value));
  json::array shards;
  for (const auto& entry : layout.shards) {
    json::array item{entry.cell, entry.least_fence.value};
    if (entry.next) item.push_back(*entry.next);
    shards.push_back(std::move(item));
  }
  return json::serialize(json::object{{"service", layout.service.value},
                                      {"revision", layout.revision.value},
                                      {"cells", std::move(cells)},
                                      {"shards", std::move(shards)},
                                      {"writer", layout.mark.writer.value},
                                      {"nonce", layout.mark.nonce}});
}

upstream_id make_dispatched_owner(const upstream_id& upstream, const instance_id& dispatcher) {
  return upstream_id{upstream.value + "~" + dispatcher.value};
}

upstream_id upstream_of(const upstream_id& owner) {
  return upstream_id{owner.value.substr(0, owner.value.find('~'))};
}

std::optional<instance_id> dispatcher_of(const upstream_id& owner) {
  const auto it = owner.value.find('~');
  if (it == std::string::npos) return std::nullopt;
  return instance_id{owner.value.substr(it + 1)};
}

cell_id make_cell_id(const service_id& service, const domain_id& domain, std::uint32_t number) {
  return cell_id{service.value + "/" + domain.value + "/" + std::to_string(number)};
}

domain_id domain_of(const cell_id& cell) {
  const auto first = cell.value.find('/');
  const auto last = cell.value.rfind('/');
  if (first == std::string::npos || last <= first) return {};
  return domain_id{cell.value.substr(first + 1, last - first - 1)};
}

service_id service_of(const cell_id& cell) {
  return service_id{cell.value.substr(0, cell.value.find('/'))};
}

}  // namespace plantainpaddle
