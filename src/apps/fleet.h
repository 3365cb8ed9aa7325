// What all entry instances say of themselves, gathered once.
//
//   fleet_view fleet = gather_fleet({.instance_list = "127.0.0.1:2379"}, milliseconds(1000));
//   instances_at(fleet, service, revision);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "platform/instance_list.h"

namespace plantainpaddle {

// A cell as one instance knows it; the last members only from its assigner.
struct cell_status {
  cell_id cell;
  term_number term;
  revision_number revision;
  std::string assigner;               // instance id
  std::vector<std::string> standbys;  // instance ids
  std::map<std::string, int> shards;  // by owner; "nobody" for those without
  std::optional<std::string> phase;
  std::optional<bool> has_right;
  int moves = 0;
  std::vector<std::string> suspected;  // upstreams

  bool operator==(const cell_status&) const = default;
};

struct queue_status {
  std::string service;
  std::string name;  // class or upstream
  std::int64_t waiting = 0;
  std::int64_t limit = 0;
  bool operator==(const queue_status&) const = default;
};

struct instance_status {
  std::string instance;  // "name@life"
  domain_id domain;
  std::map<service_id, revision_number> tables;  // in force
  std::vector<cell_status> cells;
  std::vector<queue_status> queues;
  std::optional<bool> store_reachable;  // only from instances that say so
  bool leaving = false;

  bool operator==(const instance_status&) const = default;
};

// Members that aren't known are passed over, so that programs and instances of neighbouring
// versions get on.
result<instance_status> parse_instance_status(std::string_view text);

struct instance_view {
  instance_info info;
  std::optional<instance_status> status;  // none: it did not answer
  std::optional<error> failure;
};

struct fleet_view {
  std::optional<error> list_failure;  // the instance list can't be read
  std::vector<instance_view> instances;
};

struct fleet_address {
  std::string instance_list;           // "IP:port"
  std::vector<std::string> operators;  // of known instances, asked if the list can't be read
};

fleet_view gather_fleet(const fleet_address& address, duration timeout);

// Of the instances that answered, how many have a table's revision or a later one in force.
std::size_t instances_at(const fleet_view& fleet, const service_id& service,
                         revision_number revision);
// How many answered.
std::size_t instances_seen(const fleet_view& fleet);

}  // namespace plantainpaddle
