// One request over one connection: streams the body, checks every byte of the answer.
//
//   exchange_answer answer = co_await run_exchange(connection, spec);
//
// Bodies pass through a buffer of fixed size.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string>

#include "base/time.h"
#include "load/record.h"
#include "upstream/header_names.h"

namespace plantainpaddle {

struct load_connection {
  explicit load_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

struct exchange_spec {
  header_names names = own_header_names;
  std::string method;
  std::string target;
  std::string host;
  std::string id;
  std::string key_header;
  std::string key;
  std::string tenant;
  std::string klass;
  std::uint64_t upload_bytes = 0;
  std::uint64_t answer_bytes = 0;
  std::uint64_t slow_bytes_per_second = 0;
  duration busy{0};
  duration deadline{0};  // told to the router, which ends it
  duration give_up{0};   // the caller's own limit for the whole
};

struct exchange_answer {
  load_outcome outcome = load_outcome::unknown;
  unsigned status = 0;
  std::string upstream;
  std::string detail;
  bool reusable = false;  // the connection may carry another request
};

struct sent_request {
  boost::beast::error_code code;
  std::uint64_t checksum = 0;  // of the body
};

boost::asio::awaitable<exchange_answer> run_exchange(load_connection& connection,
                                                     const exchange_spec& spec);

// The two halves of run_exchange(), for a caller that sends further requests in between.
boost::asio::awaitable<sent_request> send_request(load_connection& connection,
                                                  const exchange_spec& spec);
boost::asio::awaitable<exchange_answer> read_answer(load_connection& connection,
                                                    const exchange_spec& spec,
                                                    const sent_request& sent);

// True if the other side neither closed the idle connection nor sent anything on it.
bool is_quiet(load_connection& connection);

}  // namespace plantainpaddle
