// The calls of the platform's metadata store on a kv_store. Waiting watches are the platform
// stand-in's.
#pragma once

#include <optional>

#include "platform/testing/server_codec.h"
#include "standin/kv_store.h"

namespace plantainpaddle {

// New leases and transactions; the rest counts as reading.
bool is_write(const any_item_call& call);

// The answer; none: a watch to which nothing can be said yet.
std::optional<http_response> answer_item_call(kv_store& store, const any_item_call& call,
                                              monotonic_time now);

// A watch whose wait is over.
http_response answer_no_events(const kv_store& store);

}  // namespace plantainpaddle
