#include "ownership/testing/feed_simulation.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "ownership/store_keys.h"

namespace plantainpaddle {

namespace {

const std::string desired_key = "desired";
const std::string upstream_prefix = "upstreams/";
constexpr monotonic_time start = monotonic_time(seconds(1000));
constexpr duration tick = milliseconds(50);
constexpr duration one_way = milliseconds(1);
constexpr duration store_time = milliseconds(4);
constexpr duration progress_period = milliseconds(50);
constexpr duration store_lost_after = milliseconds(1800);
constexpr duration quiet_period = seconds(3);
constexpr std::size_t item_overhead = 90;
constexpr duration copy_period = milliseconds(500);
constexpr duration copy_age = seconds(9);
constexpr duration operator_repeats_within = milliseconds(800);
constexpr duration upstreams_repeat_within = seconds(2);
constexpr duration entry_lifetime = milliseconds(2600);
constexpr double loss = 0.35;

std::size_t wire_bytes(std::size_t bytes) { return bytes * 4 / 3 + item_overhead; }

feed_fault fault(feed_fault_kind kind, int from_ms, int until_ms, std::size_t first = 0,
                 std::size_t instances = 0) {
  return {kind, milliseconds(from_ms), milliseconds(until_ms), first, instances};
}

std::string to_string(const feed_fault& f) {
  static constexpr std::array<const char*, feed_fault_kinds + 1> names{
      "refused", "cut", "frozen", "silent", "lost", "late", "compacted", "restored", "isolated"};
  return std::string(names[static_cast<std::size_t>(f.kind)]) + " " +
         std::to_string(f.from.count() / 1000) + "-" + std::to_string(f.until.count() / 1000) +
         " ms, " + std::to_string(f.instances) + " from " + std::to_string(f.first_instance);
}

std::string upstream_key(std::size_t index) { return upstream_prefix + std::to_string(index); }

}  // namespace

std::vector<feed_scenario> known_feed_scenarios() {
  using enum feed_fault_kind;
  return {
      {"a large record is written often", {}},
      {"instances are turned away by the store", {fault(refused, 2500, 11'500, 0, 25)}},
      {"instances are cut off or frozen",
       {fault(cut, 4000, 9500, 0, 20), fault(frozen, 12'000, 17'000, 10, 20),
        fault(cut, 20'000, 26'000, 40, 20)}},
      {"connections go silent",
       {fault(silent, 5000, 5000, 0, 80), fault(silent, 11'700, 11'700, 0, 40),
        fault(silent, 21'200, 21'200, 20, 60)}},
      {"answers are lost or late, and the history is compacted",
       {fault(lost, 3000, 7500), fault(compacted, 9000, 14'000), fault(late, 17'000, 21'000)}},
      // An upstream that failed during the cut was kept too long after it.
      {"a cut late in the day", {fault(late, 11'584, 17'673), fault(cut, 26'035, 31'898, 34, 43)}},
      // Changes were ignored for the rest of the day, as their revisions had been given out before.
      {"the store comes back from an older copy", {fault(restored, 14'000, 16'000)}},
      {"the store comes back from a copy that lacks most of the day",
       {fault(restored, 9200, 9400)}},
      {"the store comes back from an older copy, and once more at once",
       {fault(restored, 12'000, 13'000), fault(restored, 13'500, 14'000),
        fault(cut, 11'000, 17'000, 0, 30)}}};
}

std::vector<feed_scenario> known_news_scenarios() {
  using enum feed_fault_kind;
  auto scenarios = known_feed_scenarios();
  // Instances 0 to 4 read the store for their domains.
  const std::vector<feed_scenario> added{
      {"readers are frozen, and wake with old news",
       {fault(frozen, 4000, 8000, 0, 5), fault(frozen, 14'000, 15'500, 0, 5),
        fault(frozen, 24'000, 33'000, 0, 3)}},
      {"the store turns the readers away",
       {fault(refused, 4000, 14'000, 0, 5), fault(refused, 20'000, 26'000, 0, 10)}},
      {"readers reach the store, but not the others",
       {fault(isolated, 5000, 12'000, 0, 5), fault(isolated, 20'000, 30'000, 0, 40)}},
      {"readers are cut off, one after the other",
       {fault(cut, 4000, 9000, 0, 5), fault(cut, 6000, 12'000, 5, 5),
        fault(cut, 20'000, 32'000, 0, 15)}},
      {"readers' connections go silent",
       {fault(silent, 5000, 5000, 0, 10), fault(silent, 21'900, 21'900, 0, 5)}},
      {"the store comes back from an older copy while the readers are frozen",
       {fault(restored, 14'000, 16'000), fault(frozen, 15'500, 18'000, 0, 5)}}};
  scenarios.insert(scenarios.end(), added.begin(), added.end());
  return scenarios;
}

feed_scenario random_news_scenario(std::uint64_t seed) {
  using enum feed_fault_kind;
  auto made = random_feed_scenario(seed);
  std::mt19937_64 random(seed + 1'000'000);
  const auto below = [&](int n) { return std::uniform_int_distribution<>(0, n - 1)(random); };
  constexpr std::array kinds{refused, cut, frozen, silent, isolated};
  const int count = 1 + below(4);
  for (int i = 0; i < count; ++i) {
    const auto kind = kinds[static_cast<std::size_t>(below(kinds.size()))];
    const int from = 1000 + below(28'000);
    const int until = kind == silent ? from : from + 500 + below(9000);
    const auto instances = static_cast<std::size_t>(below(10)) + 1;
    made.faults.push_back(fault(kind, from, until, static_cast<std::size_t>(below(5)), instances));
    made.name += ", " + to_string(made.faults.back());
  }
  return made;
}

feed_scenario random_feed_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return std::uniform_int_distribution<>(0, n - 1)(random); };
  feed_scenario made{"seed " + std::to_string(seed), {}};
  const int count = 2 + below(4);
  for (int i = 0; i < count; ++i) {
    const auto kind = static_cast<feed_fault_kind>(below(feed_fault_kinds));
    const bool whole_store = kind >= feed_fault_kind::lost;
    const int from = 1000 + below(28'000);
    const int until = kind == feed_fault_kind::silent ? from : from + 500 + below(8000);
    const auto instances = static_cast<std::size_t>(whole_store ? 0 : 1 + below(80));
    made.faults.push_back(fault(kind, from, until, static_cast<std::size_t>(below(40)), instances));
    made.name += ", " + to_string(made.faults.back());
  }
  return made;
}

feed_simulation::feed_simulation(feed_load load, std::vector<feed_fault> faults, std::uint64_t seed)
    : load_(load), faults_(std::move(faults)), random_(seed), now_(start) {
  const store_layout layout{.desired = desired_key,
                            .upstreams = upstream_prefix,
                            .own = std::string(own_key_prefix),
                            .assigners = std::string(assigner_key_prefix)};
  const news_bounds bounds{.desired = milliseconds(2500), .leaving = milliseconds(2500)};
  for (std::size_t i = 0; i < load_.instances; ++i) {
    const double spread = static_cast<double>(i) / static_cast<double>(load_.instances);
    instances_.push_back({.feeds = store_reader(layout, bounds, {}, spread)});
  }
  if (load_.domains != 0) register_instances();
}

void feed_simulation::at(monotonic_time when, std::function<void()> what) {
  events_.emplace(std::max(when, now_), std::move(what));
}

void feed_simulation::write(const std::string& key, std::size_t bytes, std::uint64_t version) {
  const bool entry = key.starts_with(upstream_prefix);
  const change made{++revision_, key, bytes, version, false, entry ? ++sequences_[key] : 0};
  log_.push_back(made);
  state_[key] = made;
  const bool leaves = entry && version != 0;
  if (key == desired_key) news_.push_back({version, "", stable_from()});
  if (leaves) news_.push_back({0, key, stable_from()});
  // The first change ends the waiting of a read.
  const auto woken = std::partition(waiting_.begin(), waiting_.end(), [&](const auto& call) {
    return !key.starts_with(instances_[call->instance].feeds[call->feed].prefix());
  });
  const std::vector<std::shared_ptr<pending>> calls(woken, waiting_.end());
  waiting_.erase(woken, waiting_.end());
  for (const auto& call : calls) answer(call);
}

void feed_simulation::remove(const std::string& key) {
  // An upstream that gave no notice is news as well.
  ended_.insert(key);
  const auto it = state_.find(key);
  if (it != state_.end() && it->second.version == 0) news_.push_back({0, key, stable_from()});
  log_.push_back({++revision_, key, 0, 1, true});
  state_.erase(key);
}

// Changes that the store takes while it isn't stable must be in effect in time after it is.
monotonic_time feed_simulation::stable_from() const {
  auto from = now_;
  for (const auto& fault : faults_) {
    const bool unstable = fault.kind == feed_fault_kind::restored && now_ >= start + fault.from &&
                          now_ < start + fault.until + quiet_period;
    if (unstable) from = std::max(from, start + fault.until + quiet_period);
  }
  return from;
}

// The desired state grows by many routes within a second while upstreams are replaced in turn, and
// the assigner moves keys all the while.
void feed_simulation::plan_writes(duration length) {
  write(desired_key, 25'000, 1);
  for (std::size_t i = 0; i < load_.upstreams; ++i) write(upstream_key(i), 200, 0);
  news_.clear();
  for (auto t = load_.record_period; t < length;
       t += t < load_.many_moves_until ? load_.record_period : load_.calm_record_period) {
    at(start + t, [this] { write(record_key({"desk"}), load_.record_bytes, 0); });
  }
  std::uint64_t version = 1;
  const auto change_desired = [&](duration when, std::size_t bytes) {
    at(start + when, [this, bytes, v = ++version] { write(desired_key, bytes, v); });
  };
  for (const int ms : {3400, 7300, 11'900, 21'300}) change_desired(milliseconds(ms), 25'000);
  for (const int ms : {21'800, 22'300}) change_desired(milliseconds(ms), load_.large_state_bytes);
  for (auto t = milliseconds(26'000); t < length; t += milliseconds(1700))
    change_desired(t, load_.large_state_bytes);
  std::size_t next_upstream = 0;
  for (duration t = seconds(5); t < length; t += milliseconds(600)) {
    for (int i = 0; i < 4; ++i) {
      const auto leaving = upstream_key(next_upstream);
      const auto joining = upstream_key(load_.upstreams + next_upstream++);
      at(start + t, [this, leaving] { write(leaving, 200, 1); });
      at(start + t + seconds(4), [this, leaving] { remove(leaving); });
      at(start + t + seconds(2), [this, joining] { write(joining, 200, 0); });
      // Others fail.
      const auto failing = upstream_key(load_.upstreams - 1 - next_upstream);
      if (i == 0) at(start + t, [this, failing] { remove(failing); });
      // An upstream that warms up states a new remaining time with each heartbeat.
      for (int beat = 1; beat <= 2; ++beat) {
        at(start + t + seconds(2) + beat * milliseconds(1500),
           [this, joining] { write(joining, 200, 0); });
      }
    }
  }
}

const feed_fault* feed_simulation::active(feed_fault_kind kind, std::size_t index) const {
  for (const auto& fault : faults_) {
    const bool here = fault.instances == 0 || (index >= fault.first_instance &&
                                               index < fault.first_instance + fault.instances);
    if (fault.kind == kind && here && now_ >= start + fault.from && now_ < start + fault.until)
      return &fault;
  }
  return nullptr;
}

bool feed_simulation::is_in_touch(std::size_t index) const {
  return std::none_of(faults_.begin(), faults_.end(), [&](const feed_fault& fault) {
    const bool here = fault.instances == 0 || (index >= fault.first_instance &&
                                               index < fault.first_instance + fault.instances);
    return here && now_ >= start + fault.from && now_ < start + fault.until + quiet_period;
  });
}

void feed_simulation::send_reads(std::size_t index) {
  auto& self = instances_[index];
  self.upstreams.expire(now_);
  if (active(feed_fault_kind::frozen, index) != nullptr || now_ < self.busy_until) return;
  if (load_.domains != 0) ask_for_news(index);
  if (load_.request_period > duration::zero() && now_ >= self.next_request) {
    self.next_request = now_ + load_.request_period;
    for (std::size_t i = 0; i < self.feeds.size(); ++i) {
      if (self.feeds[i].prefix().starts_with(own_key_prefix)) self.feeds[i].request(now_);
    }
  }
  while (const auto due = self.feeds.next(now_)) {
    const auto* read = &due->read;
    ++calls_;
    self.calls.push_back(now_);
    auto call = std::make_shared<pending>(pending{index, due->feed, due->read});
    calls_under_way_.push_back(call);
    call->asked_in = self.era;
    at(now_ + read->wait + read->timeout, [this, call] { fail(call); });
    if (active(feed_fault_kind::cut, index) != nullptr) continue;
    if (active(feed_fault_kind::restored, index) != nullptr) continue;
    if (active(feed_fault_kind::refused, index) != nullptr) {
      at(now_ + 2 * one_way, [this, call] { fail(call); });
      continue;
    }
    duration delay = one_way + store_time;
    if (active(feed_fault_kind::late, index) != nullptr &&
        std::uniform_real_distribution<>()(random_) < loss) {
      delay += milliseconds(std::uniform_int_distribution<>(500, 3000)(random_));
    }
    at(now_ + delay, [this, call] { arrive(call); });
  }
}

void feed_simulation::arrive(const std::shared_ptr<pending>& call) {
  const auto& prefix = instances_[call->instance].feeds[call->feed].prefix();
  const bool has_changes = call->read.after == 0 || call->read.after < compacted_ ||
                           call->read.after > revision_ ||
                           std::any_of(log_.rbegin(), log_.rend(), [&](const change& c) {
                             return c.revision > call->read.after && c.key.starts_with(prefix);
                           });
  if (has_changes || call->read.wait == duration::zero()) return answer(call);
  waiting_.push_back(call);
  at(now_ + call->read.wait, [this, call] {
    if (std::erase(waiting_, call) != 0) answer(call);
  });
}

void feed_simulation::answer(const std::shared_ptr<pending>& call) {
  auto& self = instances_[call->instance];
  const auto& feed = self.feeds[call->feed];
  const bool silent = std::any_of(faults_.begin(), faults_.end(), [&](const feed_fault& f) {
    return f.kind == feed_fault_kind::silent && call->instance >= f.first_instance &&
           call->instance < f.first_instance + f.instances && call->read.sent < start + f.from &&
           now_ >= start + f.from;
  });
  const bool lost = active(feed_fault_kind::lost, call->instance) != nullptr &&
                    std::uniform_real_distribution<>()(random_) < loss;
  if (call->answered || call->cancelled || silent || lost ||
      active(feed_fault_kind::cut, call->instance) != nullptr ||
      active(feed_fault_kind::restored, call->instance) != nullptr)
    return;
  const bool compacted =
      call->read.after != 0 && (call->read.after < compacted_ || call->read.after > revision_);
  std::vector<change> changes;
  std::size_t bytes = item_overhead;
  const auto add = [&](const change& c) {
    if (!c.key.starts_with(feed.prefix())) return;
    changes.push_back(c);
    bytes += wire_bytes(c.bytes);
  };
  if (call->read.after == 0) {
    for (const auto& [key, value] : state_) add(value);
  } else if (!compacted) {
    for (const auto& c : log_) {
      if (c.revision > call->read.after) add(c);
    }
  }
  largest_answer_ = std::max(largest_answer_, bytes);
  const auto seconds_of = [](double s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
  };
  const auto size = static_cast<double>(bytes);
  const auto sent = std::max(now_, self.link_free);
  if (sent >= call->read.sent + call->read.wait + call->read.timeout) return;
  const auto arrived = sent + seconds_of(size / load_.link_bytes_per_s) + one_way;
  self.link_free = arrived;
  call->transferring = true;
  call->arrives = arrived;
  for (auto part = sent + progress_period; part < arrived; part += progress_period) {
    at(part, [this, call] {
      auto& reader = instances_[call->instance];
      if (now_ >= reader.busy_until && !call->answered && !call->cancelled)
        reader.feeds[call->feed].on_progress(call->read, now_);
    });
  }
  at(arrived, [this, call, changes, compacted, size, seconds_of, revision = revision_, era = era_] {
    if (call->answered || call->cancelled) return;
    auto& reader = instances_[call->instance];
    reader.busy_until =
        std::max(now_, reader.busy_until) + seconds_of(size / load_.processing_bytes_per_s);
    at(reader.busy_until, [this, call, changes, compacted, revision, era] {
      if (std::exchange(call->answered, true)) return;
      const read_result result{revision, compacted, !changes.empty()};
      auto& taker = instances_[call->instance];
      if (!is_current(taker, *call, era)) return send_reads(call->instance);
      taker.last_contact = now_;
      taker.upstreams.on_contact(now_);
      if (taker.feeds[call->feed].on_answer(call->read, result, now_)) {
        cancel_others(call);
        take_in(*call, changes, revision);
      }
      send_reads(call->instance);
    });
  });
}

// The connections of reads that another one has made needless are closed.
void feed_simulation::cancel_others(const std::shared_ptr<pending>& call) {
  auto& self = instances_[call->instance];
  for (const auto& other : calls_under_way_) {
    if (other->instance != call->instance || other->feed != call->feed || other == call) continue;
    other->cancelled = true;
    if (other->transferring && other->arrives == self.link_free) self.link_free = now_;
  }
  std::erase_if(calls_under_way_, [](const auto& c) { return c->answered || c->cancelled; });
}

void feed_simulation::fail(const std::shared_ptr<pending>& call) {
  if (call->transferring || call->cancelled || std::exchange(call->answered, true)) return;
  std::erase(waiting_, call);
  auto& self = instances_[call->instance];
  self.feeds[call->feed].on_failure(call->read, now_);
  if (now_ - self.last_contact >= store_lost_after) self.upstreams.on_lost_contact();
}

// Returns whether the answer belongs to the era that the instance is in. A later era ends it.
bool feed_simulation::is_current(instance& self, const pending& call, std::uint64_t era) {
  if (era > self.era) {
    self.era = era;
    self.versions.restart();
    self.upstreams.on_store_restored(now_);
    self.last_contact = now_;
    self.log.restart();
    for (std::size_t i = 0; i < self.feeds.size(); ++i) self.feeds[i].restart(now_);
  }
  return era == self.era && call.asked_in == era;
}

void feed_simulation::take_in(const pending& call, const std::vector<change>& changes,
                              std::uint64_t revision) {
  auto& self = instances_[call.instance];
  const auto& prefix = self.feeds[call.feed].prefix();
  std::set<upstream_id> present;
  std::set<std::string, std::less<>> keys;
  for (const auto& c : changes) {
    const bool entry = c.key.starts_with(upstream_prefix);
    if (entry && !c.removed) present.insert({c.key});
    if (!c.removed) keys.insert(c.key);
    apply(self, c);
  }
  const bool whole = call.read.after == 0;
  if (!whole) return;
  for (const auto& key : self.versions.missing(prefix, keys)) {
    if (load_.domains != 0) apply(self, {.revision = revision, .key = key, .removed = true});
  }
  if (load_.domains != 0) self.log.on_complete(call.feed, revision);
  if (upstream_prefix.starts_with(prefix)) self.upstreams.on_full_list(present, now_);
  self.versions.forget_missing(prefix, keys, revision);
}

void feed_simulation::apply(instance& self, const change& c) {
  if (!self.versions.advance(c.key, c.revision)) return;
  const bool entry = c.key.starts_with(upstream_prefix);
  bool is_news = true;
  if (c.key == desired_key) self.desired = std::max(self.desired, c.version);
  if (entry && c.removed) self.upstreams.on_removed({c.key}, now_);
  if (entry && !c.removed) {
    is_news = self.upstreams.on_entry(
        {.id = {c.key}, .leaving = c.version != 0, .life = 1, .sequence = c.sequence}, now_);
  }
  if (load_.domains == 0) return;
  if (c.removed) return self.log.on_removed(c.key, c.revision);
  self.log.on_value(c.key, c.revision, news_value(c), is_news);
}

void feed_simulation::copy_store() {
  copies_.push_back({now_, revision_, state_});
  while (copies_.front().taken + 2 * copy_age < now_) copies_.pop_front();
}

// Brings back the store as it was some seconds ago. Operators and upstreams that live write again
// what is lost; entries of those that have gone lapse.
void feed_simulation::restore_store() {
  const auto copy = std::find_if(copies_.rbegin(), copies_.rend(),
                                 [&](const auto& c) { return c.taken + copy_age <= now_; });
  if (copy == copies_.rend()) return;
  const auto lost = std::exchange(state_, copy->state);
  revision_ = copy->revision;
  ++era_;
  std::erase_if(log_, [&](const change& c) { return c.revision > revision_; });
  compacted_ = revision_;
  std::erase_if(news_, [&](const news& n) { return n.acked > copy->taken; });
  for (const auto& [key, was] : lost) {
    const auto now_there = state_.find(key);
    if (now_there == state_.end() || now_there->second.sequence != was.sequence ||
        now_there->second.version != was.version) {
      write_again(was);
    }
  }
  for (const auto& [key, value] : state_) {
    if (!key.starts_with(upstream_prefix) || lost.contains(key)) continue;
    at(now_ + entry_lifetime, [this, gone = key] { remove(gone); });
  }
}

void feed_simulation::write_again(const change& lost) {
  const bool entry = lost.key.starts_with(upstream_prefix);
  if (!entry && lost.key != desired_key) return;
  const duration latest = entry ? upstreams_repeat_within : operator_repeats_within;
  const auto after =
      duration(std::uniform_int_distribution<std::int64_t>(0, latest.count())(random_));
  at(now_ + after, [this, lost, entry] {
    if (ended_.contains(lost.key)) return;
    const auto there = state_.find(lost.key);
    const bool older = there == state_.end() || there->second.sequence < lost.sequence ||
                       (!entry && there->second.version < lost.version);
    if (older) write(lost.key, lost.bytes, lost.version);
  });
}

bool feed_simulation::is_known(const instance& self, const news& n) const {
  if (n.upstream.empty()) return self.desired >= n.version;
  const auto it = self.upstreams.all().find({n.upstream});
  return it == self.upstreams.all().end() || it->second.entry.leaving;
}

void feed_simulation::check() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!is_in_touch(i)) continue;
    const auto& self = instances_[i];
    for (const auto& n : news_) {
      auto& worst = n.upstream.empty() ? worst_desired_ : worst_leaving_;
      const auto age = now_ - n.acked;
      if (age <= worst || is_known(self, n)) continue;
      worst = age;
      if (age <= std::max(worst_desired_, worst_leaving_) - tick) continue;
      const auto ms = std::chrono::duration_cast<milliseconds>(now_ - start).count();
      worst_ = "instance " + std::to_string(i) + " at " + std::to_string(ms) +
               " ms: " + (n.upstream.empty() ? "version " + std::to_string(n.version) : n.upstream);
    }
  }
}

// What an instance has learnt of an upstream's end stays known whatever the store shows.
void feed_simulation::check_forgotten() {
  for (auto& self : instances_) {
    for (const auto& [id, known] : self.upstreams.all()) {
      if (known.entry.leaving) {
        self.ended.insert(id.value);
      } else if (self.ended.contains(id.value)) {
        ++forgotten_;
      }
    }
  }
}

double feed_simulation::calls_per_s(duration from, duration until, std::size_t first,
                                    std::size_t count) const {
  std::ptrdiff_t calls = 0;
  for (std::size_t i = first; i < first + count; ++i) {
    calls += std::count_if(instances_[i].calls.begin(), instances_[i].calls.end(),
                           [&](auto t) { return t >= start + from && t < start + until; });
  }
  return static_cast<double>(calls) / std::chrono::duration<double>(until - from).count() /
         static_cast<double>(count);
}

void feed_simulation::run(duration length) {
  plan_writes(length);
  for (duration t{0}; t < length; t += copy_period) at(start + t, [this] { copy_store(); });
  for (const auto& fault : faults_) {
    if (fault.kind == feed_fault_kind::restored) {
      at(start + fault.until, [this] { restore_store(); });
      for (auto t = fault.from; t < fault.until + quiet_period; t += tick)
        at(start + t, [this] { check_forgotten(); });
    }
    if (fault.kind != feed_fault_kind::compacted) continue;
    for (auto t = fault.from; t < fault.until; t += milliseconds(300))
      at(start + t, [this] { compacted_ = revision_; });
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto offset = milliseconds(std::uniform_int_distribution<>(0, 49)(random_));
    for (duration t = offset; t < length; t += tick) at(start + t, [this, i] { send_reads(i); });
  }
  constexpr duration settled = seconds(2);
  for (duration t = settled; t < length; t += tick) at(start + t, [this] { check(); });
  while (!events_.empty() && events_.begin()->first < start + length) {
    auto next = events_.extract(events_.begin());
    now_ = next.key();
    next.mapped()();
  }
  calls_per_s_ = static_cast<double>(calls_) / std::chrono::duration<double>(length).count() /
                 static_cast<double>(instances_.size());
}

}  // namespace plantainpaddle
