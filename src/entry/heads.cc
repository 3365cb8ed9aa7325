#include "entry/heads.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "routing/retry.h"

namespace plantainpaddle {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr std::string_view router_prefix = "plantainpaddle-";

void append_number(std::string& out, std::uint64_t number) {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  out.append(digits.data(), end);
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void append_field(std::string& out, std::string_view name, std::uint64_t value) {
  out.append(name).append(": ");
  append_number(out, value);
  out.append("\r\n");
}

void append_frame(std::string& out, const body_frame& frame) {
  if (frame.kind == body_framing::length) append_field(out, "Content-Length", frame.length);
  if (frame.kind == body_framing::chunked) out += "Transfer-Encoding: chunked\r\n";
}

bool is_hop_by_hop(http::field id) {
  switch (id) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

// Fields that Connection can't remove, because the framing or the routing depends on them.
bool is_protected(http::field id) {
  return id == http::field::host || id == http::field::content_length ||
         id == http::field::content_type;
}

template <class Parser>
bool named_by_connection(const Parser& message, const head_field& field,
                         std::string_view connection) {
  if (connection.empty() || is_protected(field.id)) return false;
  return std::any_of(message.fields().begin(), message.fields().end(), [&](const auto& other) {
    return other.id == http::field::connection && has_token(other.value, field.name);
  });
}

// Whether the router writes this request field itself, or removes it because of the router's
// prefix. The tenant and the retry owner pass unchanged.
bool is_replaced(std::string_view name, const header_names& names) {
  if (iequals(name, names.deadline) || iequals(name, names.request_id)) return true;
  if (!names.expected_upstream.empty() && iequals(name, names.expected_upstream)) return true;
  if (name.size() <= router_prefix.size() || (name[0] | 0x20) != 'p') return false;
  if (!iequals(name.substr(0, router_prefix.size()), router_prefix)) return false;
  return !iequals(name, tenant_header) && !iequals(name, retry_owner_header);
}

void append_forwarded(std::string& out, const message_parser<true>& request,
                      std::string_view element) {
  out += "Forwarded: ";
  for (const auto& field : request.fields()) {
    if (field.id == http::field::forwarded) out.append(field.value).append(", ");
  }
  out.append(element).append(";proto=http");
  if (const auto host = request.find(http::field::host); !host.empty()) {
    out.append(";host=\"").append(host).append("\"");
  }
  out += "\r\n";
}

}  // namespace

void write_request_head(std::string& out, const message_parser<true>& request,
                        const request_additions& added, const body_frame& frame,
                        const header_names& names) {
  out.append(request.method_text()).append(" ").append(request.target()).append(" HTTP/1.1\r\n");
  const auto connection = request.find(http::field::connection);
  for (const auto& field : request.fields()) {
    if (is_hop_by_hop(field.id) || field.id == http::field::content_length ||
        field.id == http::field::expect || is_replaced(field.name, names) ||
        (field.id == http::field::forwarded && !added.forwarded.empty()) ||
        named_by_connection(request, field, connection)) {
      continue;
    }
    append_field(out, field.name, field.value);
  }
  if (!added.forwarded.empty()) append_forwarded(out, request, added.forwarded);
  append_field(out, names.request_id, added.request_id);
  const auto left = std::chrono::ceil<milliseconds>(added.remaining).count();
  append_field(out, names.deadline, static_cast<std::uint64_t>(std::max<std::int64_t>(1, left)));
  if (added.shard && !names.shard.empty()) {
    append_field(out, names.shard, added.shard->value);
    append_field(out, names.fence, added.fence.value);
  }
  if (!names.expected_upstream.empty() && !added.upstream.empty()) {
    append_field(out, names.expected_upstream, added.upstream);
  }
  if (!added.forwarded_by.empty()) append_field(out, hop_header, added.forwarded_by);
  if (!added.retried_by.empty()) append_field(out, retry_owner_header, added.retried_by);
  append_frame(out, frame);
  out += "\r\n";
}

void write_response_head(std::string& out, const message_parser<false>& response,
                         const response_additions& added, const body_frame& frame,
                         const header_names& names) {
  out += "HTTP/1.1 ";
  append_number(out, response.status());
  out.append(" ").append(response.reason()).append("\r\n");
  const auto connection = response.find(http::field::connection);
  for (const auto& field : response.fields()) {
    if (is_hop_by_hop(field.id) || field.id == http::field::content_length ||
        iequals(field.name, names.request_id) ||
        (!names.outcome.empty() && iequals(field.name, names.outcome)) ||
        named_by_connection(response, field, connection)) {
      continue;
    }
    append_field(out, field.name, field.value);
  }
  if (!names.outcome.empty()) append_field(out, names.outcome, added.outcome);
  append_field(out, names.request_id, added.request_id);
  if (added.close) out += "Connection: close\r\n";
  append_frame(out, frame);
  out += "\r\n";
}

std::string forwarded_element(const boost::asio::ip::address& address) {
  return address.is_v6() ? "for=\"[" + address.to_string() + "]\"" : "for=" + address.to_string();
}

bool is_request_id(std::string_view text) {
  constexpr std::size_t max_length = 128;
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool has_token(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    auto part = value.substr(0, value.find(','));
    value.remove_prefix(std::min(part.size() + 1, value.size()));
    while (!part.empty() && (part.front() == ' ' || part.front() == '\t')) part.remove_prefix(1);
    while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) part.remove_suffix(1);
    if (iequals(part, token)) return true;
  }
  return false;
}

}  // namespace plantainpaddle
