// The calls of the etcd v3 interface in its HTTP/JSON form, on a kv_store: range, put, deleterange,
// txn, lease grant, keepalive and revoke. Watches are the platform stand-in's.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "http/message.h"
#include "standin/kv_store.h"

namespace plantainpaddle {

enum class call_kind { read, write, unknown };

// What a path is counted as.
call_kind kind_of_call(std::string_view target);

http_response etcd_call(kv_store& store, std::string_view target, const boost::json::object& body,
                        monotonic_time now);

// Parts of the messages that watches use too.
std::string etcd_bytes(const boost::json::object& object, std::string_view name);
std::uint64_t etcd_number(const boost::json::object& object, std::string_view name);
boost::json::object etcd_header(const kv_store& store);
boost::json::object etcd_event(const kv_change& change);
http_response etcd_error(unsigned status, std::string_view message);

}  // namespace plantainpaddle
