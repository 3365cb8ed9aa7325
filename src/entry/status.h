// The state of an instance as JSON, for the operators' port and plantainpaddle-status.
#pragma once

#include <map>
#include <string>

#include "entry/cell_runner.h"
#include "entry/state_cache.h"

namespace plantainpaddle {

struct status_head {
  instance_id instance;
  domain_id domain;
  bool leaving = false;
};

// {"instance", "domain", "leaving", "tables": {service: revision}, "cells": [{"cell", "term",
// "revision", "assigner", "standbys", "shards": {owner: count}, and of an assigner here: "phase",
// "has_right", "moves", "suspected"}]}
std::string format_status(const status_head& head, const state_cache& cache,
                          const std::map<cell_id, cell_runner::cell_state>& running);

}  // namespace plantainpaddle
