// Whether a kept connection has neither ended nor received bytes. After a complete response, bytes
// belong to no request: the next one must not take them for its response.
#pragma once

namespace plantainpaddle {

// `socket` is its native handle. One system call, which takes nothing.
bool is_quiet(int socket);

}  // namespace plantainpaddle
