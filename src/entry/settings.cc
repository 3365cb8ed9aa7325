#include "entry/settings.h"

#include <fstream>
#include <sstream>

#include "base/json.h"
#include "http/address.h"
#include "platform/contracts.h"
#include "upstream/message_parser.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_settings_bytes = 1 << 16;
constexpr std::int64_t max_threads = 64;

std::string read_address(object_reader& reader, std::string_view name) {
  std::string address = reader.text(name);
  if (const auto parsed = parse_address(address); !parsed && !address.empty()) {
    reader.fail(name, parsed.error().detail);
  }
  return address;
}

void read_listen(object_reader& reader, entry_settings& settings, error_list& errors) {
  const auto* value = reader.object("listen", true);
  if (value == nullptr) return;
  object_reader listen(*value, reader.path_of("listen"), step::settings, errors);
  settings.listen_callers = read_address(listen, "callers");
  if (settings.form == platform_form::etcd) {
    settings.listen_forward = read_address(listen, "forward");
  }
  settings.listen_operators = read_address(listen, "operators");
  settings.listen_peers = read_address(listen, "peers");
  listen.finish();
}

duration read_duration(object_reader& reader, std::string_view name, duration shortest,
                       duration longest, duration fallback) {
  const std::string text = reader.text(name, format_duration(fallback));
  const auto read = parse_duration(text);
  if (read && *read >= shortest && *read <= longest) return *read;
  reader.fail(name, "found \"" + text + "\", a time from " + format_duration(shortest) + " to " +
                        format_duration(longest) + " is wanted");
  return fallback;
}

void read_bounds(object_reader& reader, platform_bounds& bounds, error_list& errors) {
  const auto* value = reader.object("bounds", false);
  if (value == nullptr) return;
  constexpr duration hour = seconds(3600);
  constexpr std::int64_t max_count = 1 << 30;
  object_reader read(*value, reader.path_of("bounds"), step::settings, errors);
  bounds.drain = read_duration(read, "drain", milliseconds(100), hour, bounds.drain);
  bounds.apply = read_duration(read, "apply", milliseconds(100), hour, bounds.apply);
  bounds.shutdown = read_duration(read, "shutdown", milliseconds(500), hour, bounds.shutdown);
  bounds.hold_max = read_duration(read, "hold_max", milliseconds(500), hour, bounds.hold_max);
  bounds.lease_min = read_duration(read, "lease_min", milliseconds(1), hour, bounds.lease_min);
  bounds.reuse_after =
      read_duration(read, "reuse_after", duration::zero(), hour, bounds.reuse_after);
  bounds.heartbeat = read_duration(read, "heartbeat", duration::zero(), hour, bounds.heartbeat);
  bounds.retry_share = read.number("retry_share", 0, 10, bounds.retry_share);
  bounds.retry_burst = read.number("retry_burst", 0, 1e6, bounds.retry_burst);
  bounds.memory_mb =
      static_cast<std::uint32_t>(read.integer("memory_mb", 16, max_count, bounds.memory_mb));
  bounds.descriptors =
      static_cast<std::uint32_t>(read.integer("descriptors", 64, max_count, bounds.descriptors));
  bounds.cores = read.number("cores", 0.001, 1024, bounds.cores);
  const auto& members = value->as_object();
  if (members.contains("warmup_overrun")) {
    bounds.cold_overrun = read.number("warmup_overrun", 0.1, 100, 1);
  }
  bounds.cold_slack = read.number("warmup_slack", 0, 1e6, bounds.cold_slack);
  if (members.contains("evacuate")) {
    bounds.evacuation = read_duration(read, "evacuate", milliseconds(500), hour, seconds(5));
  }
  read.finish();
}

void read_clients(object_reader& reader, client_limits& clients, error_list& errors) {
  const auto* value = reader.object("clients", false);
  if (value == nullptr) return;
  constexpr std::int64_t max_progress = 1 << 20;
  constexpr std::int64_t min_fields = 16;
  constexpr std::int64_t max_pipelined = 64;
  constexpr std::int64_t max_connections = 1 << 30;
  object_reader read(*value, reader.path_of("clients"), step::settings, errors);
  const auto count = [&](std::string_view name, std::int64_t least, std::int64_t most,
                         std::uint32_t fallback) {
    return static_cast<std::uint32_t>(read.integer(name, least, most, fallback));
  };
  clients.memory_share = read.number("memory_share", 0.05, 0.9, clients.memory_share);
  clients.body_share = read.number("body_share", 0.05, 1, clients.body_share);
  clients.progress_bytes = count("progress_bytes", 1, max_progress, clients.progress_bytes);
  clients.progress_time =
      read_duration(read, "progress_time", milliseconds(100), seconds(3600), clients.progress_time);
  clients.head_fields = count("head_fields", min_fields, static_cast<std::int64_t>(max_head_fields),
                              clients.head_fields);
  clients.pipelined = count("pipelined", 1, max_pipelined, clients.pipelined);
  clients.connections = count("connections", 0, max_connections, clients.connections);
  read.finish();
}

void read_platform(object_reader& reader, entry_settings& settings, error_list& errors) {
  const auto* value = reader.object("platform", true);
  if (value == nullptr) return;
  object_reader platform(*value, reader.path_of("platform"), step::settings, errors);
  settings.store = platform.texts("store", true);
  if (settings.store.empty()) platform.fail("store", "at least one address is wanted");
  for (const auto& address : settings.store) {
    if (const auto parsed = parse_address(address); !parsed) {
      platform.fail("store", parsed.error().detail);
    }
  }
  settings.form = platform.choice("form", {"etcd", "items"}, 0) == 0 ? platform_form::etcd
                                                                     : platform_form::items;
  // With platform_form::items instances register themselves in the store, so there is no list.
  if (settings.form == platform_form::etcd)
    settings.instances = read_address(platform, "instances");
  read_bounds(platform, settings.bounds, errors);
  read_clients(platform, settings.clients, errors);
  settings.contended = has_contended_upstreams(platform.texts("contracts", false));
  platform.finish();
}

std::string read_name(object_reader& reader, std::string_view name) {
  std::string text = reader.text(name);
  if (text.empty() || text.find_first_of("/@") != std::string::npos) {
    reader.fail(name, "found \"" + text + "\", a name without '/' and '@' is wanted");
  }
  return text;
}

}  // namespace

result<entry_settings> parse_entry_settings(std::string_view text, const std::string& file) {
  const auto value = parse_json(text, step::settings, max_settings_bytes);
  if (!value) {
    error e = value.error();
    e.detail = file + ": " + e.detail;
    return e;
  }
  error_list errors;
  entry_settings settings;
  object_reader reader(*value, file + ": $", step::settings, errors);
  settings.name = read_name(reader, "name");
  settings.cluster = read_name(reader, "cluster");
  settings.region = read_name(reader, "region");
  settings.domain.value = read_name(reader, "domain");
  read_platform(reader, settings, errors);
  read_listen(reader, settings, errors);
  const bool one_thread = settings.form == platform_form::items;
  settings.threads = static_cast<std::uint32_t>(reader.integer(
      "threads", 1, one_thread ? 1 : max_threads, one_thread ? 1 : settings.threads));
  const std::string level = reader.text("log_level", "info");
  if (const auto parsed = parse_log_level(level)) {
    settings.level = *parsed;
  } else {
    reader.fail("log_level",
                "found \"" + level + "\", one of debug, info, warning, error is wanted");
  }
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return settings;
}

result<entry_settings> read_entry_settings(const std::string& file) {
  std::ifstream in(file);
  if (!in) return error{errc::not_found, step::settings, "", file + ": can't be read"};
  std::ostringstream text;
  text << in.rdbuf();
  return parse_entry_settings(text.str(), file);
}

}  // namespace plantainpaddle
