// One line for each request that the load tool sent, for reports and for the checker.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace plantainpaddle {

enum class load_outcome {
  complete,  // the whole and right answer
  not_run,   // told, or known because nothing was written
  unknown,   // told, or the connection broke or stayed silent after the request was written
  wrong,     // an answer that says complete and isn't the one asked for
  refused,   // a status of 4xx that says not run
};
inline constexpr std::size_t load_outcome_count = 5;
std::string_view load_outcome_name(load_outcome outcome);

struct load_record {
  std::string id;
  std::string klass;
  std::string service;
  std::uint32_t shard = 0;
  bool once = false;
  load_outcome outcome = load_outcome::unknown;
  unsigned status = 0;    // 0: none
  std::string target;     // the last one tried
  std::string upstream;   // that answered
  std::string detail;     // why it isn't complete
  duration scheduled{0};  // monotonic clock of the host
  duration end{0};

  bool operator==(const load_record&) const = default;
};

std::string format_load_records(const std::vector<load_record>& records);
result<std::vector<load_record>> parse_load_records(std::string_view lines);

}  // namespace plantainpaddle
