// The state of the whole system as people read it: what is wrong on top, then who does what.
#pragma once

#include <string>
#include <vector>

#include "apps/findings.h"

namespace plantainpaddle {

// One line each, and the command that mends it.
std::string show_findings(const std::vector<finding>& findings);

std::string show_status(const fleet_view& fleet, const result<table>& declared,
                        const std::vector<finding>& findings);
std::string show_status_json(const fleet_view& fleet, const result<table>& declared,
                             const std::vector<finding>& findings);

}  // namespace plantainpaddle
