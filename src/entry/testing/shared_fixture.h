// A proxy with proxy_settings::shared_upstreams, and the requests and responses of that form.
//
//   shared_fixture shared({upstream.address()}, true);
//   shared.set_owner("u0");
//   auto got = shared.caller().ask(request("POST", "some-id", "body"));
#pragma once

#include "entry/testing/proxy_fixture.h"
#include "platform/platform_headers.h"
#include "routing/registry_snapshot.h"

namespace plantainpaddle::testing {

inline const std::string id_header(platform_header_names.request_id);

// Formats a request for key 7 with a deadline of 2000 ms; `extra` holds further header lines.
inline std::string request(const std::string& method, const std::string& id,
                           const std::string& body = "", const std::string& extra = "") {
  return method + " /desk/1 HTTP/1.1\r\nHost: h\r\n" + id_header + ": " + id + "\r\n" +
         std::string(platform_header_names.deadline) + ": 2000\r\n" +
         std::string(platform_key_header) + ": 7\r\n" + extra +
         (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") +
         "\r\n" + body;
}

// Returns the request id's header line of `head`, for the response to repeat.
inline std::string echo_id(const std::string& head) {
  const auto place = head.find(id_header + ": ");
  return head.substr(place, head.find("\r\n", place) + 2 - place);
}

// A proxy with one route to one service, keyed or not, whose upstreams are named "u0", "u1", ....
class shared_fixture {
 public:
  explicit shared_fixture(const std::vector<std::string>& upstreams, bool keyed = false) {
    proxy_settings settings;
    settings.listen_callers = "127.0.0.1:0";
    settings.threads = 1;
    settings.domain = domain_id{"d1"};
    settings.names = platform_header_names;
    settings.shared_upstreams = true;
    settings.limits.buffer_answers = true;
    settings.limits.owner_wait = milliseconds(300);
    settings.limits.misdirected_wait = milliseconds(30);
    settings.limits.retry_after = milliseconds(250);
    settings.limits.first_byte_timeout.fill(seconds(60));
    settings.limits.undeclared_body = 1 << 20;
    desired.version = 3;
    desired.services.push_back({.name = {"desk"}, .keyed = keyed});
    declared_route route{.row = {.name = "r", .host = "h", .path_prefix = "/desk/"},
                         .policy = {1, milliseconds(300), 2},
                         .targets = {{service_id{"desk"}, 1}}};
    route.row.timeout = seconds(2);
    if (keyed) {
      route.row.key_from = key_source::header;
      route.row.key_name = platform_key_header;
    }
    desired.routes.push_back(route);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      upstreams_seen.on_entry({.id = {"u" + std::to_string(i)},
                               .service = {"desk"},
                               .address = upstreams[i],
                               .domain = {"d1"},
                               .slots = 6},
                              monotonic_time{});
    }
    traffic = std::make_unique<proxy>(settings, counters);
    address = *traffic->start();
    publish();
  }

  void set_idempotent(bool idempotent) {
    desired.routes[0].row.idempotent = idempotent;
    desired.routes[0].row.once = !idempotent;
    publish();
  }
  // Makes `owner` the owner of all keys, under a new fence. With `former`, the move to it isn't
  // over: those upstreams haven't released the keys.
  void set_owner(const std::string& owner, std::vector<std::string> former = {}) {
    range_record record = make_range_record();
    move_range(record, 0, last_numbered_key, {owner});
    record.last_fence.value += next_fence++;
    record.ranges[0].fence = record.last_fence;
    for (auto& name : former) record.ranges[0].former.push_back({name});
    ranges[{"desk"}] = update_range_view(ranges[{"desk"}], record, monotonic_now());
    publish();
  }
  // Passes the current state to the proxy as a new snapshot.
  void publish() {
    traffic->set_snapshot(std::make_shared<routing_snapshot>(
        make_registry_snapshot(desired, upstreams_seen, ranges, leaving, config, monotonic_now())));
  }
  raw_caller caller() const { return raw_caller(address); }

  metrics counters;
  desired_state desired;
  upstream_list upstreams_seen;
  std::map<service_id, range_view> ranges;
  std::map<upstream_id, monotonic_time> leaving;
  registry_config config;
  std::unique_ptr<proxy> traffic;
  std::string address;
  std::uint64_t next_fence = 1;
};

}  // namespace plantainpaddle::testing
