#include "table/row_json.h"

#include <bit>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::int64_t max_shards = 1 << 16;
constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr std::int64_t max_body_bytes = std::int64_t{1} << 40;
constexpr double max_rate = 1e9;

constexpr std::string_view allowed_name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

std::string read_name(object_reader& reader) {
  std::string name = reader.text("name");
  if (name.empty() || name.size() > 64 ||
      name.find_first_not_of(allowed_name_characters) != std::string::npos) {
    reader.fail("name",
                "found \"" + name + "\", expected 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

duration read_milliseconds(object_reader& reader, std::string_view name, std::int64_t min,
                           duration fallback) {
  const auto fallback_ms = std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(reader.integer(name, min, max_milliseconds, fallback_ms));
}

service_row read_service(const json::value& value, const std::string& path, error_list& errors) {
  const service_row defaults;
  service_row row;
  object_reader reader(value, path, step::table, errors);
  row.name.value = read_name(reader);
  row.keyed = reader.boolean("keyed", defaults.keyed);
  row.shards = static_cast<std::uint32_t>(reader.integer("shards", 1, max_shards, defaults.shards));
  if (!std::has_single_bit(row.shards)) {
    reader.fail("shards", "found " + std::to_string(row.shards) + ", expected a power of two");
  }
  row.checks_fence = reader.boolean("checks_fence", defaults.checks_fence);
  row.isolation = static_cast<isolation_mode>(reader.choice("isolation", {"stay", "move"}, 0));
  row.dispatch = static_cast<dispatch_mode>(reader.choice("dispatch", {"direct", "dispatcher"}, 0));
  row.grant = read_milliseconds(reader, "grant_ms", 200, defaults.grant);
  row.renew = read_milliseconds(reader, "renew_ms", 20, defaults.renew);
  row.hold = read_milliseconds(reader, "hold_ms", 0, defaults.hold);
  row.moves_per_minute = static_cast<std::uint32_t>(
      reader.integer("moves_per_minute", 0, max_shards, defaults.moves_per_minute));
  row.imbalance_weight = reader.number("imbalance_weight", 0, 1000, defaults.imbalance_weight);
  row.churn_weight = reader.number("churn_weight", 0, 1000, defaults.churn_weight);
  row.unavailable_weight =
      reader.number("unavailable_weight", 0, 1000, defaults.unavailable_weight);
  row.isolated_keys =
      static_cast<std::uint32_t>(reader.integer("isolated_keys", 0, 256, defaults.isolated_keys));
  row.cold_start = read_milliseconds(reader, "cold_start_ms", 0, defaults.cold_start);
  row.set_aside = reader.number("set_aside", 0, 1, defaults.set_aside);
  if (row.renew * 3 > row.grant) {
    reader.fail("renew_ms", "three renewals must fit into grant_ms");
  }
  reader.finish();
  return row;
}

upstream_row read_upstream(const json::value& value, const std::string& path, error_list& errors) {
  const upstream_row defaults;
  upstream_row row;
  object_reader reader(value, path, step::table, errors);
  row.name.value = read_name(reader);
  row.address = reader.text("address");
  if (row.address.rfind(':') == std::string::npos) {
    reader.fail("address", "found \"" + row.address + "\", expected \"IP:port\"");
  }
  row.domain.value = reader.text("domain");
  row.weight = reader.number("weight", 0, 1000, defaults.weight);
  row.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 10000, defaults.slots));
  row.connections =
      static_cast<std::uint32_t>(reader.integer("connections", 1, 100000, defaults.connections));
  row.state = static_cast<upstream_state>(reader.choice("state", {"active", "drain"}, 0));
  reader.finish();
  return row;
}

route_row read_route(const json::value& value, const std::string& path, error_list& errors) {
  const route_row defaults;
  route_row row;
  object_reader reader(value, path, step::table, errors);
  row.name = read_name(reader);
  row.host = reader.text("host", "");
  row.path_prefix = reader.text("path_prefix");
  if (!row.path_prefix.starts_with('/')) {
    reader.fail("path_prefix",
                "found \"" + row.path_prefix + "\", expected a path that starts with '/'");
  }
  row.key_from = static_cast<key_source>(
      reader.choice("key_from", {"none", "path_segment", "header", "query"}, 0));
  row.key_name = reader.text("key_name", "");
  const bool segment = row.key_from == key_source::path_segment;
  if (row.key_from != key_source::none && row.key_name.empty()) reader.fail("key_name", "missing");
  if (segment && row.key_name.find_first_not_of("0123456789") != std::string::npos) {
    reader.fail("key_name",
                "found \"" + row.key_name + "\", expected the number of a path segment");
  }
  row.klass =
      static_cast<request_class>(reader.choice("class", {"counter", "order", "upload", "bulk"}, 0));
  row.idempotent = reader.boolean("idempotent", defaults.idempotent);
  row.once = reader.boolean("once", defaults.once);
  if (row.once && row.idempotent) reader.fail("once", "a route can't be both once and idempotent");
  row.timeout = read_milliseconds(reader, "timeout_ms", 1, defaults.timeout);
  row.body_limit = static_cast<std::uint64_t>(reader.integer(
      "body_limit", 0, max_body_bytes, static_cast<std::int64_t>(defaults.body_limit)));
  reader.finish();
  return row;
}

limit_row read_limit(const json::value& value, const std::string& path, error_list& errors) {
  const limit_row defaults;
  limit_row row;
  object_reader reader(value, path, step::table, errors);
  row.name = read_name(reader);
  row.tenant.value = reader.text("tenant", "*");
  const std::size_t klass = reader.choice("class", {"*", "counter", "order", "upload", "bulk"}, 0);
  row.klass = klass == 0 ? "*" : std::string(class_name(static_cast<request_class>(klass - 1)));
  row.rate = reader.number("rate", 0, max_rate, defaults.rate);
  row.burst = reader.number("burst", 1, max_rate, defaults.burst);
  reader.finish();
  return row;
}

std::int64_t to_ms(duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); }

json::object to_json(const service_row& row) {
  return {{"name", row.name.value},
          {"keyed", row.keyed},
          {"shards", row.shards},
          {"checks_fence", row.checks_fence},
          {"isolation", row.isolation == isolation_mode::stay ? "stay" : "move"},
          {"dispatch", row.dispatch == dispatch_mode::direct ? "direct" : "dispatcher"},
          {"grant_ms", to_ms(row.grant)},
          {"renew_ms", to_ms(row.renew)},
          {"hold_ms", to_ms(row.hold)},
          {"moves_per_minute", row.moves_per_minute},
          {"imbalance_weight", row.imbalance_weight},
          {"churn_weight", row.churn_weight},
          {"unavailable_weight", row.unavailable_weight},
          {"isolated_keys", row.isolated_keys},
          {"cold_start_ms", to_ms(row.cold_start)},
          {"set_aside", row.set_aside}};
}

json::object to_json(const upstream_row& row) {
  return {{"name", row.name.value},
          {"address", row.address},
          {"domain", row.domain.value},
          {"weight", row.weight},
          {"slots", row.slots},
          {"connections", row.connections},
          {"state", row.state == upstream_state::active ? "active" : "drain"}};
}

std::string_view source_name(key_source source) {
  constexpr std::string_view names[] = {"none", "path_segment", "header", "query"};
  return names[static_cast<std::size_t>(source)];
}

json::object to_json(const route_row& row) {
  return {{"name", row.name},
          {"host", row.host},
          {"path_prefix", row.path_prefix},
          {"key_from", source_name(row.key_from)},
          {"key_name", row.key_name},
          {"class", class_name(row.klass)},
          {"idempotent", row.idempotent},
          {"once", row.once},
          {"timeout_ms", to_ms(row.timeout)},
          {"body_limit", row.body_limit}};
}

json::object to_json(const limit_row& row) {
  return {{"name", row.name},
          {"tenant", row.tenant.value},
          {"class", row.klass},
          {"rate", row.rate},
          {"burst", row.burst}};
}

}  // namespace

std::string_view class_name(request_class c) noexcept {
  constexpr std::string_view names[] = {"counter", "order", "upload", "bulk"};
  return names[static_cast<std::size_t>(c)];
}

std::string_view kind_name(row_kind kind) noexcept {
  constexpr std::string_view names[] = {"service", "upstream", "route", "limit"};
  return names[static_cast<std::size_t>(kind)];
}

std::optional<row_kind> parse_kind(std::string_view name) noexcept {
  for (const row_kind kind : all_row_kinds) {
    if (kind_name(kind) == name) return kind;
  }
  return std::nullopt;
}

json::object row_to_json(const row_value& row) {
  return std::visit([](const auto& r) { return to_json(r); }, row);
}

std::string row_to_text(const row_value& row) {
  std::string text = "{";
  for (const auto& column : row_to_json(row)) {
    const auto& value = column.value();
    text += (text.size() > 1 ? ", " : "") + json::serialize(json::string(column.key())) + ": " +
            (value.is_double() ? number_text(value.as_double()) : json::serialize(value));
  }
  return text + "}";
}

row_value read_row(row_kind kind, const json::value& value, const std::string& path,
                   error_list& errors) {
  switch (kind) {
    case row_kind::service:
      return read_service(value, path, errors);
    case row_kind::upstream:
      return read_upstream(value, path, errors);
    case row_kind::route:
      return read_route(value, path, errors);
    case row_kind::limit:
      break;
  }
  return read_limit(value, path, errors);
}

}  // namespace plantainpaddle
