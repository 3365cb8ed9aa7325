// Ports, files and waits of systems on loopback.
#pragma once

#include <functional>
#include <string>

#include "base/time.h"

namespace plantainpaddle {

// "127.0.0.1:PORT" that nobody listens on; it is reserved until this program ends.
std::string free_address();
std::string read_file(const std::string& name);
// Asks again and again; false: not done in that time.
bool wait_until(duration most, const std::function<bool()>& done);

}  // namespace plantainpaddle
