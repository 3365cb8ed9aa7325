// An upstream that counts its requests and answers each with `name` once it is let go.
//
//   counted_upstream busy("busy", true);
//   shared_fixture shared({busy.upstream.address()});
//   busy.free = true;
#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

struct counted_upstream {
  explicit counted_upstream(std::string name, bool holds = false)
      : free(!holds), upstream([this, name](scripted_connection& side) {
          for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
            ++arrivals;
            while (!free) std::this_thread::sleep_for(milliseconds(2));
            side.answer(name, echo_id(head));
          }
        }) {}

  std::atomic<int> arrivals{0};
  std::atomic<bool> free;
  scripted_upstream upstream;
};

}  // namespace plantainpaddle::testing
