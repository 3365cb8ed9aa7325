// Keeps the state cache in step with the store and the other instances.
//
// Per failure domain a watcher and its deputy follow the store by one watch each and push what is
// new to the other instances of their domain. A value that this instance wrote itself is pushed at
// once to its own domain and to the watchers of the others, who pass it on. A digest exchange with
// one other instance a second repairs what was missed, so that no push has to be repeated.
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

class state_spreader {
 public:
  // post runs work on the control thread; it may be called on any thread. on_change is called after
  // the cache has changed.
  state_spreader(state_cache& cache, const instance_directory& directory, store_client& store,
                 peer_network& network, domain_id domain, std::uint64_t seed,
                 std::function<void(std::function<void()>)> post, std::function<void()> on_change,
                 std::function<void(const peer_identity&)> on_peer);

  void tick(monotonic_time now);
  // Whether the store answered last; nothing if this instance isn't a watcher.
  std::optional<bool> store_reachable() const { return store_reachable_; }

  // A value that this instance has just written to the store.
  void written(const state_item& item);
  void received(const domain_id& from, const state_push& push);
  peer_reply answer(const state_digest& theirs) const;

 private:
  // Where an item came from, which decides whom it is passed on to.
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
  std::uint64_t seen_revision_ = 0;  // all changes up to it have been seen
  bool reading_ = false;
  std::optional<bool> store_reachable_;
  monotonic_time next_read_{};
  monotonic_time next_digest_{};
};

}  // namespace plantainpaddle
