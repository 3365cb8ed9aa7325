// The JSON bodies of the etcd v3 interface: base64 keys and values, 64-bit numbers as texts.
#pragma once

#include <string>
#include <string_view>

#include "platform/store_protocol.h"

namespace plantainpaddle {

std::string encode_base64(std::string_view bytes);
result<std::string> decode_base64(std::string_view text);

// The end of the range of all keys with the prefix.
std::string prefix_end(std::string prefix);

std::string format_range_request(const std::string& key, const std::string& range_end);
std::string format_swap_request(const std::string& key, std::uint64_t expected,
                                const std::string& value);
std::string format_watch_request(const std::string& prefix, std::uint64_t after_revision);

result<range_answer> parse_range_answer(std::string_view body);
result<swap_answer> parse_swap_answer(std::string_view body);
// One line of a watch. No events: the watch was created, or shows that it is alive.
result<std::vector<watch_event>> parse_watch_line(std::string_view line);

}  // namespace plantainpaddle
