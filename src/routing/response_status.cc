#include "routing/response_status.h"

#include <algorithm>
#include <array>

namespace plantainpaddle {

namespace {

// A status that promises, and the one with the closest meaning that doesn't.
struct promise {
  unsigned status;
  unsigned without;
};

constexpr std::array<promise, 4> promises{{{408, 504}, {421, 502}, {429, 502}, {503, 502}}};

const promise* find_promise(unsigned status) {
  const auto* const place = std::find_if(promises.begin(), promises.end(),
                                         [&](const promise& p) { return p.status == status; });
  return place == promises.end() ? nullptr : place;
}

}  // namespace

bool promises_not_run(unsigned status) noexcept { return find_promise(status) != nullptr; }

response_terms choose_terms(unsigned wanted, run_state known) noexcept {
  if (known == run_state::not_run) return {wanted, true};
  const auto* const promised = find_promise(wanted);
  return {promised == nullptr ? wanted : promised->without, false};
}

}  // namespace plantainpaddle
