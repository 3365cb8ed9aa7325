#include "entry/store_view.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "entry/news_messages.h"
#include "platform/platform_codec.h"

namespace plantainpaddle {

namespace {

// Successful reads that took less are not logged.
constexpr duration slow_read = milliseconds(250);

template <class Values, class Size>
std::size_t total_bytes(const Values& values, Size size_of) {
  std::size_t total = 0;
  for (const auto& value : values) total += size_of(value);
  return total;
}

void log_read(const store_feed& feed, const store_read& asked, std::size_t values,
              std::size_t bytes, std::string_view failure) {
  const auto took = monotonic_now() - asked.sent;
  if (failure.empty() && took < asked.wait + slow_read) return;
  log_event(log_level::info,
            failure.empty() ? "slow read of the store" : "read of the store failed",
            {{"prefix", feed.prefix()},
             {"after", asked.after},
             {"took_ms", took},
             {"timeout_ms", asked.wait + asked.timeout},
             {"values", values},
             {"bytes", bytes},
             {"detail", failure}});
}

std::vector<std::string> feed_prefixes(const store_reader& feeds) {
  std::vector<std::string> prefixes;
  for (std::size_t i = 0; i < feeds.size(); ++i) prefixes.push_back(feeds[i].prefix());
  return prefixes;
}

}  // namespace

store_view::store_view(store_client& store, handler on_change, store_view_timing timing)
    : store_(store),
      on_change_(std::move(on_change)),
      timing_(timing),
      feeds_({.desired = std::string(timing_.evacuations ? operator_key_prefix : desired_state_key),
              .upstreams = std::string(upstream_key_prefix),
              .own = std::string(own_key_prefix),
              .assigners = std::string(assigner_key_prefix)},
             timing_.bounds, timing_.feed, timing_.spread),
      log_(random_number() | 1, feed_prefixes(feeds_)),
      calls_(feeds_.size()),
      upstreams_(timing_.upstreams) {}

const range_record* store_view::record(const service_id& service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? nullptr : &found->second;
}

bool store_view::knows_own_keys() const { return feeds_[store_reader::own_feed].is_read(); }

std::uint64_t store_view::record_version(const service_id& service) const {
  return versions_.version_of(record_key(service));
}

const assigner_entry* store_view::assigner(const service_id& service) const {
  const auto found = assigners_.find(assigner_key(service));
  return found == assigners_.end() ? nullptr : &found->second;
}

std::map<std::string, std::uint64_t> store_view::era_keys(const service_id& service) const {
  return versions_.under(std::string(era_key_prefix) + service.value + "/");
}

monotonic_time store_view::own_keys_known_at() const {
  return feeds_[store_reader::own_feed].known_at();
}

std::map<std::string, monotonic_time> store_view::known_at() const {
  std::map<std::string, monotonic_time> times;
  for (std::size_t i = 0; i < feeds_.size(); ++i) times[feeds_[i].prefix()] = feeds_[i].known_at();
  return times;
}

void store_view::update_record(const service_id& service, const range_record& record,
                               std::uint64_t version) {
  const bool is_new = record.era == store_.era() && versions_.advance(record_key(service), version);
  if (is_new) {
    log_.on_value(record_key(service), version, std::nullopt, true);
    feeds_[store_reader::own_feed].on_handed_on(record_key(service), version);
  }
  const auto found = records_.find(service);
  if (found != records_.end() && position_of(record) <= position_of(found->second)) return;
  records_[service] = record;
  notify({.records = true});
}

void store_view::note_leaving(const upstream_id& upstream, std::uint64_t life,
                              std::string_view reporter) {
  if (!upstreams_.on_notice(upstream, life, monotonic_now())) return;
  log_event(log_level::info, "upstream leaves, as its response says",
            {{"upstream", upstream.value}, {"life", life}, {"reporter", reporter}});
  notify({.upstreams = true});
}

void store_view::on_store_restored() {
  const auto now = monotonic_now();
  versions_.restart();
  log_.restart();
  assigners_.clear();
  upstreams_.on_store_restored(now);
  evacuations_.on_store_restored(now);
  last_contact_ = now;
  for (std::size_t i = 0; i < feeds_.size(); ++i) {
    for (const auto& [id, call] : std::exchange(calls_[i], {})) call->cancel();
    feeds_[i].restart(now);
  }
}

void store_view::refresh() {
  for (std::size_t i = 0; i < feeds_.size(); ++i) {
    if (feeds_[i].prefix().starts_with(own_key_prefix)) feeds_[i].request(monotonic_now());
  }
  tick();
}

void store_view::refresh_unless_followed() {
  if (role_ != feed_role::follower || feeds_.is_stale(monotonic_now())) refresh();
}

void store_view::set_role(feed_role role) {
  role_ = role;
  feeds_.set_role(role);
}

std::map<std::string, std::string> store_view::instance_addresses() const {
  std::map<std::string, std::string> addresses;
  for (const auto& [key, instance] : instances_) addresses[key] = instance.address;
  return addresses;
}

std::vector<instance_registration> store_view::instances_by_name() const {
  std::vector<instance_registration> instances;
  for (const auto& [key, instance] : instances_) instances.push_back(instance);
  return instances;
}

std::optional<news_item> store_view::value_of(const std::string& key) const {
  if (auto kept = log_.with_value(key)) return kept;
  if (!key.starts_with(record_key_prefix) || !versions_.contains(key)) return std::nullopt;
  // The text of a record that was pushed isn't kept.
  const auto* known = record({key.substr(record_key_prefix.size())});
  if (known == nullptr || known->era != store_.era()) return std::nullopt;
  return news_item{
      .key = key, .version = versions_.version_of(key), .value = format_range_record(*known)};
}

bool store_view::take_news(const news_answer& answer, monotonic_time asked_at) {
  const auto now = monotonic_now();
  const auto known_before = feeds_.upstreams().known_at();
  const auto operators_known_before = feeds_[store_reader::desired_feed].known_at();
  const auto items = plantainpaddle::take_news(answer, asked_at, feeds_, versions_, now);
  if (!items) return false;
  std::vector<watch_event> events;
  std::vector<watch_event> operator_events;
  for (const auto& item : *items) {
    auto& feed = item.key.starts_with(operator_key_prefix) ? operator_events : events;
    feed.push_back({item.removed, {item.key, item.value.value_or(""), item.version}});
  }
  if (!feeds_.upstreams().is_stale(now)) on_contact(feeds_.upstreams().revision());
  auto changed = apply(operator_events, operators_known_before);
  apply(events, known_before, changed);
  notify(changed);
  tick();
  return true;
}

void store_view::tick() {
  const auto now = monotonic_now();
  while (const auto due = feeds_.next(now)) read(*due);
  if (upstreams_.expire(now)) notify({.upstreams = true});
  if (evacuations_.expire(now)) {
    log_event(log_level::warning, "evacuation ends, as the restored store doesn't have the order",
              {{"evacuated", evacuations_.all().size()}});
    notify({.evacuations = true});
  }
}

void store_view::read(const due_read& due) {
  auto call = std::make_shared<http_call>();
  call->on_progress = [this, due] { feeds_[due.feed].on_progress(due.read, monotonic_now()); };
  calls_[due.feed][due.read.id] = call;
  const auto& prefix = feeds_[due.feed].prefix();
  ++reads_[prefix];
  if (due.read.after != 0) {
    return store_.poll(
        prefix, due.read.after, due.read.wait,
        [this, due](const result<poll_answer>& answer) { on_changes(due, answer); },
        due.read.timeout, std::move(call));
  }
  store_.range(
      prefix, [this, due](const result<range_answer>& answer) { on_values(due, answer); },
      due.read.timeout, std::move(call));
}

void store_view::on_contact(std::uint64_t revision) {
  const auto now = monotonic_now();
  last_contact_ = now;
  if (store_lost_) log_event(log_level::info, "store reached", {{"revision", revision}});
  store_lost_ = false;
  upstreams_.on_contact(now);
}

void store_view::on_failure(const due_read& asked, const error& e) {
  const auto now = monotonic_now();
  feeds_[asked.feed].on_failure(asked.read, now);
  if (!store_lost_ && now - last_contact_ >= timing_.store_lost_after) {
    store_lost_ = true;
    upstreams_.on_lost_contact();
    log_event(log_level::warning, "store unreachable",
              {{"detail", e.detail}, {"last_contact_ms", now - last_contact_}});
  }
}

// Returns whether the answer's values are to be taken in. Then the reads that are still under way
// are needless, and their connections, on which nothing comes, are closed.
bool store_view::accept(const due_read& asked, const read_result& answer) {
  auto& feed = feeds_[asked.feed];
  on_contact(feed.revision());
  if (answer.compacted) {
    log_event(log_level::info, "store history compacted",
              {{"prefix", feeds_[asked.feed].prefix()}, {"revision", asked.read.after}});
  }
  if (!feed.on_answer(asked.read, answer, monotonic_now())) return false;
  for (const auto& [id, call] : std::exchange(calls_[asked.feed], {})) call->cancel();
  return true;
}

void store_view::on_changes(const due_read& asked, const result<poll_answer>& answer) {
  if (calls_[asked.feed].erase(asked.read.id) == 0) return;
  const auto value_bytes = [](const watch_event& e) { return e.value.value.size(); };
  log_read(feeds_[asked.feed], asked.read, answer ? answer->events.size() : 0,
           answer ? total_bytes(answer->events, value_bytes) : 0,
           answer ? std::string_view() : answer.error().detail);
  if (!answer) return on_failure(asked, answer.error());
  const auto known_at = feeds_[asked.feed].known_at();
  const bool taken = accept(asked, {.revision = answer->revision,
                                    .compacted = answer->compacted,
                                    .changed = !answer->events.empty()});
  if (taken) notify(apply(answer->events, known_at));
  tick();
}

void store_view::on_values(const due_read& asked, const result<range_answer>& answer) {
  if (calls_[asked.feed].erase(asked.read.id) == 0) return;
  const auto value_bytes = [](const stored_value& v) { return v.value.size(); };
  log_read(feeds_[asked.feed], asked.read, answer ? answer->values.size() : 0,
           answer ? total_bytes(answer->values, value_bytes) : 0,
           answer ? std::string_view() : answer.error().detail);
  if (!answer) return on_failure(asked, answer.error());
  const auto known_at = feeds_[asked.feed].known_at();
  if (!accept(asked, {.revision = answer->revision, .changed = true})) return;
  log_.on_complete(asked.feed, answer->revision);
  const auto& prefix = feeds_[asked.feed].prefix();
  std::vector<watch_event> events;
  std::set<upstream_id> present;
  std::set<std::string, std::less<>> keys;
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
  for (const auto& key : versions_.missing(prefix, keys)) {
    events.push_back({true, {key, "", answer->revision}});
  }
  // A store that came back from an older copy may lack an instance whose version isn't known.
  for (const auto& [key, instance] : instances_) {
    if (key.starts_with(prefix) && !keys.contains(key) && !versions_.contains(key))
      events.push_back({true, {key, "", answer->revision}});
  }
  auto changed = apply(events, known_at);
  if (upstream_key_prefix.starts_with(prefix)) {
    changed.upstreams = upstreams_.on_full_list(present, monotonic_now()) || changed.upstreams;
  }
  versions_.forget_missing(prefix, keys, answer->revision);
  notify(changed);
}

store_change store_view::apply(const std::vector<watch_event>& events, monotonic_time known_at) {
  store_change changed;
  apply(events, known_at, changed);
  return changed;
}

void store_view::apply(const std::vector<watch_event>& events, monotonic_time known_at,
                       store_change& changed) {
  for (const auto& event : events) apply_event(event, known_at, changed);
}

void store_view::apply_event(const watch_event& event, monotonic_time known_at,
                             store_change& changed) {
  const auto& key = event.value.key;
  // Pages of a full read are newer than its revision, so that changes come a second time.
  if (!versions_.advance(key, event.value.version)) return;
  bool is_news = true;
  if (key == desired_state_key) {
    if (!event.removed) apply_desired(event.value, changed);
  } else if (key.starts_with(evacuation_key_prefix)) {
    apply_evacuation(event, known_at, changed);
  } else if (key.starts_with(upstream_key_prefix)) {
    is_news = apply_upstream(event, known_at, changed);
  } else if (key.starts_with(own_key_prefix)) {
    apply_own_key(event, changed);
  }
  if (event.removed) {
    log_.on_removed(key, event.value.version);
  } else {
    log_.on_value(key, event.value.version, event.value.value, is_news);
  }
}

void store_view::apply_desired(const stored_value& value, store_change& changed) {
  auto read = parse_desired_state(value.value);
  if (!read) {
    log_event(log_level::error, "desired state can't be read",
              {{"revision", value.version}, {"detail", read.error().detail}});
    return;
  }
  if (desired_ && read->version <= desired_->version) {
    if (read->version < desired_->version) pass_over(desired_state_key, value.version);
    return;
  }
  log_event(log_level::info, "desired state in force",
            {{"version", read->version},
             {"revision", value.version},
             {"routes", read->routes.size()},
             {"services", read->services.size()}});
  desired_ = std::move(*read);
  changed.desired = true;
}

// known_at: the order was acknowledged later, as it wasn't there then.
void store_view::apply_evacuation(const watch_event& event, monotonic_time known_at,
                                  store_change& changed) {
  const domain_id domain{event.value.key.substr(evacuation_key_prefix.size())};
  const bool is_change = event.removed ? evacuations_.on_removed(domain, monotonic_now())
                                       : evacuations_.on_order(domain, known_at);
  if (!is_change) return;
  changed.evacuations = true;
  const bool first = known_at == monotonic_time{};  // nothing tells how old the order is
  const auto known_before =
      first ? std::nullopt : std::optional<duration>(monotonic_now() - known_at);
  log_event(log_level::info, event.removed ? "evacuation ends" : "evacuation begins",
            {{"failure_domain", domain.value},
             {"revision", event.value.version},
             {"known_before_ms", known_before}});
}

bool store_view::apply_upstream(const watch_event& event, monotonic_time known_at,
                                store_change& changed) {
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
    return true;
  }
  const auto entry = parse_registered_upstream(event.value.key, event.value.value);
  if (!entry) {
    log_event(log_level::warning, "upstream entry can't be read",
              {{"upstream", id.value},
               {"revision", event.value.version},
               {"detail", entry.error().detail}});
    changed.upstreams = upstreams_.on_removed(id, now) || changed.upstreams;
    return true;
  }
  if (!upstreams_.on_entry(*entry, now, known_at)) return false;
  changed.upstreams = true;
  log_event(log_level::info,
            !was_known ? "upstream found"
                       : (entry->leaving && !was_leaving ? "upstream leaves" : "upstream changed"),
            {{"upstream", id.value},
             {"service", entry->service.value},
             {"address", entry->address},
             {"life", entry->life},
             {"revision", event.value.version}});
  return true;
}

void store_view::apply_own_key(const watch_event& event, store_change& changed) {
  const auto& key = event.value.key;
  if (key.starts_with(record_key_prefix)) return apply_record(event, changed);
  if (key.starts_with(assigner_key_prefix)) {
    changed.records = true;
    if (event.removed) {
      assigners_.erase(key);
    } else {
      assigners_[key] = {event.value.value, event.value.version};
    }
    return;
  }
  if (!key.starts_with(instance_key_prefix)) return;
  changed.instances = true;
  if (event.removed) {
    instances_.erase(key);
    return;
  }
  auto instance = parse_registration(key.substr(instance_key_prefix.size()), event.value.value);
  if (!instance) {
    log_event(log_level::warning, "registration of an instance can't be read",
              {{"key", key}, {"detail", instance.error().detail}});
    return;
  }
  instances_[key] = std::move(*instance);
}

// A record that the store has lost stays known: it shows what upstreams may hold.
void store_view::apply_record(const watch_event& event, store_change& changed) {
  const service_id service{event.value.key.substr(record_key_prefix.size())};
  changed.records = true;
  if (event.removed) {
    records_.erase(service);
    return;
  }
  auto record = parse_range_record(event.value.value);
  if (!record) {
    log_event(log_level::error, "record can't be read",
              {{"service", service.value}, {"detail", record.error().detail}});
    return;
  }
  const auto known = records_.find(service);
  if (known != records_.end() && position_of(*record) <= position_of(known->second)) {
    if (position_of(*record) < position_of(known->second)) {
      pass_over(event.value.key, event.value.version);
    }
    return;
  }
  records_[service] = std::move(*record);
}

void store_view::pass_over(std::string_view key, std::uint64_t version) {
  ++passed_over_;
  log_event(log_level::warning, "older value passed over",
            {{"key", key}, {"revision", version}, {"era", store_.era()}});
}

void store_view::notify(const store_change& changed) {
  if (changed.any()) on_change_(changed);
}

}  // namespace plantainpaddle
