// A connection that the other side closed while it was idle shows at once in a peek, so that nearly
// no request is written to a dead one; what slips through is told as unknown or repeated.
#include "upstream/pool.h"

#include <algorithm>
#include <atomic>

namespace plantainpaddle {

namespace {

std::atomic<std::uint64_t> last_connection_number{0};

}  // namespace

std::unique_ptr<upstream_connection> connection_pool::take_idle(const std::string& address,
                                                                const idle_use& use,
                                                                monotonic_time now) {
  const auto place = addresses_.find(address);
  if (place == addresses_.end()) return nullptr;
  auto& state = place->second;
  for (std::size_t next = state.idle.size(); next-- > 0;) {
    const auto& idle = *state.idle[next];
    if (use.request && !idle.carried.may_carry(*use.request)) continue;
    if (use.trusted_in && !trust_.allows(*use.trusted_in, now - idle.idle_since, now)) continue;
    auto taken = std::move(state.idle[next]);
    state.idle.erase(state.idle.begin() + static_cast<std::ptrdiff_t>(next));
    if (is_fresh(*taken, now) && peek_peer(taken->socket) == peer_state::quiet) {
      taken->reused = true;
      taken->idle_for = now - taken->idle_since;
      return taken;
    }
    --state.open;
  }
  return nullptr;
}

std::unique_ptr<upstream_connection> connection_pool::reserve(const std::string& address,
                                                              std::size_t limit) {
  auto& state = addresses_[address];
  const auto room = room_for_connection(state.open, state.idle.size(), limit);
  if (room == connection_room::wait) return nullptr;
  if (room == connection_room::replace) {
    state.idle.erase(state.idle.begin());
    --state.open;
  }
  ++state.open;
  auto made = std::make_unique<upstream_connection>(executor_);
  made->address = address;
  made->number = last_connection_number.fetch_add(1, std::memory_order_relaxed) + 1;
  return made;
}

void connection_pool::keep(std::unique_ptr<upstream_connection> done, monotonic_time now) {
  if (done->carried.is_full()) return drop(std::move(done));
  auto& state = addresses_[done->address];
  done->idle_since = now;
  state.idle.push_back(std::move(done));
  wake_next(state);
}

void connection_pool::drop(std::unique_ptr<upstream_connection> done) {
  auto& state = addresses_[done->address];
  --state.open;
  done.reset();
  wake_next(state);
}

bool connection_pool::is_fresh(const upstream_connection& idle, monotonic_time now) {
  const bool stated = idle.keep_for > duration::zero();
  const duration most = stated ? std::min(idle_time, idle.keep_for - idle_margin) : idle_time;
  return now - idle.idle_since < most;
}

void connection_pool::wake_next(address_state& state) {
  if (state.waiting.empty()) return;
  const auto wake = std::move(state.waiting.front().wake);
  state.waiting.pop_front();
  wake();
}

std::uint64_t connection_pool::wait(const std::string& address, std::function<void()> wake) {
  if (waiting_ >= max_waiting) return 0;
  ++waiting_;
  addresses_[address].waiting.push_back({++tickets_, std::move(wake)});
  return tickets_;
}

void connection_pool::stop_waiting(const std::string& address, std::uint64_t ticket, bool took) {
  auto& state = addresses_[address];
  --waiting_;
  const auto removed =
      std::erase_if(state.waiting, [&](const waiter& w) { return w.ticket == ticket; });
  if (removed == 0 && !took) wake_next(state);  // it was woken: the next one takes its turn
}

void connection_pool::retire_idle(monotonic_time now) {
  for (auto& [address, state] : addresses_) {
    state.open -= std::erase_if(state.idle, [&](const auto& connection) {
      return !is_fresh(*connection, now) || peek_peer(connection->socket) != peer_state::quiet;
    });
  }
  std::erase_if(addresses_, [](const auto& entry) {
    return entry.second.open == 0 && entry.second.waiting.empty();
  });
}

void connection_pool::close_idle() {
  for (auto& [address, state] : addresses_) {
    state.open -= state.idle.size();
    state.idle.clear();
  }
}

void connection_pool::close_idle(const std::string& address) {
  const auto place = addresses_.find(address);
  if (place == addresses_.end()) return;
  place->second.open -= place->second.idle.size();
  place->second.idle.clear();
}

std::size_t connection_pool::open(const std::string& address) const {
  const auto place = addresses_.find(address);
  return place == addresses_.end() ? 0 : place->second.open;
}

std::size_t connection_pool::idle() const {
  std::size_t count = 0;
  for (const auto& [address, state] : addresses_) count += state.idle.size();
  return count;
}

}  // namespace plantainpaddle
