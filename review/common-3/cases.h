// The cases by name.
#pragma once

#include <map>
#include <string>

#include "world.h"

namespace lab {

int late_for_leaving_server(setting& world);
int first_era_is_zero(setting& world);
int answer_behind_slow_one(setting& world);
int two_holders_after_drill(setting& world);
int hot_key_stays_refused(setting& world);

inline std::map<std::string, int (*)(setting&)> cases() {
  return {{"leaving", late_for_leaving_server},
          {"era", first_era_is_zero},
          {"behind", answer_behind_slow_one},
          {"drill", two_holders_after_drill},
          {"starved", hot_key_stays_refused}};
}

}  // namespace lab
