// Messages of other instances about their observations: any bytes are refused or read, and what was
// read can be formatted and read again, with ages that don't shrink.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "entry/observation_messages.h"

using namespace plantainpaddle;

namespace {

void check(const std::vector<shared_observation>& read,
           const std::vector<shared_observation>& again) {
  if (read.size() != again.size()) std::abort();
  for (std::size_t i = 0; i < read.size(); ++i) {
    if (read[i].key != again[i].key || read[i].seen.load != again[i].seen.load) std::abort();
    if (again[i].seen.age < read[i].seen.age) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto request = parse_observation_request(text)) {
    const auto again = parse_observation_request(format_observation_request(*request));
    if (!again || again->answer != request->answer) std::abort();
    check(request->observations, again->observations);
  }
  if (const auto answer = parse_observation_answer(text)) {
    const auto again = parse_observation_answer(format_observation_answer(*answer));
    if (!again || again->position != answer->position) std::abort();
    check(answer->observations, again->observations);
  }
  return 0;
}
