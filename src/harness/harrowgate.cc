#include "harness/cluster.h"
#include "platform/platform_headers.h"

namespace plantainpaddle {
namespace {

constexpr std::uint32_t shards = 64;

service_table make_service(const std::string& name, const std::vector<std::string>& domains,
                           std::size_t per_domain) {
  service_table made;
  made.service.name.value = name;
  made.service.shards = shards;
  for (const auto& domain : domains) {
    for (std::size_t i = 0; i < per_domain; ++i) {
      upstream_row row;
      row.name.value = name;
      row.name.value.append("-").append(domain).append("-").append(std::to_string(i));
      row.domain.value = domain;
      made.upstreams.push_back(std::move(row));
    }
  }
  return made;
}

route_row make_route(const std::string& name, const std::string& path, request_class klass) {
  route_row row;
  row.name = name;
  row.path_prefix = path;
  row.key_from = key_source::path_segment;
  row.key_name = "1";
  row.klass = klass;
  return row;
}

}  // namespace

cluster_layout make_harrowgate_layout(std::size_t upstreams_per_domain) {
  cluster_layout layout;
  service_table desk = make_service("counter-desk", layout.domains, upstreams_per_domain);
  desk.routes.push_back(make_route("stock", "/stock", request_class::counter));
  service_table book = make_service("order-book", layout.domains, upstreams_per_domain);
  book.routes.push_back(make_route("orders", "/orders", request_class::order));
  book.routes.back().once = true;
  service_table room = make_service("plan-room", layout.domains, upstreams_per_domain);
  room.routes.push_back(make_route("drawings", "/drawings", request_class::upload));
  room.routes.back().idempotent = true;
  room.routes.back().timeout = seconds(10);
  room.routes.back().body_limit = std::uint64_t{1} << 30;
  layout.services = {desk, book, room};
  return layout;
}

cluster_layout make_registered_layout(std::size_t upstreams_per_domain) {
  constexpr std::uint32_t connections = 130;
  cluster_layout layout = make_harrowgate_layout(upstreams_per_domain);
  desired_state state;
  state.version = 1;
  for (auto& service : layout.services) {
    service.service.checks_fence = service.service.name.value == "counter-desk";
    state.services.push_back({service.service.name, connections, service.service.checks_fence, ""});
    declared_route route{.row = service.routes.front(),
                         .policy = {.priority = static_cast<std::uint32_t>(state.routes.size()),
                                    .target_latency = milliseconds(300),
                                    .max_attempts = 2},
                         .targets = {{service.service.name, 1}}};
    route.row.host = "localhost";
    route.row.path_prefix += "/";
    route.row.once = route.row.klass != request_class::counter;
    state.routes.push_back(std::move(route));
  }
  layout.desired = std::move(state);
  return layout;
}

http_request make_registered_request(const route_row& route, std::uint32_t key) {
  static std::uint64_t made = 0;
  return {"GET",
          route.path_prefix + std::to_string(key),
          {{"Host", route.host},
           {std::string(platform_header_names.request_id), "probe-" + std::to_string(++made)},
           {std::string(platform_key_header), std::to_string(key)}},
          "",
          ""};
}

load_plan to_registered(load_plan plan) {
  plan.form = load_form::platform;
  for (auto& klass : plan.classes) {
    if (klass.service == "counter-desk") klass.key_header = platform_key_header;
    klass.once = klass.service != "counter-desk";
  }
  return plan;
}

load_plan make_harrowgate_plan(const std::vector<std::string>& targets, duration length,
                               double scale, std::uint64_t seed) {
  load_plan plan;
  plan.targets = targets;
  plan.length = length;
  plan.seed = seed;
  load_class counter;
  counter.name = "counter";
  counter.service = "counter-desk";
  counter.shards = shards;
  counter.rate = 400 * scale;
  counter.path = "/stock/{key}";
  counter.keys = 5000;
  counter.zipf = 0.9;
  counter.hot_keys = 3;
  counter.hot_share = 0.1;
  counter.hot_move = seconds(2);
  counter.tenants = 20;
  counter.answer_bytes = 400;
  counter.busy = milliseconds(2);
  load_class order = counter;
  order.name = "order";
  order.service = "order-book";
  order.rate = 60 * scale;
  order.method = "POST";
  order.path = "/orders/{key}";
  order.once = true;
  order.hot_keys = 0;
  order.upload_bytes = 600;
  order.answer_bytes = 100;
  order.busy = milliseconds(5);
  load_class upload = order;
  upload.name = "upload";
  upload.service = "plan-room";
  upload.rate = 3 * scale;
  upload.method = "PUT";
  upload.path = "/drawings/{key}";
  upload.once = false;
  upload.upload_bytes = 1 << 19;
  upload.deadline = seconds(10);
  plan.classes = {counter, order, upload};
  return plan;
}

}  // namespace plantainpaddle
