#include "apps/platform_access.h"

#include <thread>

#include "table/parse.h"

namespace plantainpaddle {
namespace {

constexpr duration pause_after_error = milliseconds(300);
constexpr duration call_timeout = seconds(2);

}  // namespace

platform_access::platform_access(const platform_address& address)
    : store_(io_.get_executor(),
             {.addresses = address.store,
              .timeout = call_timeout,
              .protocol = address.form == platform_form::items ? store_protocol(item_protocol{})
                                                               : store_protocol(etcd_protocol{})}),
      keys_(state_cache(address.cluster).keys()) {}

template <class T, class Start>
result<T> platform_access::wait(Start start) {
  result<T> outcome = error{errc::internal, step::store, "", "no answer"};
  start([&outcome](result<T> answer) { outcome = std::move(answer); });
  io_.restart();
  io_.run();
  return outcome;
}

result<table> platform_access::read_tables() {
  const auto answer =
      wait<range_answer>([&](auto done) { store_.range(keys_.table({}), std::move(done)); });
  if (!answer) return answer.error();
  table tables;
  for (const auto& stored : answer->values) {
    auto read = parse_service_table(stored.value);
    if (!read) {
      error e = read.error();
      e.detail = stored.key + ": " + e.detail;
      return e;
    }
    const service_id name = read->service.name;
    tables[name] = std::move(*read);
  }
  return tables;
}

result<registry_state> platform_access::read_registry() {
  const auto answer = wait<range_answer>([&](auto done) { store_.range("", std::move(done)); });
  if (!answer) return answer.error();
  return plantainpaddle::read_registry(*answer);
}

table_access platform_access::access() {
  table_access made;
  made.read = [this](const service_id& service) {
    return wait<std::optional<stored_value>>(
        [&](auto done) { store_.get(keys_.table(service), std::move(done)); });
  };
  made.swap = [this](const service_id& service, std::uint64_t version, const std::string& value) {
    return wait<swap_answer>([&](auto done) {
      store_.compare_and_swap(keys_.table(service), version, value, std::move(done));
    });
  };
  made.pause = [] { std::this_thread::sleep_for(pause_after_error); };
  return made;
}

}  // namespace plantainpaddle
