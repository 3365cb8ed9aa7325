// The state of an instance as JSON, for the operators' port and plantainpaddle-status.
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

struct status_head {
  instance_id instance;
  domain_id domain;
  bool leaving = false;
  traffic_totals traffic;               // of the control part
  duration cpu_time{0};                 // of the control part's threads
  std::optional<bool> store_reachable;  // nothing: this instance doesn't ask the store
  std::vector<queue_status> queues;     // those with a waiting request
};

// {"instance", "domain", "leaving", "control": {"cpu_us", "messages_sent", "bytes_sent",
// "messages_received", "bytes_received"}, "store_reachable", "queues": [{"service", "name",
// "waiting", "limit"}], "tables": {service: revision}, "cells": [{"cell", "term", "revision",
// "assigner", "standbys", "shards": {owner: count}, and of an assigner here: "phase", "has_right",
// "moves", "suspected"}]}
std::string format_status(const status_head& head, const state_cache& cache,
                          const std::map<cell_id, cell_runner::cell_state>& running);

}  // namespace plantainpaddle
