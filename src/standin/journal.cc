#include "standin/journal.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <map>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_line_bytes = 64 << 10;
constexpr std::string_view end_names[] = {"complete", "cancelled", "stopped"};

std::string start_line(const run_record& run, std::uint64_t number) {
  return json::serialize(json::object{{"event", "start"},
                                      {"run", number},
                                      {"upstream", run.upstream},
                                      {"id", run.id},
                                      {"service", run.service},
                                      {"shard", run.shard},
                                      {"fence", run.fence},
                                      {"fenced", run.fenced},
                                      {"arrived", run.arrived.count()},
                                      {"t", run.start.count()}}) +
         "\n";
}

std::string end_line(const run_record& run, std::uint64_t number) {
  return json::serialize(json::object{{"event", "end"},
                                      {"run", number},
                                      {"how", end_names[static_cast<std::size_t>(run.how)]},
                                      {"t", run.end.value_or(duration{0}).count()}}) +
         "\n";
}

duration read_time(object_reader& reader, std::string_view name = "t") {
  return duration(reader.integer(name, 0, std::numeric_limits<std::int64_t>::max()));
}

// Runs of one life of a process by number; a file may hold several lives.
struct journal_reader {
  std::vector<run_record> runs;
  std::map<std::uint64_t, std::size_t> places;

  std::optional<error> read(std::string_view line) {
    const auto value = parse_json(line, step::read_answer, max_line_bytes);
    if (!value) return value.error();
    error_list errors;
    object_reader reader(*value, "$", step::read_answer, errors);
    const std::size_t event = reader.choice("event", {"open", "start", "end", "grant", "release"});
    if (event == 0) places.clear();
    if (event != 1 && event != 2) return std::nullopt;
    const std::uint64_t number = reader.unsigned_integer("run");
    if (event == 1) {
      run_record run;
      run.upstream = reader.text("upstream");
      run.id = reader.text("id");
      run.service = reader.text("service");
      run.shard = static_cast<std::uint32_t>(reader.unsigned_integer("shard"));
      run.fence = reader.unsigned_integer("fence");
      run.fenced = reader.boolean("fenced");
      run.arrived = read_time(reader, "arrived");
      run.start = read_time(reader);
      places[number] = runs.size();
      runs.push_back(std::move(run));
    } else if (const auto place = places.find(number); place != places.end()) {
      run_record& run = runs[place->second];
      run.how =
          static_cast<run_end>(reader.choice("how", {end_names[0], end_names[1], end_names[2]}));
      run.end = read_time(reader);
    } else {
      reader.fail("run", "no such run has started");
    }
    if (!errors.empty()) return join_errors(errors);
    return std::nullopt;
  }
};

// The holds of one journal's processes, one after the other.
struct hold_reader {
  std::vector<hold_record> holds;

  // Splits holds of which only a part is released.
  void release(std::uint32_t first, std::uint32_t last, duration at) {
    std::vector<hold_record> rests;
    for (auto& hold : holds) {
      if (hold.until <= at || hold.last < first || hold.first > last) continue;
      if (hold.first < first) {
        rests.push_back(hold);
        rests.back().last = first - 1;
      }
      if (hold.last > last) {
        rests.push_back(hold);
        rests.back().first = last + 1;
      }
      hold.first = std::max(hold.first, first);
      hold.last = std::min(hold.last, last);
      hold.until = at;
    }
    holds.insert(holds.end(), rests.begin(), rests.end());
  }

  std::optional<error> read(std::string_view line) {
    const auto value = parse_json(line, step::read_answer, max_line_bytes);
    if (!value) return value.error();
    error_list errors;
    object_reader reader(*value, "$", step::read_answer, errors);
    const std::size_t event = reader.choice("event", {"open", "start", "end", "grant", "release"});
    const auto key = [&](std::string_view name) {
      return static_cast<std::uint32_t>(reader.unsigned_integer(name));
    };
    constexpr std::uint32_t last_key = std::numeric_limits<std::uint32_t>::max();
    if (event == 0) release(0, last_key, read_time(reader));
    if (event == 3) {
      hold_record hold;
      hold.upstream = reader.text("upstream");
      hold.service = reader.text("service");
      hold.first = key("first");
      hold.last = key("last");
      hold.fence = reader.unsigned_integer("fence");
      hold.from = read_time(reader);
      hold.until = duration(reader.integer("until", 0, std::numeric_limits<std::int64_t>::max()));
      holds.push_back(std::move(hold));
    }
    if (event == 4) {
      const auto first = key("first");
      const auto last = key("last");
      release(first, last, read_time(reader));
    }
    if (!errors.empty()) return join_errors(errors);
    return std::nullopt;
  }
};

// Calls read() of the reader for each whole line.
template <class Reader>
std::optional<error> read_lines(Reader& reader, std::string_view lines) {
  while (!lines.empty()) {
    const auto end = lines.find('\n');
    if (end == std::string_view::npos) break;  // cut off
    if (auto bad = reader.read(lines.substr(0, end))) return bad;
    lines.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

journal::journal(std::string upstream, const std::string& file) : upstream_(std::move(upstream)) {
  if (!file.empty()) file_.open(file, std::ios::app);
  write(json::serialize(json::object{{"event", "open"},
                                     {"upstream", upstream_},
                                     {"t", monotonic_now().time_since_epoch().count()}}) +
        "\n");
}

void journal::write(const std::string& line) {
  if (!file_.is_open()) return;
  file_ << line << std::flush;
}

std::uint64_t journal::start(run_record run, monotonic_time now) {
  run.upstream = upstream_;
  run.start = now.time_since_epoch();
  if (runs_.size() >= max_runs) {
    runs_.pop_front();
    ++first_;
  }
  const std::uint64_t number = first_ + runs_.size();
  write(start_line(run, number));
  runs_.push_back(std::move(run));
  return number;
}

void journal::end(std::uint64_t run, run_end how, monotonic_time now) {
  if (run < first_) return;
  run_record& record = runs_[run - first_];
  record.end = now.time_since_epoch();
  record.how = how;
  write(end_line(record, run));
}

void journal::note_grant(const hold_record& granted) {
  write(json::serialize(json::object{{"event", "grant"},
                                     {"upstream", upstream_},
                                     {"service", granted.service},
                                     {"first", granted.first},
                                     {"last", granted.last},
                                     {"fence", granted.fence},
                                     {"t", granted.from.count()},
                                     {"until", granted.until.count()}}) +
        "\n");
}

void journal::note_release(std::uint32_t first, std::uint32_t last, monotonic_time now) {
  write(json::serialize(json::object{{"event", "release"},
                                     {"first", first},
                                     {"last", last},
                                     {"t", now.time_since_epoch().count()}}) +
        "\n");
}

std::string journal::lines() const {
  std::string out;
  for (std::size_t i = 0; i < runs_.size(); ++i) {
    out += start_line(runs_[i], first_ + i);
    if (runs_[i].end) out += end_line(runs_[i], first_ + i);
  }
  return out;
}

result<std::vector<run_record>> parse_journal(std::string_view lines) {
  journal_reader reader;
  if (auto bad = read_lines(reader, lines)) return *bad;
  return std::move(reader.runs);
}

result<std::vector<hold_record>> parse_holds(std::string_view lines) {
  hold_reader reader;
  if (auto bad = read_lines(reader, lines)) return *bad;
  return std::move(reader.holds);
}

}  // namespace plantainpaddle
