// Asks an upstream for any answer on a fresh connection, before it is judged by one that is silent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "entry/traffic_state.h"

namespace plantainpaddle {

inline constexpr std::string_view probe_target = "/plantainpaddle/v1/probe";
inline constexpr duration probe_time = milliseconds(200);

// Tells `health` whether an answer came within probe_time. Any status will do: that the process
// answers is what is asked.
void start_probe(boost::asio::io_context& io, std::shared_ptr<service_health> health,
                 std::size_t upstream, const std::string& address);

// Tells `placed` whether a connection could be opened within connect_probe_time: enough to know
// that the upstream's machine is in reach again.
inline constexpr duration connect_probe_time = milliseconds(250);
void start_connect_probe(boost::asio::io_context& io, std::shared_ptr<placement> placed,
                         const upstream_id& upstream, const std::string& address);

}  // namespace plantainpaddle
