// Probes check an upstream over a new connection. They tell an upstream that has stopped responding
// from a single connection that is stuck.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "entry/traffic_state.h"

namespace plantainpaddle {

inline constexpr std::string_view probe_target = "/plantainpaddle/v1/probe";
inline constexpr duration probe_timeout = milliseconds(200);

// Sends a request and reports to `health` whether a response began within probe_timeout. Any status
// counts, because only the process's liveness is checked.
void start_probe(boost::asio::io_context& io, std::shared_ptr<service_health> health,
                 std::size_t upstream, const std::string& address);

inline constexpr duration connect_probe_timeout = milliseconds(250);
// Reports to `placed` whether a connection could be opened within connect_probe_timeout, which
// shows that the upstream's machine is reachable again.
void start_connect_probe(boost::asio::io_context& io, std::shared_ptr<placement> placed,
                         const upstream_id& upstream, const std::string& address);

}  // namespace plantainpaddle
