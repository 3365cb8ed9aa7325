// Writes the heads that the router forwards: requests to upstreams and responses to callers.
// Hop-by-hop fields and the fields that Connection names are left out; the router's fields are
// added.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "routing/snapshot.h"
#include "upstream/header_names.h"
#include "upstream/message_parser.h"

namespace plantainpaddle {

// Marks a request that one instance forwards to another; its value names the forwarding instance.
inline constexpr std::string_view hop_header = "Plantainpaddle-Hop";

enum class body_framing { none, length, chunked };

struct body_frame {
  body_framing kind = body_framing::none;
  std::uint64_t length = 0;  // bytes; only with body_framing::length
};

// Values of the fields that the router adds to a request. An empty one adds no field.
struct request_additions {
  std::string_view request_id;
  std::string_view forwarded;  // element of Forwarded; empty: the field passes unchanged
  duration remaining{0};       // until the deadline; sent in milliseconds, at least 1
  std::optional<shard_id> shard;
  fence_number fence;
  std::string_view upstream;      // its id; sent if header_names has a field for it
  std::string_view forwarded_by;  // this instance, if a dispatcher is the target
  std::string_view retried_by;    // this instance, if it retries the request
};

// Appends the request's head to `out`.
void write_request_head(std::string& out, const message_parser<true>& request,
                        const request_additions& added, const body_frame& frame,
                        const header_names& names);

// Values of the fields that the router adds to a response.
struct response_additions {
  std::string_view request_id;
  std::string_view outcome;
  bool close = false;
};

// Appends the response's head to `out`.
void write_response_head(std::string& out, const message_parser<false>& response,
                         const response_additions& added, const body_frame& frame,
                         const header_names& names);

// Formats an address as an element of Forwarded: for=192.0.2.7, or for="[2001:db8::7]".
std::string forwarded_element(const boost::asio::ip::address& address);

// Whether the text is a valid request id: 1 to 128 visible ASCII characters.
bool is_request_id(std::string_view text);

// Whether the comma-separated list has the token; compares without regard to case.
bool has_token(std::string_view value, std::string_view token);

}  // namespace plantainpaddle
