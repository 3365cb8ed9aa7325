#include "harness/store_view.h"

#include <boost/asio/io_context.hpp>

#include "ownership/store_keys.h"
#include "platform/store_client.h"
#include "table/parse.h"

namespace plantainpaddle {
namespace {

constexpr int max_edit_tries = 5;

std::string prefix_of(const std::string& cluster_name) {
  return "/plantainpaddle/" + cluster_name + "/";
}

// Runs one call of the store's client to its end.
template <class Answer, class Start>
result<Answer> wait_for(const std::string& address, Start start,
                        store_protocol protocol = etcd_protocol{}) {
  boost::asio::io_context io(1);
  store_client store(io.get_executor(), {.addresses = {address}, .protocol = protocol});
  result<Answer> kept = error{errc::internal, step::store, address, "no answer"};
  start(store, [&kept](result<Answer> answer) { kept = std::move(answer); });
  io.run();
  return kept;
}

}  // namespace

result<store_view> read_store(const std::string& address, const std::string& cluster_name) {
  const std::string prefix = prefix_of(cluster_name);
  auto answer = wait_for<range_answer>(
      address, [&](store_client& store, auto done) { store.range(prefix, std::move(done)); });
  if (!answer) return answer.error();
  store_view view;
  for (const auto& value : answer->values) {
    const std::string_view rest = std::string_view(value.key).substr(prefix.size());
    if (rest.starts_with("table/")) {
      auto read = parse_service_table(value.value);
      if (!read) return read.error();
      const service_id name = read->service.name;
      view.tables.emplace(name, std::move(*read));
    } else if (rest.starts_with("cell/")) {
      auto read = parse_cell_record(value.value);
      if (!read) return read.error();
      const cell_id name = read->cell;
      view.cells.emplace(name, std::move(*read));
    }
  }
  return view;
}

result<range_record> read_ranges(const std::string& address, const service_id& service) {
  const auto found = wait_for<std::optional<stored_value>>(
      address,
      [&](store_client& store, auto done) { store.get(record_key(service), std::move(done)); },
      item_protocol{});
  if (!found) return found.error();
  if (!*found) return error{errc::not_found, step::ownership, service.value, "no record"};
  return parse_range_record((*found)->value);
}

std::optional<error> edit_table(const std::string& address, const std::string& cluster_name,
                                const service_id& service,
                                const std::function<void(service_table&)>& edit) {
  const std::string key = prefix_of(cluster_name) + "table/" + service.value;
  for (int i = 0; i < max_edit_tries; ++i) {
    const auto found = wait_for<std::optional<stored_value>>(
        address, [&](store_client& store, auto done) { store.get(key, std::move(done)); });
    if (!found) return found.error();
    if (!*found) return error{errc::not_found, step::table, service.value, "no such service"};
    auto changed = parse_service_table((*found)->value);
    if (!changed) return changed.error();
    edit(*changed);
    ++changed->revision.value;
    const std::string value = format_service_table(*changed);
    const auto swapped = wait_for<swap_answer>(address, [&](store_client& store, auto done) {
      store.compare_and_swap(key, (*found)->version, value, std::move(done));
    });
    if (!swapped) return swapped.error();
    if (swapped->written) return std::nullopt;
  }
  return error{errc::conflict, step::table, service.value, "others keep changing it"};
}

}  // namespace plantainpaddle
