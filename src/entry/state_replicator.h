// Keeps the state cache synchronized with the store and the other instances.
//
// In each failure domain two instances, the watchers, follow the store by one watch each and push
// new values to the other instances of their domain. A value that this instance wrote itself is
// pushed at once to its own domain and to the watchers of the others, which pass it on. Once a
// second each instance exchanges digests with one other, chosen at random. This repairs lost
// pushes, so that no push has to be repeated.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "base/time.h"
#include "entry/instance_directory.h"
#include "entry/state_cache.h"
#include "peer/network.h"
#include "platform/store_client.h"

namespace plantainpaddle {

class state_replicator {
 public:
  // `post` runs work on the control thread and may be called on any thread. `on_change` is called
  // after the cache has changed, `on_peer` when another instance has answered a digest.
  state_replicator(state_cache& cache, const instance_directory& directory, store_client& store,
                   peer_network& network, domain_id domain, std::uint64_t seed,
                   std::function<void(std::function<void()>)> post, std::function<void()> on_change,
                   std::function<void(const peer_identity&)> on_peer);

  void tick(monotonic_time now);
  // Whether the last access to the store succeeded; empty before the first one and if this instance
  // isn't a watcher.
  std::optional<bool> store_reachable() const { return store_reachable_; }

  // Applies a value that this instance has just written to the store, and pushes it.
  void written(const state_item& item);
  // Applies a push from an instance of the given failure domain, and passes it on if needed.
  void received(const domain_id& from, const state_push& push);
  // Answers a digest: an empty push for the same state, a negative acknowledgement that asks for
  // all entries if there are none, otherwise the newer items.
  peer_reply answer(const state_digest& theirs) const;

 private:
  // The source of an item, which decides the instances that it is passed on to.
  enum class origin { written_here, store, other_domain, own_domain };

  void follow_store(monotonic_time now);
  void start_watch(std::uint64_t after_revision);
  void end_watch(const error& why);
  void exchange_digest(monotonic_time now);
  void send_digest(const std::string& address);
  void apply(const std::vector<state_item>& items, origin from);
  void pass_on(const state_push& push, origin from);
  void push_to(const std::vector<std::string>& names, const state_push& push);

  state_cache& cache_;
  const instance_directory& directory_;
  store_client& store_;
  peer_network& network_;
  domain_id domain_;
  std::mt19937_64 random_;
  std::function<void(std::function<void()>)> post_;
  std::function<void()> on_change_;
  std::function<void(const peer_identity&)> on_peer_;
  std::shared_ptr<void> watch_;
  std::uint64_t seen_revision_ = 0;  // all changes up to it are applied
  bool reading_ = false;
  std::optional<bool> store_reachable_;
  monotonic_time next_read_{};
  monotonic_time next_digest_{};
};

}  // namespace plantainpaddle
