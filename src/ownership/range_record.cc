#include "ownership/range_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_record_bytes = 1 << 20;
// An era's fences are above those of earlier ones, however many of these the store has lost.
constexpr int fence_bits_in_era = 32;
constexpr std::uint64_t owner_fences = fence_block / 2;  // of a block

error bad_record(const std::string& detail) {
  return error{errc::bad_input, step::ownership, "", "range record: " + detail};
}

// Returns the first fence of an era.
fence_number era_start(std::uint64_t era) { return {era << fence_bits_in_era}; }

void enter_era(range_record& record, std::uint64_t era) {
  record.era = era;
  record.last_fence = std::max(record.last_fence, era_start(era));
  record.unsettled = true;
}

fence_number next_block(const range_record& record) {
  const auto last = std::max(record.last_fence, era_start(record.era));
  return {(last.value / fence_block + 1) * fence_block};
}

// Splits the entry that contains `key` so that an entry starts at `key`.
void split_before(range_record& record, std::uint32_t key) {
  const auto it = std::find_if(record.ranges.begin(), record.ranges.end(), [&](const auto& entry) {
    return entry.first < key && key <= entry.last;
  });
  if (it == record.ranges.end()) return;
  range_entry rest = *it;
  rest.first = key;
  it->last = key - 1;
  record.ranges.insert(it + 1, std::move(rest));
}

// Collects the upstreams' names: the record lists each name once, and its ranges refer to a name by
// its index.
class name_table {
 public:
  std::int64_t index_of(const upstream_id& name) {
    const auto [it, added] = indices_.try_emplace(name, static_cast<std::int64_t>(names_.size()));
    if (added) names_.emplace_back(name.value);
    return it->second;
  }
  json::array take() { return std::move(names_); }

 private:
  std::map<upstream_id, std::int64_t> indices_;
  json::array names_;
};

constexpr std::int64_t no_owner = -1;
constexpr std::uint64_t no_life = 0;  // of an upstream whose life a delta removes

// Formats an entry as [first key, owner, fence, former owners ...]. Owners are indices of names.
json::array format_entry(const range_entry& entry, name_table& names) {
  json::array out{entry.first, entry.owner ? names.index_of(*entry.owner) : no_owner,
                  entry.fence.value};
  for (const auto& name : entry.former) out.emplace_back(names.index_of(name));
  return out;
}

result<range_entry> parse_entry(const json::value& value, const std::vector<std::string>& names) {
  constexpr std::size_t fixed_members = 3;
  const auto* members = value.if_array();
  if (members == nullptr || members->size() < fixed_members)
    return bad_record("a range has fewer than three members");
  std::vector<std::int64_t> numbers;
  for (const auto& member : *members) {
    boost::system::error_code code;
    numbers.push_back(member.to_number<std::int64_t>(code));
    if (code) return bad_record("a member of a range is not an integer");
  }
  const auto is_name_index = [&](std::int64_t index) {
    return index >= 0 && index < static_cast<std::int64_t>(names.size());
  };
  range_entry entry;
  if (numbers[0] < 0 || numbers[0] > last_numbered_key)
    return bad_record("a range's first key is out of bounds");
  entry.first = static_cast<std::uint32_t>(numbers[0]);
  if (numbers[1] != no_owner && !is_name_index(numbers[1]))
    return bad_record("an owner's index is out of bounds");
  if (numbers[1] != no_owner)
    entry.owner = upstream_id{names[static_cast<std::size_t>(numbers[1])]};
  if (numbers[2] < 0) return bad_record("a fence is negative");
  entry.fence.value = static_cast<std::uint64_t>(numbers[2]);
  for (std::size_t i = fixed_members; i < numbers.size(); ++i) {
    if (!is_name_index(numbers[i])) return bad_record("a former owner's index is out of bounds");
    entry.former.push_back({names[static_cast<std::size_t>(numbers[i])]});
  }
  return entry;
}

json::object format_lives(const std::map<upstream_id, std::uint64_t>& lives) {
  json::object out;
  for (const auto& [name, life] : lives) out[name.value] = life;
  return out;
}

result<std::map<upstream_id, std::uint64_t>> parse_lives(const json::object& members) {
  std::map<upstream_id, std::uint64_t> lives;
  for (const auto& member : members) {
    boost::system::error_code code;
    const auto life = member.value().to_number<std::uint64_t>(code);
    if (code) return bad_record("a life is not a number");
    lives[{std::string(member.key())}] = life;
  }
  return lives;
}

// Parses the entries into `record`, whose last_fence must be set. The stored form has no last keys:
// the first entry starts at key 0 and each entry ends before the next one, so that every key is in
// exactly one entry.
result<void> parse_ranges(const json::array& items, const std::vector<std::string>& names,
                          range_record& record) {
  for (const auto& item : items) {
    auto entry = parse_entry(item, names);
    if (!entry) return entry.error();
    if (entry->fence > record.last_fence) return bad_record("a fence is above last_fence");
    const bool first = record.ranges.empty();
    if (first ? entry->first != 0 : entry->first <= record.ranges.back().first) {
      return bad_record("the ranges are not sorted or don't start at key 0");
    }
    if (!first) record.ranges.back().last = entry->first - 1;
    record.ranges.push_back(std::move(*entry));
  }
  if (record.ranges.empty()) return bad_record("there are no ranges");
  return {};
}

// Returns what has changed; removed lives are no_life.
std::map<upstream_id, std::uint64_t> changed_lives(
    const std::map<upstream_id, std::uint64_t>& before,
    const std::map<upstream_id, std::uint64_t>& after) {
  std::map<upstream_id, std::uint64_t> changed;
  for (const auto& [name, life] : before) {
    if (!after.contains(name)) changed[name] = no_life;
  }
  for (const auto& [name, life] : after) {
    const auto known = before.find(name);
    if (known == before.end() || known->second != life) changed[name] = life;
  }
  return changed;
}

}  // namespace

record_position position_of(const range_record& record) {
  return {record.era, record.term.value, record.mark};
}

range_record make_range_record() {
  range_record record;
  record.ranges.emplace_back();
  return record;
}

std::string format_range_record(const range_record& record) {
  name_table names;
  json::array ranges;
  for (const auto& entry : record.ranges) ranges.push_back(format_entry(entry, names));
  json::object object{{"term", record.term.value},  {"assigner", record.assigner.value},
                      {"address", record.address},  {"last_fence", record.last_fence.value},
                      {"mark", record.mark},        {"upstreams", names.take()},
                      {"ranges", std::move(ranges)}};
  if (record.lapses_in) object["lapses_in_us"] = record.lapses_in->count();
  if (record.era != 0) object["era"] = record.era;
  if (record.unsettled) object["unsettled"] = true;
  if (record.claims_from.value != 0) object["claims_from"] = record.claims_from.value;
  if (record.lapsed) object["lapsed"] = true;
  if (!record.lives.empty()) object["lives"] = format_lives(record.lives);
  return json::serialize(object);
}

result<range_record> parse_range_record(std::string_view text) {
  constexpr std::int64_t absent = -1;
  range_record record;
  result<void> ranges;
  result<std::map<upstream_id, std::uint64_t>> lives = std::map<upstream_id, std::uint64_t>{};
  const auto parsed =
      read_object(text, step::ownership, max_record_bytes, [&](object_reader& reader) {
        record.term.value = reader.unsigned_integer("term");
        record.assigner.value = reader.text("assigner");
        record.address = reader.text("address");
        record.last_fence.value = reader.unsigned_integer("last_fence");
        record.mark = reader.unsigned_integer("mark");
        record.era = reader.unsigned_integer("era", 0);
        record.unsettled = reader.boolean("unsettled", false);
        record.claims_from.value = reader.unsigned_integer("claims_from", 0);
        record.lapsed = reader.boolean("lapsed", false);
        if (const auto* members = reader.object("lives", false)) {
          lives = parse_lives(members->get_object());
        }
        constexpr std::int64_t max_lapse_us = 3'600'000'000;
        const auto lapses = reader.integer("lapses_in_us", 0, max_lapse_us, absent);
        if (lapses != absent) record.lapses_in = duration(lapses);
        const auto names = reader.texts("upstreams", true);
        const auto* items = reader.array("ranges", true);
        if (items != nullptr) ranges = parse_ranges(*items, names, record);
      });
  if (!parsed) return parsed.error();
  if (!ranges) return ranges.error();
  if (!lives) return lives.error();
  record.lives = std::move(*lives);
  return record;
}

range_delta make_delta(const range_record& before, const range_record& after) {
  range_delta delta{.changes = after};
  delta.changes.lives = changed_lives(before.lives, after.lives);
  auto& entries = delta.changes.ranges;
  entries.clear();
  for (const auto& entry : after.ranges) {
    if (entry_of(before, entry.first) != entry) {
      entries.push_back(entry);
      continue;
    }
    const bool follows = !delta.unchanged.empty() && delta.unchanged.back() + 1 == entries.size();
    if (follows) {
      entries.back().last = entry.last;
      continue;
    }
    delta.unchanged.push_back(entries.size());
    entries.push_back({.first = entry.first, .last = entry.last});
  }
  return delta;
}

result<range_record> apply_delta(const range_record& before, const range_delta& delta) {
  range_record after = delta.changes;
  after.lives = before.lives;
  for (const auto& [name, life] : delta.changes.lives) {
    if (life == no_life) {
      after.lives.erase(name);
    } else {
      after.lives[name] = life;
    }
  }
  after.ranges.clear();
  auto unchanged = delta.unchanged.begin();
  for (std::size_t i = 0; i < delta.changes.ranges.size(); ++i) {
    const auto& entry = delta.changes.ranges[i];
    if (unchanged == delta.unchanged.end() || *unchanged != i) {
      after.ranges.push_back(entry);
      continue;
    }
    ++unchanged;
    auto it = std::lower_bound(
        before.ranges.begin(), before.ranges.end(), entry.first,
        [](const range_entry& known, std::uint32_t first) { return known.first < first; });
    if (it == before.ranges.end() || it->first != entry.first)
      return bad_record("unchanged ranges begin elsewhere");
    for (; it != before.ranges.end() && it->last <= entry.last; ++it) after.ranges.push_back(*it);
    if (after.ranges.empty() || after.ranges.back().last != entry.last)
      return bad_record("unchanged ranges end elsewhere");
  }
  if (unchanged != delta.unchanged.end()) return bad_record("an unchanged range isn't there");
  return after;
}

const range_entry& entry_of(const range_record& record, std::uint32_t key) {
  const auto next =
      std::upper_bound(record.ranges.begin(), record.ranges.end(), key,
                       [](std::uint32_t k, const range_entry& entry) { return k < entry.first; });
  return *(next - 1);
}

bool same_block(fence_number a, fence_number b) {
  return a.value / fence_block == b.value / fence_block;
}

std::optional<fence_number> next_in_block(fence_number fence) {
  if (fence.value % fence_block + 1 >= owner_fences) return std::nullopt;
  return fence_number{fence.value + 1};
}

fence_number release_fence(fence_number fence) {
  const auto in_block = fence.value % fence_block;
  return in_block == 0 ? fence : fence_number{fence.value - in_block + fence_block};
}

fence_number claim_fence(const range_record& record, const range_entry& entry) {
  const auto block = entry.fence.value / fence_block * fence_block;
  return {block + owner_fences + record.era % (fence_block - owner_fences)};
}

void move_range(range_record& record, std::uint32_t first, std::uint32_t last,
                const upstream_id& to, const entry_predicate& keeps_block) {
  split_before(record, first);
  if (last != last_numbered_key) split_before(record, last + 1);
  const auto fence = next_block(record);
  for (auto& entry : record.ranges) {
    if (entry.first < first || entry.last > last || entry.owner == to) continue;
    const auto in_block =
        keeps_block && keeps_block(entry) ? next_in_block(entry.fence) : std::nullopt;
    if (entry.owner) entry.former.push_back(*entry.owner);
    std::erase(entry.former, to);
    entry.owner = to;
    entry.fence = in_block.value_or(fence);
    record.last_fence = std::max(record.last_fence, entry.fence);
  }
}

void renew_fences(range_record& record, const std::function<fence_change(std::size_t)>& change) {
  std::map<upstream_id, fence_number> blocks;
  for (std::size_t i = 0; i < record.ranges.size(); ++i) {
    auto& entry = record.ranges[i];
    const auto wanted = entry.owner ? change(i) : fence_change::none;
    if (wanted == fence_change::none) continue;
    const auto in_block =
        wanted == fence_change::same_block ? next_in_block(entry.fence) : std::nullopt;
    entry.fence =
        in_block ? *in_block : blocks.try_emplace(*entry.owner, next_block(record)).first->second;
    record.last_fence = std::max(record.last_fence, entry.fence);
  }
}

bool is_inherited(const range_record& record, fence_number fence) {
  return fence < era_start(record.era);
}

range_record take_over(range_record record, const instance_id& assigner, const std::string& address,
                       std::uint64_t era) {
  if (record.era != era) {
    if (record.unsettled) record.claims_from = era_start(record.era);
    enter_era(record, era);
  }
  ++record.term.value;
  record.assigner = assigner;
  record.address = address;
  record.lapses_in.reset();
  renew_fences(record, [&](std::size_t i) {
    if (record.unsettled && is_inherited(record, record.ranges[i].fence)) return fence_change::none;
    return record.lapsed ? fence_change::same_block : fence_change::next_block;
  });
  return record;
}

range_record carry_over(range_record record, std::uint64_t era) {
  enter_era(record, era);
  ++record.term.value;
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
