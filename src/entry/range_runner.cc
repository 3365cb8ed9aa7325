// Responses arrive after any number of other events, so the callbacks that act for one term of the
// assigner (its writes, reads, grants, releases and links) compare the generation that they were
// started under with the current one. The candidacy's callbacks don't, since its calls are made
// with and without an assigner, nor do those of the record that relinquishes a term, which is
// written after the term's end. A write whose outcome is unknown is resolved by reading the record
// again.
//
// While this instance is the assigner, each tick takes time linear in the number of ranges for each
// linked upstream (range_assigner::tick). Measuring the balance once a second, rebalancing twice
// a second (four times where upstreams are contended) and reassigning ranges whose owner can't be
// used also take O(keys), and the latter two O(ranges + keys of the cut range) for each planned
// move (range_planner).
#include "entry/range_runner.h"

#include "base/log.h"

namespace plantainpaddle {

namespace {

constexpr duration load_time_constant = seconds(2);  // busy keys change within seconds
constexpr duration rebalance_period = milliseconds(500);
// Where keys that get hot are spread at once. Reports of all instances come within 500 ms; half of
// them show a hot group already.
constexpr duration surging_rebalance_period = milliseconds(250);
constexpr duration balance_log_period = seconds(1);
constexpr duration limit_life = seconds(2);  // of what instances report, twice a second
// Longer than the differences between other instances' campaigns (candidacy_spread()).
constexpr duration late_handicap = milliseconds(600);
constexpr duration late_rest = seconds(30);  // after handing over

}  // namespace

range_runner::range_runner(service_id service, range_runner_context context, range_timing timing,
                           candidacy_timing candidacy, duration spread)
    : service_(std::move(service)),
      context_(std::move(context)),
      timing_(timing),
      candidacy_(candidacy, spread),
      presence_(context_.reuse_after),
      dialer_(context_.io, context_.self, presence_),
      tenure_(context_.self, context_.address, timing),
      load_(load_time_constant) {}

std::string_view range_runner::assigner_address() const {
  const auto* seen = context_.view.record(service_);
  return seen == nullptr ? std::string_view() : std::string_view(seen->address);
}

void range_runner::set_upstreams(std::vector<upstream> listed) {
  std::map<upstream_id, upstream> by_name;
  for (auto& one : listed) by_name[one.facts.name] = std::move(one);
  listed_ = std::move(by_name);
  for (const auto& [name, one] : listed_) addresses_[name] = one.address;
  if (assigner_) assigner_->set_upstreams(listed_upstreams(), monotonic_now());
}

std::vector<range_upstream> range_runner::listed_upstreams() const {
  std::vector<range_upstream> facts;
  for (const auto& [name, one] : listed_) facts.push_back(one.facts);
  std::map<upstream_id, double> limits;
  const auto oldest = monotonic_now() - limit_life;
  for (const auto& [name, limit] : limits_) {
    if (limit.noted >= oldest) limits[name] = limit.rate;
  }
  return limits.empty() ? facts : apply_limits(std::move(facts), limits, load_.requests_per_s());
}

void range_runner::note_limits(const std::map<upstream_id, double>& limits) {
  const auto now = monotonic_now();
  for (const auto& [name, rate] : limits) limits_[name] = {rate, now};
  std::erase_if(limits_, [&](const auto& limit) { return now - limit.second.noted > limit_life; });
}

void range_runner::on_store_change() {
  if (!context_.view.knows_own_keys()) return;
  candidacy_.on_seen(assigner_key_holder(), monotonic_now());
  const auto* seen = context_.view.record(service_);
  if (assigner_ && seen != nullptr && tenure_.is_superseded(*assigner_, *seen))
    step_down("another assigner's record");
}

key_holder range_runner::assigner_key_holder() const {
  const auto* held = context_.view.assigner(service_);
  if (held == nullptr) return key_holder::nobody;
  return held->holder == context_.self.value ? key_holder::self : key_holder::other;
}

void range_runner::on_store_restored() {
  const auto now = monotonic_now();
  era_seen_ = now;
  if (assigner_ && !assigner_->may_renew(now)) step_down("no recent proof of leadership");
  if (assigner_) assigner_->on_store_restored(now);
  presence_.begin_term(upstream_dialer::now());
  log_event(log_level::info, "leadership is to be won again",
            {{"service", service_.value}, {"assigner", assigner_ ? 1 : 0}});
  candidacy_.on_store_restored(assigner_.has_value(), now);
}

void range_runner::tick() {
  const auto now = monotonic_now();
  // What it remembers may be out of date once a successor may have acted.
  if (assigner_ && assigner_->is_suspended() && !assigner_->may_renew(now)) {
    step_down("leadership was not won again in time");
  }
  step_candidacy();
  if (!assigner_) return surging_.reset();
  assigner_->on_entries_known(context_.view.upstreams_known_at());
  if (leaving_ && assigner_->may_relinquish(now) && !assigner_->is_suspended()) {
    return stop_assigning("the instance leaves");
  }
  const bool may_resign = assigner_->may_relinquish(now) && !assigner_->is_suspended();
  if (assigner_->is_isolated(now) && may_resign) return resign();
  if (late_ && may_resign) return hand_over();
  if (assigner_->needs_read()) read_record();
  maintain_links();
  if (now >= next_rebalance_) {
    rebalance(now);
  }
  run_actions();
}

void range_runner::rebalance(monotonic_time now) {
  if (contended_ && !surging_) surging_.emplace();
  if (!contended_) surging_.reset();
  // The plans between two that balance the load only relieve hot upstreams.
  next_rebalance_ = now + (surging_ ? surging_rebalance_period : rebalance_period);
  load_.age(now);
  if (surging_) surging_->age(now);
  log_balance(now);
  auto plan = surging_ ? range_plan_config::for_hot_keys() : range_plan_config{};
  if (now < next_balance_) {
    plan.most_moves = 0;
  } else {
    next_balance_ = now + rebalance_period;
  }
  assigner_->set_plan(plan);
  assigner_->rebalance(planned_load(), now);
}

void range_runner::log_balance(monotonic_time now) {
  if (now < next_balance_log_) return;
  next_balance_log_ = now + balance_log_period;
  const auto balance = measure_balance(assigner_->record(), listed_upstreams(), load_);
  log_event(log_level::info, "balance",
            {{"service", service_.value},
             {"version", assigner_->version()},
             {"ranges", assigner_->record().ranges.size()},
             {"requests", balance.requests},
             {"busiest", balance.busiest.value},
             {"busiest_ratio", balance.busiest_ratio},
             {"busiest_key", balance.busiest_key}});
}

void range_runner::run_actions() {
  if (!assigner_) return;
  for (const auto& action : assigner_->tick(planned_load(), monotonic_now())) {
    std::visit([this](const auto& order) { perform(order); }, action);
  }
  const auto in_doubt = assigner_->ranges_in_doubt();
  if (in_doubt == ranges_in_doubt_) return;
  ranges_in_doubt_ = in_doubt;
  log_event(log_level::info, "ranges in doubt",
            {{"service", service_.value},
             {"in_doubt", in_doubt},
             {"ranges", assigner_->record().ranges.size()}});
}

void range_runner::step_candidacy() {
  switch (candidacy_.tick(monotonic_now())) {
    case candidacy_step::none:
      return;
    case candidacy_step::create_lease:
      return create_lease();
    case candidacy_step::campaign:
      return campaign();
    case candidacy_step::renew_lease:
      return renew_lease();
  }
}

void range_runner::create_lease() {
  const auto sent = monotonic_now();
  context_.store.create_lease(candidacy_.lease_length(), [this, sent](const auto& lease) {
    if (!lease) {
      log_error(log_level::warning, lease.error());
      return candidacy_.on_failed(monotonic_now());
    }
    candidacy_.on_lease_created(lease->id, sent);
    step_candidacy();
  });
}

void range_runner::add_era(store_transaction& change) const {
  const auto era = context_.store.era();
  if (era != 0) change.conditions.push_back({era_key(service_, era), era_version_});
}

// Writes the assigner key and the record with the new term in one transaction, so that any write
// that an earlier assigner still has in flight fails its version check. The first one in an era of
// the store replaces the key of the era before, so that writes of that era fail, too.
store_transaction range_runner::make_campaign(const range_record& record) const {
  const auto* held = context_.view.assigner(service_);
  store_transaction change{
      .conditions = {{assigner_key(service_), held == nullptr ? 0 : held->version},
                     {record_key(service_), context_.view.record_version(service_)}},
      .puts = {{assigner_key(service_), context_.self.value, candidacy_.lease()},
               {record_key(service_), format_range_record(record), 0}}};
  const auto eras = context_.view.era_keys(service_);
  for (const auto& [key, version] : eras) change.conditions.push_back({key, version});
  const auto present = era_key(service_, record.era);
  if (record.era != 0 && !eras.contains(present)) {
    change.conditions.push_back({present, 0});
    change.puts.push_back({present, context_.self.value, 0});
    for (const auto& [key, version] : eras) change.removals.push_back(key);
  }
  return change;
}

void range_runner::campaign() {
  const auto campaign =
      tenure_.campaign(context_.view.record(service_), assigner_, context_.store.era(), era_seen_);
  const auto eras = context_.view.era_keys(service_);
  const auto present = eras.find(era_key(service_, campaign.record.era));
  const std::uint64_t era_version = present == eras.end() ? 0 : present->second;
  const auto sent = monotonic_now();
  context_.store.transact(
      make_campaign(campaign.record), [this, campaign, sent, era_version](const auto& answer) {
        const auto now = monotonic_now();
        if (!answer) {
          // The transaction may have taken effect. Then the view shows it, or the key ends with its
          // lease.
          log_error(log_level::warning, answer.error());
          candidacy_.on_failed(now);
          return context_.view.refresh();
        }
        if (answer->outcome != transaction_result::written) {
          log_event(log_level::info, "campaign lost", {{"service", service_.value}});
          if (answer->outcome == transaction_result::no_lease) candidacy_.on_lease_gone(now);
          candidacy_.on_lost(now);
          return context_.view.refresh();
        }
        era_version_ = era_version == 0 ? answer->version : era_version;
        on_campaign_won(campaign, answer->version, sent);
      });
}

void range_runner::on_campaign_won(const range_campaign& won, std::uint64_t version,
                                   monotonic_time sent) {
  const auto now = monotonic_now();
  if (!tenure_.on_won(won, version, sent, now, assigner_)) {
    log_event(log_level::warning, "campaign out of date", {{"service", service_.value}});
    candidacy_.on_lost(now);
    return context_.view.refresh();
  }
  candidacy_.on_won(sent);
  if (won.goes_on) {
    log_event(log_level::info, "goes on as assigner",
              {{"service", service_.value},
               {"term", won.record.term.value},
               {"era", won.record.era},
               {"version", version}});
  } else {
    on_term_started(version);
  }
  publish(won.record, version);
}

void range_runner::on_term_started(std::uint64_t version) {
  ++generation_;
  presence_.begin_term(upstream_dialer::now());
  const auto now = monotonic_now();
  const auto earlier = assigner_->predecessors_expire_at() - now;
  const auto& record = assigner_->record();
  log_event(log_level::info, "became assigner",
            {{"service", service_.value},
             {"term", record.term.value},
             {"version", version},
             {"era", record.era},
             {"unsettled", record.unsettled ? 1 : 0},
             {"earlier_grants_ms", std::chrono::ceil<milliseconds>(earlier).count()}});
  links_.clear();
  assigner_->set_upstreams(listed_upstreams(), now);
  context_.view.refresh();  // for the instances that records are pushed to
}

void range_runner::publish(const range_record& record, std::uint64_t version) {
  context_.view.update_record(service_, record, version);
  context_.push(service_, record, version);
}

void range_runner::renew_lease() {
  const auto sent = monotonic_now();
  context_.store.renew_lease(candidacy_.lease(), [this, sent](const result<bool>& kept) {
    const auto now = monotonic_now();
    if (!kept) {
      log_event(log_level::warning, "lease not renewed",
                {{"service", service_.value}, {"detail", kept.error().detail}});
      return candidacy_.on_failed(now);
    }
    if (*kept) {
      candidacy_.on_renewed(sent);
      if (assigner_) assigner_->confirm(sent);
      return;
    }
    log_event(log_level::warning, "lease ended", {{"service", service_.value}});
    candidacy_.on_lease_gone(now);
    context_.view.refresh();
  });
}

void range_runner::step_down(std::string_view why) {
  log_event(log_level::warning, "no longer assigner", {{"service", service_.value}, {"why", why}});
  ++generation_;
  tenure_.end(assigner_, monotonic_now());
  links_.clear();
  candidacy_.on_lost(monotonic_now());
  context_.view.refresh();
}

void range_runner::perform(const range_action::write& order) {
  store_transaction change{.conditions = {{record_key(service_), order.version}},
                           .puts = {{record_key(service_), format_range_record(order.record), 0}}};
  add_era(change);
  const auto sent = monotonic_now();
  log_event(log_level::info, "writing record",
            {{"service", service_.value},
             {"version", order.version},
             {"ranges", order.record.ranges.size()},
             {"last_fence", order.record.last_fence.value}});
  context_.store.transact(change, [this, generation = generation_, record = order.record,
                                   sent](const result<transaction_answer>& answer) {
    if (generation != generation_ || !assigner_) return;
    const auto now = monotonic_now();
    if (!answer) {
      log_error(log_level::warning, answer.error());
      if (answer.error().code == errc::refused) return assigner_->on_not_written(now);
      return assigner_->on_write_unknown();
    }
    if (answer->outcome != transaction_result::written) {
      assigner_->on_write_unknown();
      return read_record();
    }
    assigner_->confirm(sent);
    assigner_->on_written(answer->version, now);
    publish(record, answer->version);
    run_actions();
  });
}

void range_runner::read_record() {
  if (reading_) return;
  reading_ = true;
  context_.store.get(record_key(service_), [this, generation = generation_](const auto& read) {
    reading_ = false;
    if (generation == generation_ && assigner_) on_record_read(read);
  });
}

void range_runner::on_record_read(const result<std::optional<stored_value>>& read) {
  if (!read) return log_error(log_level::warning, read.error());
  if (!*read) return step_down("the record was removed");
  const auto& value = **read;
  auto record = parse_range_record(value.value);
  if (!record) {
    log_error(log_level::error, record.error());
    return step_down("the record can't be read");
  }
  context_.view.update_record(service_, *record, value.version);
  if (!assigner_->on_read(context_.self, std::move(*record), value.version, monotonic_now())) {
    step_down("another assigner's record");
  }
}

// An assigner without a recent confirmation from the store stays until tick() finds one: while the
// store can't be reached, no other instance could take over.
void range_runner::leave() {
  leaving_ = true;
  candidacy_.withdraw();
  if (assigner_ && assigner_->may_relinquish(monotonic_now()) && !assigner_->is_suspended())
    stop_assigning("the instance leaves");
}

// Makes way for an instance that can reach the upstreams.
void range_runner::resign() {
  stop_assigning("most upstreams can't be reached");
  candidacy_.resign(monotonic_now());
}

// Makes way for an instance with more processor time. The rest keeps late instances, if all are,
// from handing the duty round faster than their links to upstreams are worth.
void range_runner::hand_over() {
  stop_assigning("the instance is late");
  candidacy_.resign(monotonic_now(), late_rest);
}

void range_runner::set_late(bool late) {
  late_ = late;
  candidacy_.set_handicap(late ? late_handicap : duration::zero());
}

void range_runner::stop_assigning(std::string_view why) {
  const auto version = assigner_->version();
  const auto record = assigner_->relinquish(monotonic_now());
  log_event(log_level::info, "relinquishing the right to assign",
            {{"service", service_.value}, {"why", why}});
  ++generation_;
  tenure_.end(assigner_, monotonic_now());
  links_.clear();
  candidacy_.on_lost(monotonic_now());
  write_relinquished_record(record, version, relinquish_attempts);
}

// A write of this instance may still be in flight and change the version. In that case the record
// is read, and the version found is relinquished unless it is of a later term, which this instance
// may have won meanwhile.
void range_runner::write_relinquished_record(const range_record& record, std::uint64_t version,
                                             int attempts) {
  if (attempts == 0) return;
  store_transaction change{.conditions = {{record_key(service_), version}},
                           .puts = {{record_key(service_), format_range_record(record), 0}},
                           .removals = {assigner_key(service_)}};
  add_era(change);
  context_.store.transact(change, [this, attempts, record](const auto& answer) {
    if (answer && answer->outcome == transaction_result::written) return;
    if (!answer) log_error(log_level::warning, answer.error());
    context_.store.get(record_key(service_), [this, attempts, record](const auto& read) {
      if (!read) return log_error(log_level::warning, read.error());
      auto current = *read ? parse_range_record((*read)->value) : make_range_record();
      if (!current) return;
      const auto again = relinquish_again(record, std::move(*current), context_.self);
      if (again) write_relinquished_record(*again, (*read)->version, attempts - 1);
    });
  });
}

}  // namespace plantainpaddle
