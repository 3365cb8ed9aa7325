// Load reports to the assigners of services, and records that assigners push to the other
// instances.
#include "base/log.h"
#include "entry/range_instance_impl.h"

namespace plantainpaddle {

namespace {

constexpr duration report_period = milliseconds(500);
constexpr duration report_timeout = milliseconds(400);
constexpr duration reporter_time = seconds(2);  // for which records are pushed after a report
// Reports to the assigner confirm the record; after so long without an answer the store is read.
constexpr duration max_unconfirmed_time = milliseconds(1200);

}  // namespace

// Sends request counts by key to the assigner, which plans with those of all instances.
void range_instance::impl::report_load(monotonic_time now) {
  if (now < next_report) return;
  next_report = now + report_period;
  const auto current = traffic.view();
  for (std::size_t i = 0; i < current->services.size(); ++i) {
    const auto& name = current->snapshot->services[i].service.name;
    const auto runner = runners.find(name);
    if (runner == runners.end()) continue;
    const auto* known = view.record(name);
    load_report_message report{.service = name,
                               .address = settings.listen_peers,
                               .known = known == nullptr ? record_position{} : position_of(*known),
                               .keys = current->services[i].counts->take_keys(),
                               .limits = limits_of(name),
                               .leaving = view.upstreams().noticed()};
    keep_service(report.leaving, name);
    if (current->snapshot->contended) report.speeds = current->services[i].answers->take();
    if (runner->second->is_assigner()) {
      for (const auto& [key, count] : report.keys) runner->second->count(key, count);
      runner->second->note_limits(report.limits);
      runner->second->note_speeds(report.speeds);
      continue;
    }
    // Without a word of the assigner only the store tells whether the record has changed.
    auto& confirmed = record_confirmed[name];
    if (now - confirmed >= max_unconfirmed_time) {
      confirmed = now;
      view.refresh_unless_followed();
    }
    const std::string address(runner->second->assigner_address());
    if (address.empty()) continue;
    orders.send(address, {"POST", std::string(report_target), {}, format_load_report(report)},
                report_timeout, [this, name](const result<http_response>& answer) {
                  on_report_answer(name, answer);
                });
  }
}

// Returns the limits of the service's upstreams for which this instance issues permits.
std::map<upstream_id, double> range_instance::impl::limits_of(const service_id& service) const {
  auto limits = permits.limits_asked_for();
  keep_service(limits, service);
  return limits;
}

// Removes the values of upstreams that aren't listed in the service.
template <class Value>
void range_instance::impl::keep_service(std::map<upstream_id, Value>& values,
                                        const service_id& service) const {
  std::erase_if(values, [&](const auto& value) {
    const auto known = view.upstreams().all().find(value.first);
    return known == view.upstreams().all().end() || known->second.entry.service != service;
  });
}

// Returns the response. An assigner's says which version of the record it has written.
std::string range_instance::impl::handle_load_report(std::string_view body) {
  const auto report = parse_load_report(body);
  if (!report) {
    log_error(log_level::warning, report.error());
    return format_known_record({});
  }
  const auto runner = runners.find(report->service);
  if (runner == runners.end()) return format_known_record({});
  for (const auto& [key, count] : report->keys) runner->second->count(key, count);
  runner->second->note_limits(report->limits);
  if (is_contended()) runner->second->note_speeds(report->speeds);
  for (const auto& [upstream, life] : report->leaving) {
    view.note_leaving(upstream, life, report->address);
  }
  const auto* known = view.record(report->service);
  if (!runner->second->is_assigner() || known == nullptr) return format_known_record({});
  reporters[report->address] = monotonic_now();
  pusher.on_report(report->service, report->address, report->known);
  return format_known_record(position_of(*known));
}

// An assigner's answer confirms that its pushes come from the present assigner.
void range_instance::impl::on_report_answer(const service_id& service,
                                            const result<http_response>& answer) {
  if (!answer) return log_error(log_level::debug, answer.error());
  const auto position = parse_known_record(answer->body);
  if (position && *position != record_position{}) record_confirmed[service] = monotonic_now();
}

void range_instance::impl::push_record(const service_id& service, const range_record& record,
                                       std::uint64_t version) {
  std::set<std::string> addresses;
  for (const auto& [key, address] : view.instance_addresses()) addresses.insert(address);
  const auto oldest = monotonic_now() - reporter_time;
  std::erase_if(reporters, [&](const auto& reporter) { return reporter.second < oldest; });
  for (const auto& [address, seen] : reporters) addresses.insert(address);
  addresses.erase(settings.listen_peers);
  pusher.push(service, record, version, {addresses.begin(), addresses.end()});
}

// Returns the response, which says which version of the record this instance has then.
std::string range_instance::impl::handle_pushed_record(std::string_view body) {
  const auto pushed = parse_pushed_record(body);
  if (!pushed) {
    log_error(log_level::warning, pushed.error());
    return format_known_record({});
  }
  if (!runners.contains(pushed->service)) return format_known_record({});
  const auto* known = view.record(pushed->service);
  if (pushed->base == record_position{}) {
    view.update_record(pushed->service, pushed->record.changes, pushed->version);
  } else if (known != nullptr && position_of(*known) == pushed->base) {
    const auto record = apply_delta(*known, pushed->record);
    if (!record) {
      log_error(log_level::warning, record.error());
      return format_known_record({});
    }
    view.update_record(pushed->service, *record, pushed->version);
  }
  known = view.record(pushed->service);
  return format_known_record(known == nullptr ? record_position{} : position_of(*known));
}

}  // namespace plantainpaddle
