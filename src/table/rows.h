// The table that operators edit: services with their upstreams, routes and limits. The store has
// one value per service.
//
//   result<service_table> read = parse_service_table(text);
//
// Rows are plain values. docs/TABLE.md lists every column with its unit, default and bounds;
// row_json.cc enforces them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

// Where a cell's assigner and standbys run: preferably in the cell's failure domain (stay), or only
// outside of it (move).
enum class isolation_mode { stay, move };

// Whether entry instances send requests to an upstream directly or through its dispatcher.
enum class dispatch_mode { direct, dispatcher };

// Priority classes of requests, most urgent first.
enum class request_class { counter, order, upload, bulk };
inline constexpr std::size_t request_class_count = 4;
std::string_view class_name(request_class c) noexcept;

struct service_row {
  service_id name;
  bool keyed = true;           // keys are divided into shards; otherwise any upstream may serve
  std::uint32_t shards = 256;  // a power of two, fixed once the service exists
  bool checks_fence = true;    // upstreams refuse requests whose fencing token isn't their grant's
  isolation_mode isolation = isolation_mode::stay;
  dispatch_mode dispatch = dispatch_mode::direct;
  duration grant = milliseconds(1000);  // length of an upstream's lease on its shards
  duration renew = milliseconds(250);   // interval of lease renewals
  duration hold{0};                     // how long to wait for lost standbys; 0: without limit
  std::uint32_t moves_per_minute = 60;  // most shard moves for balance, per cell
  double imbalance_weight = 1;          // planner's cost per unit of max/mean load - 1
  double churn_weight = 1;              // planner's cost per share of shards moved
  double unavailable_weight = 1;        // planner's cost per second that a moved shard waits
  std::uint32_t isolated_keys = 16;     // most hot keys that get a shard of their own
  duration cold_start{0};               // a new upstream's load is raised in steps over this time
  double set_aside = 0.34;              // largest share of upstreams set aside as suspected

  bool operator==(const service_row&) const = default;
};

enum class upstream_state { active, drain };

struct upstream_row {
  upstream_id name;
  std::string address;  // "IP:port"
  domain_id domain;
  double weight = 1;
  std::uint32_t slots = 6;          // requests that run at once
  std::uint32_t connections = 120;  // most from one entry instance
  upstream_state state = upstream_state::active;

  bool operator==(const upstream_row&) const = default;
};

// Which part of a request holds its key.
enum class key_source { none, path_segment, header, query };

struct route_row {
  std::string name;
  std::string host;         // empty: any host
  std::string path_prefix;  // whole segments: "/stock" matches "/stock" and "/stock/7"
  key_source key_from = key_source::none;
  std::string key_name;  // header or query name, or the segment's number counted from 0
  request_class klass = request_class::counter;
  // Whether methods other than GET, HEAD, PUT and DELETE may be repeated too.
  bool idempotent = false;
  bool once = false;  // whether no method of this route may be repeated
  duration timeout = milliseconds(2000);
  std::uint64_t body_limit = 1 << 20;  // bytes

  bool operator==(const route_row&) const = default;
};

struct limit_row {
  std::string name;
  tenant_id tenant;         // "*": each tenant by itself
  std::string klass = "*";  // a class name, or "*" for all classes together
  double rate = 100;        // requests per second over all instances
  double burst = 50;        // requests

  bool operator==(const limit_row&) const = default;
};

enum class row_kind { service, upstream, route, limit };
inline constexpr row_kind all_row_kinds[] = {row_kind::service, row_kind::upstream, row_kind::route,
                                             row_kind::limit};

using row_value = std::variant<service_row, upstream_row, route_row, limit_row>;
template <class Row>
inline constexpr row_kind kind_of = row_kind::service;
template <>
inline constexpr row_kind kind_of<upstream_row> = row_kind::upstream;
template <>
inline constexpr row_kind kind_of<route_row> = row_kind::route;
template <>
inline constexpr row_kind kind_of<limit_row> = row_kind::limit;

// A row within one service's table, written "upstream/desk-1".
struct row_id {
  row_kind kind = row_kind::service;
  std::string name;
  auto operator<=>(const row_id&) const = default;
};

std::string to_string(const row_id& id);
// Parses "kind/name"; none if the kind is unknown or the name is empty.
std::optional<row_id> parse_row_id(std::string_view text);

const std::string& row_name(const row_value& row);
row_id id_of(const row_value& row);

// What a change did to one row; enough to undo it.
struct row_change {
  row_id row;
  std::optional<row_value> before;  // none: the change added the row
  bool operator==(const row_change&) const = default;
};

// An entry of a table's history: who changed which rows, and when.
struct change_note {
  revision_number revision;
  std::string author;
  duration at{0};  // since 1970-01-01 UTC, shown to people only
  std::string summary;
  std::uint64_t mark = 0;  // identifies the write to its writer; 0: none
  std::vector<row_change> rows;

  bool operator==(const change_note&) const = default;
};

// Everything declared for one service; one value in the store.
struct service_table {
  revision_number revision;
  service_row service;
  std::vector<upstream_row> upstreams;
  std::vector<route_row> routes;
  std::vector<limit_row> limits;
  std::vector<change_note> history;  // the latest changes, newest last

  bool operator==(const service_table&) const = default;
};

// The tables of all services.
using table = std::map<service_id, service_table>;

}  // namespace plantainpaddle
