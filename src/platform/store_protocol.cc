#include "platform/store_protocol.h"

#include "platform/etcd_codec.h"

namespace plantainpaddle {

store_request etcd_protocol::range(const std::string& prefix) const {
  return {"/v3/kv/range", format_range_request(prefix, prefix_end(prefix))};
}

store_request etcd_protocol::get(const std::string& key) const {
  return {"/v3/kv/range", format_range_request(key, "")};
}

store_request etcd_protocol::swap(const std::string& key, std::uint64_t expected,
                                  const std::string& value) const {
  return {"/v3/kv/txn", format_swap_request(key, expected, value)};
}

store_request etcd_protocol::watch(const std::string& prefix, std::uint64_t after_revision) const {
  return {"/v3/watch", format_watch_request(prefix, after_revision)};
}

result<range_answer> etcd_protocol::read_range(std::string_view body) const {
  return parse_range_answer(body);
}

result<swap_answer> etcd_protocol::read_swap(std::string_view body) const {
  return parse_swap_answer(body);
}

result<std::vector<watch_event>> etcd_protocol::read_watch(std::string_view line) const {
  return parse_watch_line(line);
}

}  // namespace plantainpaddle
