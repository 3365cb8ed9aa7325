// Blocking HTTP calls of benches to the control paths of stand-ins and entries.
#pragma once

#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace plantainpaddle {

result<http_response> web_call(const std::string& address, const http_request& request,
                               duration timeout = seconds(2));
// The body of a 200 answer; any other is an error.
result<std::string> web_get(const std::string& address, const std::string& target);
result<std::string> web_post(const std::string& address, const std::string& target,
                             const std::string& body);

}  // namespace plantainpaddle
