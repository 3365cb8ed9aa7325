#include "entry/store_view.h"

#include <set>

#include "base/log.h"
#include "platform/platform_codec.h"

namespace plantainpaddle {

namespace {

constexpr duration watch_retry_delay = milliseconds(300);
// Successful reads that took less are not logged.
constexpr duration slow_read = milliseconds(250);

template <class Values, class Size>
std::size_t total_bytes(const Values& values, Size size_of) {
  std::size_t total = 0;
  for (const auto& value : values) total += size_of(value);
  return total;
}

}  // namespace

store_view::store_view(boost::asio::io_context& io, store_client& store, handler on_change,
                       store_view_timing timing)
    : store_(store),
      on_change_(std::move(on_change)),
      timing_(timing),
      poll_timer_(io),
      watch_timer_(io),
      poll_timeout_(timing_.poll_timeout) {}

void store_view::start() { poll(); }

const versioned_record* store_view::record(const service_id& service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? nullptr : &found->second;
}

std::optional<bool> store_view::has_assigner(const service_id& service) const {
  if (polled_revision_ == 0 && watched_revision_ == 0) return std::nullopt;
  return assigners_.contains(assigner_key(service));
}

void store_view::update_record(const service_id& service, const range_record& record,
                               std::uint64_t version) {
  auto& known = versions_[record_key(service)];
  if (version <= known) return;
  known = version;
  records_[service] = {record, version};
  notify({.records = true});
}

void store_view::refresh() {
  if (polling_) {
    poll_again_ = true;
  } else {
    poll();
  }
}

void store_view::expire() {
  if (upstreams_.expire(monotonic_now())) notify({.upstreams = true});
}

void store_view::schedule(duration after) {
  poll_timer_.expires_after(after);
  poll_timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) poll();
  });
}

void store_view::on_contact() {
  const auto now = monotonic_now();
  last_contact_ = now;
  if (store_lost_) log_event(log_level::info, "store reached", {{"revision", polled_revision_}});
  store_lost_ = false;
  poll_timeout_ = timing_.poll_timeout;
  upstreams_.on_contact(now);
}

void store_view::on_failure(const error& e) {
  const auto now = monotonic_now();
  poll_timeout_ = std::min(timing_.max_poll_timeout, poll_timeout_ * 2);
  if (!store_lost_ && now - last_contact_ >= timing_.store_lost_after) {
    store_lost_ = true;
    upstreams_.on_lost_contact();
    log_event(log_level::warning, "store unreachable",
              {{"detail", e.detail}, {"last_contact_ms", now - last_contact_}});
  }
}

// Ends the poll in progress. Returns false after a failure, with the next attempt scheduled.
template <class Answer>
bool store_view::handle_poll_result(const result<Answer>& answer) {
  polling_ = false;
  if (answer) {
    on_contact();
    return true;
  }
  on_failure(answer.error());
  schedule(timing_.poll_retry_delay);
  return false;
}

void store_view::log_read(monotonic_time sent, std::size_t values, std::size_t bytes,
                          std::string_view failure) const {
  const auto took = monotonic_now() - sent;
  if (failure.empty() && took < slow_read) return;
  log_event(log_level::info, failure.empty() ? "slow read of the store" : "read of the store failed",
            {{"after", polled_revision_},
             {"took_ms", took},
             {"timeout_ms", poll_timeout_},
             {"values", values},
             {"bytes", bytes},
             {"detail", failure}});
}

void store_view::poll() {
  if (polling_) return;
  polling_ = true;
  poll_timer_.cancel();
  if (polled_revision_ == 0) return read_all();
  store_.poll(
      "", polled_revision_, duration::zero(),
      [this, sent = monotonic_now()](const result<poll_answer>& answer) {
        const auto value_bytes = [](const watch_event& e) { return e.value.value.size(); };
        log_read(sent, answer ? answer->events.size() : 0,
                 answer ? total_bytes(answer->events, value_bytes) : 0,
                 answer ? std::string_view() : answer.error().detail);
        if (!handle_poll_result(answer)) return;
        if (answer->compacted) {
          log_event(log_level::info, "store history compacted", {{"revision", polled_revision_}});
          polled_revision_ = 0;
          return poll();
        }
        polled_revision_ = std::max(polled_revision_, answer->revision);
        notify(apply(answer->events));
        const bool again = std::exchange(poll_again_, false);
        schedule(again ? duration::zero() : timing_.poll_period);
      },
      poll_timeout_);
}

void store_view::read_all() {
  store_.range("", [this, sent = monotonic_now()](const result<range_answer>& answer) {
    const auto value_bytes = [](const stored_value& v) { return v.value.size(); };
    log_read(sent, answer ? answer->values.size() : 0,
             answer ? total_bytes(answer->values, value_bytes) : 0,
             answer ? std::string_view() : answer.error().detail);
    if (!handle_poll_result(answer)) return;
    std::vector<watch_event> events;
    std::set<upstream_id> present;
    std::set<std::string> keys;
    for (const auto& value : answer->values) {
      events.push_back({false, value});
      keys.insert(value.key);
      if (value.key.starts_with(upstream_key_prefix)) {
        present.insert({value.key.substr(upstream_key_prefix.size())});
      }
    }
    for (const auto& key : answer->unreadable) {
      log_event(log_level::warning, "item can't be read",
                {{"key", key}, {"revision", answer->revision}});
    }
    // Known keys that are missing from the full read have been removed.
    for (const auto& [key, version] : versions_) {
      if (!keys.contains(key)) events.push_back({true, {key, "", answer->revision}});
    }
    auto changed = apply(events);
    changed.upstreams = upstreams_.on_full_list(present, monotonic_now()) || changed.upstreams;
    polled_revision_ = answer->revision;
    watched_revision_ = std::max(watched_revision_, answer->revision);
    if (!watching_) watch();
    notify(changed);
    schedule(timing_.poll_period);
  });
}

void store_view::watch() {
  watching_ = true;
  store_.poll(std::string(assigner_key_prefix), watched_revision_, timing_.watch_wait,
              [this](const result<poll_answer>& answer) {
                if (answer && !answer->compacted) {
                  watched_revision_ = std::max(watched_revision_, answer->revision);
                  notify(apply(answer->events));
                  return watch();
                }
                // A poll reads the changes that the compacted history no longer has.
                if (answer) refresh();
                watch_timer_.expires_after(watch_retry_delay);
                watch_timer_.async_wait([this](const boost::system::error_code& code) {
                  watched_revision_ = std::max(watched_revision_, polled_revision_);
                  if (!code) watch();
                });
              });
}

store_change store_view::apply(const std::vector<watch_event>& events) {
  store_change changed;
  for (const auto& event : events) apply_event(event, changed);
  return changed;
}

void store_view::apply_event(const watch_event& event, store_change& changed) {
  const auto& key = event.value.key;
  if (key == desired_state_key) {
    if (!event.removed) apply_desired(event.value, changed);
  } else if (key.starts_with(upstream_key_prefix)) {
    apply_upstream(event, changed);
  } else if (key.starts_with(own_key_prefix)) {
    apply_own_key(event, changed);
  }
}

void store_view::apply_desired(const stored_value& value, store_change& changed) {
  auto read = parse_desired_state(value.value);
  if (!read) {
    log_event(log_level::error, "desired state can't be read",
              {{"revision", value.version}, {"detail", read.error().detail}});
    return;
  }
  if (desired_ && read->version <= desired_->version) return;
  log_event(log_level::info, "desired state in force",
            {{"version", read->version},
             {"revision", value.version},
             {"routes", read->routes.size()},
             {"services", read->services.size()}});
  desired_ = std::move(*read);
  changed.desired = true;
}

void store_view::apply_upstream(const watch_event& event, store_change& changed) {
  const auto now = monotonic_now();
  const upstream_id id{event.value.key.substr(upstream_key_prefix.size())};
  const auto before = upstreams_.all().find(id);
  const bool was_known = before != upstreams_.all().end();
  const bool was_leaving = was_known && before->second.entry.leaving;
  if (event.removed) {
    const bool gone = upstreams_.on_removed(id, now);
    changed.upstreams = changed.upstreams || gone;
    if (was_known) {
      log_event(log_level::info, gone ? "upstream gone" : "upstream lapsed",
                {{"upstream", id.value}, {"revision", event.value.version}});
    }
    return;
  }
  const auto entry = parse_registered_upstream(event.value.key, event.value.value);
  if (!entry) {
    log_event(log_level::warning, "upstream entry can't be read",
              {{"upstream", id.value},
               {"revision", event.value.version},
               {"detail", entry.error().detail}});
    changed.upstreams = upstreams_.on_removed(id, now) || changed.upstreams;
    return;
  }
  if (!upstreams_.on_entry(*entry, now)) return;
  changed.upstreams = true;
  log_event(log_level::info,
            !was_known ? "upstream found"
                       : (entry->leaving && !was_leaving ? "upstream leaves" : "upstream changed"),
            {{"upstream", id.value},
             {"service", entry->service.value},
             {"address", entry->address},
             {"life", entry->life},
             {"revision", event.value.version}});
}

void store_view::apply_own_key(const watch_event& event, store_change& changed) {
  const auto& key = event.value.key;
  auto& version = versions_[key];
  if (event.value.version <= version) return;
  version = event.value.version;
  if (key.starts_with(record_key_prefix)) {
    const service_id service{key.substr(record_key_prefix.size())};
    if (event.removed) {
      records_.erase(service);
      changed.records = true;
      return;
    }
    auto record = parse_range_record(event.value.value);
    if (!record) {
      log_event(log_level::error, "record can't be read",
                {{"service", service.value}, {"detail", record.error().detail}});
      return;
    }
    records_[service] = {std::move(*record), event.value.version};
    changed.records = true;
    return;
  }
  const bool instance = key.starts_with(instance_key_prefix);
  auto& listed = instance ? instances_ : assigners_;
  (instance ? changed.instances : changed.records) = true;
  if (event.removed) {
    listed.erase(key);
  } else {
    listed[key] = event.value.value;
  }
}

void store_view::notify(const store_change& changed) {
  if (changed.any()) on_change_(changed);
}

}  // namespace plantainpaddle
