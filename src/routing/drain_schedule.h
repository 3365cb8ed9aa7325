// The phases in which a leaving instance drains.
#pragma once

#include <string_view>

namespace plantainpaddle {

enum class drain_phase {
  serving,         // no signal yet
  draining,        // requests are taken, their responses close the connections
  no_connections,  // callers can't connect any more
  releasing,       // requests that keep back ready responses are given up
  ending_waits,    // requests without a response get one of the instance's own
  closing,         // all connections are closed
};
std::string_view drain_phase_name(drain_phase phase);

}  // namespace plantainpaddle
