// Sockets, timers and coroutines of the traffic threads: bound to one io_context, so that no
// executor is type-erased. All calls are made on the io_context's thread.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace plantainpaddle {

using io_executor = boost::asio::io_context::executor_type;

template <class T>
using task = boost::asio::awaitable<T, io_executor>;

using tcp_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, io_executor>;

using task_timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, io_executor>;

// Completion token: co_await yields a tuple that starts with the error code.
inline constexpr auto as_task = boost::asio::as_tuple(boost::asio::use_awaitable_t<io_executor>{});

enum class peer_state { quiet, has_data, gone };

// What a socket would read now, without taking it. One system call.
peer_state peek_peer(tcp_socket& socket);

// Switches to non-blocking calls and turns Nagle's algorithm off.
void prepare_socket(tcp_socket& socket);

// Bytes that the other side doesn't acknowledge for so long end the connection with timed_out.
void limit_unacknowledged(tcp_socket& socket, std::chrono::milliseconds limit);

}  // namespace plantainpaddle
