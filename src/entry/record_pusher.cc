#include "entry/record_pusher.h"

#include <algorithm>

#include "base/log.h"
#include "entry/load_report.h"

namespace plantainpaddle {

namespace {

constexpr duration push_timeout = milliseconds(300);  // a lost push is made up for by a read
constexpr std::size_t kept_records = 16;              // that changes can be stated from

}  // namespace

void record_pusher::push(const service_id& service, const range_record& record,
                         std::uint64_t version, const std::vector<std::string>& addresses) {
  auto& state = services_[service];
  state.messages.clear();
  state.written.push_back({version, record});
  if (state.written.size() > kept_records) state.written.pop_front();
  for (const auto& address : addresses) {
    const receiver_key to{service, address};
    if (!receivers_[to].under_way) send(to);
  }
}

void record_pusher::on_report(const service_id& service, const std::string& address,
                              const record_position& known) {
  const auto it = services_.find(service);
  if (it == services_.end() || known >= it->second.latest()) return;
  const receiver_key to{service, address};
  auto& state = receivers_[to];
  if (state.under_way) return;
  state.known = known;
  send(to);
}

// Returns the message that brings a receiver from the record that it knows to the latest one.
const std::string& record_pusher::message_for(const service_id& service,
                                              const record_position& known) {
  auto& state = services_[service];
  const auto base =
      std::find_if(state.written.begin(), state.written.end(),
                   [&](const written_record& w) { return position_of(w.record) == known; });
  const bool whole = base == state.written.end();
  auto [it, added] = state.messages.try_emplace(whole ? record_position{} : known);
  if (!added) return it->second;
  const auto& latest = state.written.back();
  pushed_record pushed{.service = service, .version = latest.version};
  if (whole) {
    pushed.record.changes = latest.record;
  } else {
    pushed.base = known;
    pushed.record = make_delta(base->record, latest.record);
  }
  it->second = format_pushed_record(pushed);
  return it->second;
}

void record_pusher::send(const receiver_key& to) {
  auto& state = receivers_[to];
  state.under_way = true;
  client_.send(to.second, {"POST", target_, {}, message_for(to.first, state.known)}, push_timeout,
               [this, to](const result<http_response>& answer) { on_answer(to, answer); });
}

void record_pusher::on_answer(const receiver_key& to, const result<http_response>& answer) {
  auto& state = receivers_[to];
  state.under_way = false;
  const auto known = answer ? parse_known_record(answer->body) : answer.error();
  if (!known) return log_error(log_level::debug, known.error());
  const bool advanced = *known != state.known;
  state.known = *known;
  // One that has advanced, or that has another version than was assumed, is sent what it lacks.
  if (*known < services_[to.first].latest() && advanced) send(to);
}

}  // namespace plantainpaddle
