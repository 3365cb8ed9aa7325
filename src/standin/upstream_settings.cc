#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"
#include "standin/upstream.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_settings_bytes = 64 << 10;
constexpr std::int64_t most = 1 << 30;

void read_misleading(object_reader& reader, upstream_options& options, error_list& errors) {
  const auto* value = reader.object("misleading", false);
  if (value == nullptr) return;
  object_reader in(*value, reader.path_of("misleading"), step::settings, errors);
  load_report report;
  report.busy_slots = static_cast<std::uint32_t>(in.integer("busy_slots", 0, most, 0));
  report.queued = static_cast<std::uint32_t>(in.integer("queued", 0, most, 0));
  report.draining = in.boolean("draining", false);
  report.shedding = in.boolean("shedding", false);
  report.cold = in.number("cold", 0, 1, 0.0);
  in.finish();
  options.misleading = report;
}

void read_class_busy(object_reader& reader, upstream_options& options, error_list& errors) {
  const auto* value = reader.object("class_busy_us", false);
  if (value == nullptr || !value->is_object()) return;
  object_reader in(*value, reader.path_of("class_busy_us"), step::settings, errors);
  for (const auto& member : value->as_object()) {
    options.class_busy[std::string(member.key())] = duration(in.integer(member.key(), 0, most));
  }
}

}  // namespace

std::optional<error> apply_settings(upstream_options& options, std::string_view text) {
  const auto value = parse_json(text, step::settings, max_settings_bytes);
  if (!value) return value.error();
  error_list errors;
  upstream_options changed = options;
  object_reader reader(*value, "$", step::settings, errors);
  const auto count = [&](std::string_view name, std::size_t now) {
    return static_cast<std::size_t>(reader.integer(name, 0, most, static_cast<std::int64_t>(now)));
  };
  changed.slots = count("slots", options.slots);
  changed.queue = count("queue", options.queue);
  changed.connections = count("connections", options.connections);
  changed.open_delay = duration(reader.integer("open_us", 0, most, options.open_delay.count()));
  changed.busy = duration(reader.integer("busy_us", 0, most, options.busy.count()));
  read_class_busy(reader, changed, errors);
  changed.heartbeat = duration(reader.integer("heartbeat_us", 1, most, options.heartbeat.count()));
  changed.registers = reader.boolean("registers", options.registers);
  changed.slowness = reader.number("slowness", 0, 1e6, options.slowness);
  changed.late_orders = reader.number("late_orders", 0, 1, options.late_orders);
  changed.late = duration(reader.integer("late_us", 0, most, options.late.count()));
  changed.copy_answers = reader.number("copy_answers", 0, 1, options.copy_answers);
  changed.copy_refusals = reader.number("copy_refusals", 0, 1, options.copy_refusals);
  changed.check_fence = reader.boolean("check_fence", options.check_fence);
  changed.drain = reader.boolean("drain", options.drain);
  changed.shed = reader.boolean("shed", options.shed);
  changed.limit = reader.number("limit", 0, 1e6, options.limit);
  changed.leaving = reader.boolean("leaving", options.leaving);
  changed.pause_s = reader.number("pause_s", 0, 1e6, options.pause_s);
  read_misleading(reader, changed, errors);
  if (reader.boolean("truthful", false)) changed.misleading.reset();
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  options = std::move(changed);
  return std::nullopt;
}

std::string format_settings(const upstream_options& options) {
  json::object class_busy;
  for (const auto& [name, busy] : options.class_busy) class_busy[name] = busy.count();
  return json::serialize(json::object{{"slots", options.slots},
                                      {"queue", options.queue},
                                      {"connections", options.connections},
                                      {"open_us", options.open_delay.count()},
                                      {"busy_us", options.busy.count()},
                                      {"class_busy_us", std::move(class_busy)},
                                      {"heartbeat_us", options.heartbeat.count()},
                                      {"registers", options.registers},
                                      {"slowness", options.slowness},
                                      {"check_fence", options.check_fence},
                                      {"copy_answers", options.copy_answers},
                                      {"copy_refusals", options.copy_refusals},
                                      {"drain", options.drain},
                                      {"shed", options.shed},
                                      {"limit", options.limit},
                                      {"leaving", options.leaving},
                                      {"pause_s", options.pause_s}});
}

}  // namespace plantainpaddle
