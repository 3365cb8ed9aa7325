// The heads that the router sends: an upstream's from a caller's, and a caller's from an
// upstream's. Hop-by-hop fields are left out, also those that Connection names; the router's own
// are added.
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

// Marks a request that one instance forwards to another; its value is the forwarding instance.
inline constexpr std::string_view hop_header = "Plantainpaddle-Hop";

enum class body_framing { none, length, chunked };

struct body_frame {
  body_framing kind = body_framing::none;
  std::uint64_t length = 0;  // bytes, with body_framing::length
};

// What the router adds to a request.
struct request_additions {
  std::string_view request_id;
  std::string_view forwarded;  // an element of Forwarded; empty: left as it came
  duration remaining{0};       // until the deadline
  std::optional<shard_id> shard;
  fence_number fence;
  std::string_view upstream;      // its id, where the form has a field for it
  std::string_view forwarded_by;  // this instance, if the request goes to a dispatcher
  std::string_view retried_by;    // this instance, if it sends the request again after a failure
};

// Appends the head to out.
void write_request_head(std::string& out, const message_parser<true>& request,
                        const request_additions& added, const body_frame& frame,
                        const header_names& names);

struct response_additions {
  std::string_view request_id;
  std::string_view outcome;
  bool close = false;
};

void write_response_head(std::string& out, const message_parser<false>& response,
                         const response_additions& added, const body_frame& frame,
                         const header_names& names);

// "for=192.0.2.7", with quotes and brackets for IPv6.
std::string forwarded_element(const boost::asio::ip::address& address);

// Whether the text may stand as a request id: 1 to 128 visible characters.
bool is_request_id(std::string_view text);

// Whether the field's comma-separated value has the token, compared without case.
bool has_token(std::string_view value, std::string_view token);

}  // namespace plantainpaddle
