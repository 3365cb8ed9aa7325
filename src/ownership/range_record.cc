#include "ownership/range_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_record_bytes = 1 << 20;

error bad_record(const std::string& detail) {
  return error{errc::bad_input, step::ownership, "", "range record: " + detail};
}

// Cuts the entry that has `key` in two, so that one begins with it.
void cut_before(range_record& record, std::uint32_t key) {
  const auto place =
      std::find_if(record.ranges.begin(), record.ranges.end(),
                   [&](const auto& entry) { return entry.first < key && key <= entry.last; });
  if (place == record.ranges.end()) return;
  range_entry rest = *place;
  rest.first = key;
  place->last = key - 1;
  record.ranges.insert(place + 1, std::move(rest));
}

result<range_entry> parse_entry(const json::value& value, const std::string& path) {
  error_list errors;
  object_reader reader(value, path, step::ownership, errors);
  range_entry entry;
  entry.first = static_cast<std::uint32_t>(reader.integer("first", 0, last_numbered_key));
  entry.last = static_cast<std::uint32_t>(reader.integer("last", 0, last_numbered_key));
  if (const auto owner = reader.text("owner", ""); !owner.empty()) entry.owner = upstream_id{owner};
  entry.fence.value = reader.unsigned_integer("fence", 0);
  for (auto& name : reader.texts("former", false)) entry.former.push_back({std::move(name)});
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return entry;
}

json::object format_entry(const range_entry& entry) {
  json::object out{{"first", entry.first}, {"last", entry.last}};
  if (entry.owner) out["owner"] = entry.owner->value;
  if (entry.fence.value != 0) out["fence"] = entry.fence.value;
  if (!entry.former.empty()) {
    json::array former;
    for (const auto& name : entry.former) former.emplace_back(name.value);
    out["former"] = std::move(former);
  }
  return out;
}

}  // namespace

range_record make_range_record() {
  range_record record;
  record.ranges.emplace_back();
  return record;
}

std::string format_range_record(const range_record& record) {
  json::array ranges;
  for (const auto& entry : record.ranges) ranges.push_back(format_entry(entry));
  return json::serialize(json::object{{"term", record.term.value},
                                      {"assigner", record.assigner.value},
                                      {"address", record.address},
                                      {"last_fence", record.last_fence.value},
                                      {"mark", record.mark},
                                      {"ranges", std::move(ranges)}});
}

result<range_record> parse_range_record(std::string_view text) {
  const auto value = parse_json(text, step::ownership, max_record_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", step::ownership, errors);
  range_record record;
  record.term.value = reader.unsigned_integer("term");
  record.assigner.value = reader.text("assigner");
  record.address = reader.text("address");
  record.last_fence.value = reader.unsigned_integer("last_fence");
  record.mark = reader.unsigned_integer("mark");
  const auto* ranges = reader.array("ranges", true);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  std::uint32_t next = 0;
  for (const auto& item : *ranges) {
    auto entry = parse_entry(item, "$.ranges[" + std::to_string(record.ranges.size()) + "]");
    if (!entry) return entry.error();
    if (entry->first != next || entry->last < entry->first) return bad_record("ranges have gaps");
    if (entry->fence > record.last_fence) return bad_record("a fence is above the last one");
    next = entry->last + 1;
    record.ranges.push_back(std::move(*entry));
  }
  if (next != last_numbered_key + 1) return bad_record("the ranges don't cover all keys");
  return record;
}

const range_entry& entry_of(const range_record& record, std::uint32_t key) {
  const auto next =
      std::upper_bound(record.ranges.begin(), record.ranges.end(), key,
                       [](std::uint32_t k, const range_entry& entry) { return k < entry.first; });
  return *(next - 1);
}

void move_range(range_record& record, std::uint32_t first, std::uint32_t last,
                const upstream_id& to) {
  cut_before(record, first);
  if (last != last_numbered_key) cut_before(record, last + 1);
  bool moved = false;
  const fence_number fence{record.last_fence.value + 1};
  for (auto& entry : record.ranges) {
    if (entry.first < first || entry.last > last || entry.owner == to) continue;
    if (entry.owner) entry.former.push_back(*entry.owner);
    std::erase(entry.former, to);
    entry.owner = to;
    entry.fence = fence;
    moved = true;
  }
  if (moved) record.last_fence = fence;
}

void renew_fences(range_record& record, const upstream_id& owner) {
  const fence_number fence{record.last_fence.value + 1};
  bool renewed = false;
  for (auto& entry : record.ranges) {
    if (entry.owner != owner) continue;
    entry.fence = fence;
    renewed = true;
  }
  if (renewed) record.last_fence = fence;
}

range_record take_over(range_record record, const instance_id& assigner,
                       const std::string& address) {
  ++record.term.value;
  record.assigner = assigner;
  record.address = address;
  std::set<upstream_id> owners;
  for (const auto& entry : record.ranges) {
    if (entry.owner) owners.insert(*entry.owner);
  }
  for (const auto& owner : owners) renew_fences(record, owner);
  return record;
}

void merge_ranges(range_record& record) {
  std::vector<range_entry> merged;
  for (auto& entry : record.ranges) {
    if (!merged.empty()) {
      auto& before = merged.back();
      if (before.owner == entry.owner && before.fence == entry.fence &&
          before.former == entry.former) {
        before.last = entry.last;
        continue;
      }
    }
    merged.push_back(std::move(entry));
  }
  record.ranges = std::move(merged);
}

}  // namespace plantainpaddle
