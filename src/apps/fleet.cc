#include "apps/fleet.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_status_bytes = 64 << 20;

std::string text_of(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? "" : std::string(*text);
}

std::int64_t to_number(const json::value& value) {
  boost::system::error_code code;
  const auto number = value.to_number<std::int64_t>(code);
  return code ? 0 : number;
}

std::int64_t number_of(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? 0 : to_number(*value);
}

std::uint64_t count_of(const json::object& object, std::string_view name) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, number_of(object, name)));
}

std::optional<bool> flag_of(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  const auto* flag = value == nullptr ? nullptr : value->if_bool();
  return flag == nullptr ? std::nullopt : std::optional<bool>(*flag);
}

const json::object* object_of(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_object();
}

// Calls use with each object of a list; other items are passed over.
template <class Use>
void for_objects(const json::object& object, std::string_view name, Use use) {
  const auto* value = object.if_contains(name);
  const auto* items = value == nullptr ? nullptr : value->if_array();
  if (items == nullptr) return;
  for (const auto& item : *items) {
    if (const auto* found = item.if_object()) use(*found);
  }
}

std::vector<std::string> texts_of(const json::object& object, std::string_view name) {
  std::vector<std::string> texts;
  const auto* value = object.if_contains(name);
  const auto* items = value == nullptr ? nullptr : value->if_array();
  if (items == nullptr) return texts;
  for (const auto& item : *items) {
    if (const auto* text = item.if_string()) texts.emplace_back(*text);
  }
  return texts;
}

cell_status read_cell(const json::object& object) {
  cell_status cell;
  cell.cell.value = text_of(object, "cell");
  cell.term.value = count_of(object, "term");
  cell.revision.value = count_of(object, "revision");
  cell.assigner = text_of(object, "assigner");
  if (const auto* shards = object_of(object, "shards")) {
    for (const auto& item : *shards) {
      cell.shards[item.key()] = static_cast<int>(to_number(item.value()));
    }
  }
  if (object.contains("phase")) cell.phase = text_of(object, "phase");
  cell.has_right = flag_of(object, "has_right");
  cell.moves = static_cast<int>(number_of(object, "moves"));
  cell.standbys = texts_of(object, "standbys");
  cell.suspected = texts_of(object, "suspected");
  return cell;
}

queue_status read_queue(const json::object& object) {
  return {text_of(object, "service"), text_of(object, "name"), number_of(object, "waiting"),
          number_of(object, "limit")};
}

}  // namespace

result<instance_status> parse_instance_status(std::string_view text) {
  const auto value = parse_json(text, step::instance_list, max_status_bytes);
  if (!value) return value.error();
  const auto* object = value->if_object();
  if (object == nullptr || text_of(*object, "instance").empty()) {
    return error{errc::protocol, step::instance_list, "", "not the status of an entry instance"};
  }
  instance_status status;
  status.instance = text_of(*object, "instance");
  status.domain.value = text_of(*object, "domain");
  if (const auto* tables = object_of(*object, "tables")) {
    for (const auto& item : *tables) {
      const auto revision = std::max<std::int64_t>(0, to_number(item.value()));
      status.tables[{std::string(item.key())}] = {static_cast<std::uint64_t>(revision)};
    }
  }
  for_objects(*object, "cells",
              [&](const json::object& cell) { status.cells.push_back(read_cell(cell)); });
  for_objects(*object, "queues",
              [&](const json::object& queue) { status.queues.push_back(read_queue(queue)); });
  status.store_reachable = flag_of(*object, "store_reachable");
  status.leaving = flag_of(*object, "leaving").value_or(false);
  return status;
}

namespace {

// An instance of which only the operators' address is known.
instance_view known_instance(const std::string& operators) {
  instance_view view;
  view.info.name = operators;
  view.info.operators = operators;
  return view;
}

void take_answer(instance_view& instance, const result<http_response>& answer) {
  if (!answer) {
    instance.failure = answer.error();
    return;
  }
  auto status = parse_instance_status(answer->body);
  if (!status) {
    instance.failure = status.error();
    return;
  }
  if (instance.info.name == instance.info.operators) {
    instance.info.name = instance_name({status->instance});
    instance.info.domain = status->domain;
  }
  instance.status = std::move(*status);
}

}  // namespace

fleet_view gather_fleet(const fleet_address& address, duration timeout) {
  fleet_view fleet;
  boost::asio::io_context io(1);
  http_client client(io.get_executor());
  fetch_instances(client, address.instance_list, timeout,
                  [&](result<std::vector<instance_info>> list) {
                    if (!list) {
                      fleet.list_failure = list.error();
                      return;
                    }
                    for (auto& info : *list) fleet.instances.push_back({std::move(info), {}, {}});
                  });
  io.run();
  if (fleet.list_failure) {
    for (const auto& known : address.operators) fleet.instances.push_back(known_instance(known));
  }
  for (auto& instance : fleet.instances) {
    client.send(
        instance.info.operators, {"GET", "/status", {}, ""}, timeout,
        [&instance](const result<http_response>& answer) { take_answer(instance, answer); });
  }
  io.restart();
  io.run();
  return fleet;
}

std::size_t instances_at(const fleet_view& fleet, const service_id& service,
                         revision_number revision) {
  return static_cast<std::size_t>(
      std::count_if(fleet.instances.begin(), fleet.instances.end(), [&](const instance_view& i) {
        if (!i.status) return false;
        const auto known = i.status->tables.find(service);
        return known != i.status->tables.end() && known->second >= revision;
      }));
}

std::size_t instances_seen(const fleet_view& fleet) {
  return static_cast<std::size_t>(
      std::count_if(fleet.instances.begin(), fleet.instances.end(),
                    [](const instance_view& i) { return i.status.has_value(); }));
}

}  // namespace plantainpaddle
