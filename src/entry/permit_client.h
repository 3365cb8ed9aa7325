// Gets permits to send to upstreams that have named a limit: decides here where this instance
// issues them, otherwise asks the instance that does (upstream_permits).
//
//   permit_client permits(orders, instance_key(settings.name));
//   permits.ask(request, [](permit_decision decision) { ... });  // at once or later
//   peer: return permits.handle(body);
//
// Without a client for the calls, no other instance is asked. One thread.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http/client.h"
#include "routing/upstream_permits.h"

namespace plantainpaddle {

inline constexpr std::string_view permit_target = "/permit";

// Messages between instances, as JSON:
//   {"upstream": "desk-1", "rate": 14.9, "age_us": 1200, "wait_us": 120000}
//   {"granted": true, "wait_us": 0}
// Each parse function returns an error if the text is too long, is not JSON, or lacks or misuses a
// field.
std::string format_permit_request(const permit_request& request);
result<permit_request> parse_permit_request(std::string_view text);
std::string format_permit_decision(const permit_decision& decision);
result<permit_decision> parse_permit_decision(std::string_view text);

class permit_client {
 public:
  using handler = std::function<void(permit_decision)>;

  permit_client(http_client& client, std::string self, permit_config config = {});

  // The instances were known to be all at `known_at`.
  void set_instances(const std::map<std::string, std::string>& addresses, monotonic_time known_at);
  // Calls `done` once, possibly before it returns.
  void ask(const permit_request& request, handler done);
  // Decides on another instance's request and returns the response's body.
  std::string handle(std::string_view body);
  std::map<upstream_id, double> limits_asked_for() const;

 private:
  void follow(const permit_request& request, const permit_step& step, handler done);

  http_client& client_;
  upstream_permits permits_;
};

}  // namespace plantainpaddle
