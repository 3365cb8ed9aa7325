// Formats the state of an instance as JSON, for the operators' port and plantainpaddle-status.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/traffic_counter.h"
#include "entry/cell_runner.h"
#include "entry/state_cache.h"

namespace plantainpaddle {

// The waiting requests of one upstream at this instance.
struct queue_status {
  service_id service;
  upstream_id upstream;
  std::size_t waiting = 0;
  std::size_t limit = 0;
};

// The state of an instance without its tables and cells.
struct control_status {
  instance_id instance;
  domain_id domain;
  bool leaving = false;
  traffic_totals traffic;               // of the control thread and its connections
  duration cpu_time{0};                 // of the control and peer network threads
  std::optional<bool> store_reachable;  // empty if this instance doesn't watch the store
  std::vector<queue_status> queues;     // those with waiting requests
};

// Returns an object of this form:
// {"instance", "domain", "leaving", "control": {"cpu_us", "messages_sent", "bytes_sent",
// "messages_received", "bytes_received"}, "store_reachable", "queues": [{"service", "name",
// "waiting", "limit"}], "tables": {service: revision}, "cells": [{"cell", "term", "revision",
// "assigner", "standbys", "shards": {owner: count}, and if this instance assigns the cell: "phase",
// "has_right", "moves", "suspected"}]}
std::string format_status(const control_status& head, const state_cache& cache,
                          const std::map<cell_id, cell_runner::cell_state>& running);

}  // namespace plantainpaddle
