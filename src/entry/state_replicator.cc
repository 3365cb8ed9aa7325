#include "entry/state_replicator.h"

#include <set>

#include "base/log.h"

namespace plantainpaddle {
namespace {

constexpr duration digest_period = seconds(1);
constexpr duration resync_period = seconds(1);  // between two reads of the whole state
constexpr duration peer_timeout = milliseconds(500);
constexpr std::size_t max_push_bytes = 4 << 20;

}  // namespace

state_replicator::state_replicator(state_cache& cache, const instance_directory& directory,
                                   store_client& store, peer_network& network, domain_id domain,
                                   std::uint64_t seed,
                                   std::function<void(std::function<void()>)> post,
                                   std::function<void()> on_change,
                                   std::function<void(const peer_identity&)> on_peer)
    : cache_(cache),
      directory_(directory),
      store_(store),
      network_(network),
      domain_(std::move(domain)),
      random_(seed),
      post_(std::move(post)),
      on_change_(std::move(on_change)),
      on_peer_(std::move(on_peer)) {}

void state_replicator::tick(monotonic_time now) {
  follow_store(now);
  exchange_digest(now);
}

void state_replicator::follow_store(monotonic_time now) {
  if (!directory_.is_watcher()) {
    watch_.reset();
    store_reachable_.reset();
    return;
  }
  if (watch_ || reading_ || now < next_read_) return;
  reading_ = true;
  next_read_ = now + resync_period;
  store_.range(cache_.keys().prefix, [this](result<range_answer> answer) {
    reading_ = false;
    store_reachable_ = answer.has_value();
    if (!answer) return log_error(log_level::warning, answer.error());
    std::vector<state_item> items;
    for (auto& value : answer->values) {
      items.push_back({std::move(value.key), value.version, std::move(value.value)});
    }
    apply(items, origin::store);
    start_watch(answer->revision);
  });
}

void state_replicator::start_watch(std::uint64_t after_revision) {
  seen_revision_ = after_revision;
  watch_ = store_.watch(
      cache_.keys().prefix, after_revision, [this](result<std::vector<watch_event>> events) {
        if (!events) {
          end_watch(events.error());
          return;
        }
        std::vector<state_item> items;
        for (auto& event : *events) {
          if (event.removed) continue;
          auto& value = event.value;
          seen_revision_ = std::max(seen_revision_, value.version);
          items.push_back({std::move(value.key), value.version, std::move(value.value)});
        }
        apply(items, origin::store);
      });
}

// A watch that timed out without an event has either missed nothing or lost its connection
// silently. In both cases a new watch from the same revision brings all changes, without another
// read of the whole state.
void state_replicator::end_watch(const error& why) {
  const bool idle = why.code == errc::timed_out && why.at == step::read_answer;
  log_error(idle ? log_level::debug : log_level::warning, why);
  if (!idle) store_reachable_ = false;
  post_([this, idle] {  // a watch mustn't be destroyed within its own callback
    watch_.reset();
    if (idle && directory_.is_watcher()) start_watch(seen_revision_);
  });
}

void state_replicator::exchange_digest(monotonic_time now) {
  if (now < next_digest_) return;
  next_digest_ = now + digest_period;
  std::vector<const instance_info*> others;
  for (const auto& info : directory_.list()) {
    if (info.name != directory_.self_name()) others.push_back(&info);
  }
  if (others.empty()) return;
  const std::string address = others[random_() % others.size()]->peers;
  const state_digest summary{cache_.summary(), false, {}};
  network_.call(address, summary, peer_timeout, [this, address](result<peer_answer> answer) {
    if (!answer) return;
    post_([this, address, answer = std::move(*answer)] {
      on_peer_(answer.from);
      if (std::holds_alternative<state_push>(answer.reply)) return;  // the same state
      send_digest(address);
    });
  });
}

void state_replicator::send_digest(const std::string& address) {
  network_.call(address, cache_.digest(), peer_timeout, [this](result<peer_answer> answer) {
    if (!answer) return;
    post_([this, answer = std::move(*answer)] {
      if (const auto* push = std::get_if<state_push>(&answer.reply)) {
        received(answer.from.domain, *push);
      }
    });
  });
}

void state_replicator::written(const state_item& item) { apply({item}, origin::written_here); }

void state_replicator::received(const domain_id& from, const state_push& push) {
  apply(push.items, from == domain_ ? origin::own_domain : origin::other_domain);
}

peer_reply state_replicator::answer(const state_digest& theirs) const {
  if (theirs.summary == cache_.summary()) return state_push{};
  if (!theirs.has_entries) return acknowledgement{false};
  return cache_.newer_than(theirs, max_push_bytes);
}

void state_replicator::apply(const std::vector<state_item>& items, origin from) {
  state_push fresh;
  for (const auto& item : items) {
    const auto applied = cache_.apply(item);
    if (!applied) {
      error e = applied.error();
      e.peer = item.key;
      log_error(log_level::error, e);
    } else if (*applied) {
      fresh.items.push_back(item);
    }
  }
  if (fresh.items.empty()) return;
  pass_on(fresh, from);
  on_change_();
}

void state_replicator::pass_on(const state_push& push, origin from) {
  const bool to_own_domain = from == origin::written_here || directory_.is_watcher();
  if (from == origin::own_domain) return;
  if (to_own_domain) push_to(directory_.live_in(domain_), push);
  if (from != origin::written_here) return;
  std::set<domain_id> domains;
  for (const auto& info : directory_.list()) {
    if (info.domain != domain_) domains.insert(info.domain);
  }
  for (const auto& domain : domains) push_to(directory_.watchers_of(domain), push);
}

void state_replicator::push_to(const std::vector<std::string>& names, const state_push& push) {
  for (const auto& name : names) {
    const auto* info = directory_.find(name);
    if (info == nullptr || name == directory_.self_name()) continue;
    network_.call(info->peers, push, peer_timeout, [](const result<peer_answer>&) {});
  }
}

}  // namespace plantainpaddle
