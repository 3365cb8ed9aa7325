#include "load/plan.h"

#include <boost/json/array.hpp>

#include "base/json.h"
#include "http/address.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_plan_bytes = 1 << 20;
constexpr std::int64_t max_milliseconds = 86'400'000;
constexpr std::int64_t max_count = std::int64_t{1} << 40;
constexpr std::int64_t max_keys = 10'000'000;  // a table of one number for each
constexpr double max_rate = 1e6;

duration read_ms(object_reader& reader, std::string_view name, duration fallback) {
  const auto fallback_ms = std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(reader.integer(name, 0, max_milliseconds, fallback_ms));
}

std::uint64_t read_count(object_reader& reader, std::string_view name, std::int64_t least,
                         std::int64_t most, std::uint64_t fallback) {
  return static_cast<std::uint64_t>(
      reader.integer(name, least, most, static_cast<std::int64_t>(fallback)));
}

load_class read_class(const boost::json::value& value, const std::string& path,
                      error_list& errors) {
  const load_class defaults;
  load_class read;
  object_reader reader(value, path, step::settings, errors);
  read.name = reader.text("name");
  read.service = reader.text("service", read.name);
  read.shards = static_cast<std::uint32_t>(read_count(reader, "shards", 1, 1 << 16, 1));
  read.rate = reader.number("rate", 0.001, max_rate, defaults.rate);
  read.from = read_ms(reader, "from_ms", defaults.from);
  read.to = read_ms(reader, "to_ms", defaults.to);
  read.method = reader.text("method", defaults.method);
  read.path = reader.text("path");
  read.host = reader.text("host", "");
  read.key_header = reader.text("key_header", "");
  read.once = reader.boolean("once", false);
  read.keys = read_count(reader, "keys", 1, max_keys, defaults.keys);
  read.zipf = reader.number("zipf", 0, 10, defaults.zipf);
  read.hot_keys = read_count(reader, "hot_keys", 0, max_keys, 0);
  read.hot_share = reader.number("hot_share", 0, 1, 0.0);
  read.hot_move = read_ms(reader, "hot_move_ms", defaults.hot_move);
  read.tenants = read_count(reader, "tenants", 1, max_count, 1);
  read.upload_bytes = read_count(reader, "upload_bytes", 0, max_count, 0);
  read.answer_bytes = read_count(reader, "answer_bytes", 0, max_count, 0);
  read.slow_bytes_per_second = read_count(reader, "slow_bytes_per_second", 0, max_count, 0);
  read.busy = duration(reader.integer("busy_us", 0, 3'600'000'000, 0));
  read.deadline = read_ms(reader, "deadline_ms", defaults.deadline);
  reader.finish();
  return read;
}

}  // namespace

result<load_plan> parse_load_plan(std::string_view text, const std::string& file) {
  const auto value = parse_json(text, step::settings, max_plan_bytes);
  if (!value) {
    error e = value.error();
    e.detail = file + ": " + e.detail;
    return e;
  }
  error_list errors;
  load_plan plan;
  object_reader reader(*value, file + ": $", step::settings, errors);
  plan.form = static_cast<load_form>(reader.choice("form", {"own", "platform"}, 0));
  plan.targets = reader.texts("targets", true);
  if (plan.targets.empty()) reader.fail("targets", "at least one address is wanted");
  for (const auto& target : plan.targets) {
    if (const auto parsed = parse_address(target); !parsed) {
      reader.fail("targets", parsed.error().detail);
    }
  }
  plan.readiness = reader.texts("readiness", false);
  if (!plan.readiness.empty() && plan.readiness.size() != plan.targets.size()) {
    reader.fail("readiness", "one address for each target is wanted");
  }
  plan.length = read_ms(reader, "length_ms", plan.length);
  plan.seed = reader.unsigned_integer("seed", plan.seed);
  plan.threads = static_cast<std::uint32_t>(reader.integer("threads", 1, 64, plan.threads));
  plan.outstanding = read_count(reader, "outstanding", 1, 1'000'000, plan.outstanding);
  if (const auto* items = reader.array("classes", true)) {
    for (std::size_t i = 0; i < items->size(); ++i) {
      const std::string path = reader.path_of("classes") + "[" + std::to_string(i) + "]";
      plan.classes.push_back(read_class((*items)[i], path, errors));
    }
  }
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return plan;
}

}  // namespace plantainpaddle
