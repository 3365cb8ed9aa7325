#include "platform/instance_list.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_list_bytes = 8 << 20;

instance_info read_instance(const json::value& value, const std::string& path, error_list& errors) {
  instance_info info;
  object_reader reader(value, path, step::instance_list, errors);
  info.name = reader.text("name");
  info.domain.value = reader.text("domain");
  info.region = reader.text("region");
  info.callers = reader.text("callers");
  info.forward = reader.text("forward");
  info.operators = reader.text("operators");
  info.peers = reader.text("peers");
  info.state = static_cast<instance_state>(reader.choice("state", {"live", "leaving"}, 0));
  reader.finish();
  return info;
}

}  // namespace

result<std::vector<instance_info>> parse_instance_list(std::string_view text) {
  const auto value = parse_json(text, step::instance_list, max_list_bytes);
  if (!value) return value.error();
  error_list errors;
  std::vector<instance_info> instances;
  object_reader reader(*value, "$", step::instance_list, errors);
  if (const auto* items = reader.array("instances", true)) {
    for (std::size_t i = 0; i < items->size(); ++i) {
      instances.push_back(
          read_instance((*items)[i], "$.instances[" + std::to_string(i) + "]", errors));
    }
  }
  if (!errors.empty()) return join_errors(errors);
  return instances;
}

std::string format_instance_list(const std::vector<instance_info>& instances) {
  json::array items;
  for (const auto& info : instances) {
    items.push_back(
        json::object{{"name", info.name},
                     {"domain", info.domain.value},
                     {"region", info.region},
                     {"callers", info.callers},
                     {"forward", info.forward},
                     {"operators", info.operators},
                     {"peers", info.peers},
                     {"state", info.state == instance_state::live ? "live" : "leaving"}});
  }
  return json::serialize(json::object{{"instances", std::move(items)}});
}

void fetch_instances(http_client& client, const std::string& address, duration timeout,
                     std::function<void(result<std::vector<instance_info>>)> done) {
  client.send(address, {"GET", "/v1/instances", {}, ""}, timeout,
              [done = std::move(done)](result<http_response> answer) {
                if (!answer) return done(answer.error());
                done(parse_instance_list(answer->body));
              });
}

}  // namespace plantainpaddle
