// A greedy planner. First each range without a serving owner is cut into pieces, and each piece
// goes to the upstream that is least loaded at that point. Then each step moves one piece from the
// most loaded to the least loaded upstream, of the size that brings the two nearest to the mean, so
// that few keys change owners. A piece is cut from an end of a range, so that one cut never makes
// three ranges. If the most loaded upstream has no piece that fits, because of a key too busy for
// any share, that key stays and the others move, or it goes to a much faster upstream.
//
// Before that, hot upstreams are relieved, where the configuration allows it. A group of busy keys
// that are neighbours is found as the dense part of a range and is cut into pieces, which go to the
// upstreams that will be the least loaded with them: fast ones with room. A piece moves if it has
// less relative load there than at the hot upstream by a margin, even if it exceeds the mean, as it
// does if a single key is more than an upstream's share.
//
// Cost: O(keys) for the sums, and O(ranges + keys of the cut range) for each step.

#include "ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>

namespace plantainpaddle {
namespace {

// A piece above the target by more than this factor would only shift the overload.
constexpr double max_overshoot = 1.3;
// A piece below this fraction of the mean load per unit of capacity isn't worth the time for which
// a move leaves its keys without an owner.
constexpr double min_piece = 0.02;
// Share of an upstream's limit that its keys are given: what is above the mean by the planner's
// tolerance must fit too.
constexpr double used_share_of_limit = 0.8;
// Share of the requests that an upstream's slots can serve; above it they would wait long.
constexpr double used_share_of_slots = 0.92;
// A key that is too busy moves only to an upstream of at least this many times the capacity.
constexpr double min_speedup = 1.2;

// A piece goes from a hot upstream to another one only if that has at most this share of the hot
// one's relative load with it.
constexpr double max_relieved_share = 0.7;
// The dense part of a range is looked for by windows of so many keys.
constexpr std::uint32_t window_keys = 16;
// A window belongs to the dense part if it has at least this share of the load of the densest one.
constexpr double dense_share = 0.25;

struct piece {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  double load = 0;
};

bool same_keys(const piece& a, const piece& b) { return a.first == b.first && a.last == b.last; }

class greedy_planner {
 public:
  greedy_planner(const range_record& record, const std::vector<range_upstream>& upstreams,
                 const key_load& load, const range_plan_config& config)
      : config_(config), load_(load) {
    const double measured = load.total();
    uniform_load_ = (measured > 0 ? measured * config.uniform_share : 1) / (last_numbered_key + 1);
    for (const auto& upstream : upstreams) {
      if (!upstream.serving || upstream.capacity <= 0) continue;
      share& mine = shares_[upstream.name];
      mine.capacity = upstream.capacity;
      total_capacity_ += upstream.capacity;
    }
    for (const auto& entry : record.ranges) {
      const piece whole{entry.first, entry.last, load_of(entry.first, entry.last)};
      total_load_ += whole.load;
      const auto place = entry.owner ? shares_.find(*entry.owner) : shares_.end();
      if (place == shares_.end()) {
        unowned_.push_back(whole);
      } else {
        place->second.load += whole.load;
        // Keys that are still moving count for their new owner, but can't be moved again.
        if (entry.former.empty()) place->second.pieces.push_back(whole);
      }
    }
    range_count_ = record.ranges.size();
    const double counted =
        load.total() / static_cast<double>(std::max<std::size_t>(1, shares_.size()));
    noise_ = counted > 0 ? config.noise_deviations / std::sqrt(counted) : 0;
  }

  std::vector<range_move> plan() {
    if (shares_.empty()) return {};
    assign_unowned();
    relieve_hot();
    std::set<upstream_id> exhausted;
    for (std::size_t i = 0; i < config_.most_moves; ++i) {
      if (!balance_once(exhausted)) break;
    }
    return std::move(moves_);
  }

 private:
  struct share {
    double capacity = 0;
    double load = 0;
    std::vector<piece> pieces;
  };

  bool may_cut(double share = 1) const {
    return static_cast<double>(range_count_) < share * static_cast<double>(config_.most_ranges);
  }
  double load_of(std::uint32_t first, std::uint32_t last) const {
    return load_.sum(first, last) + uniform_load_ * (last - first + 1);
  }
  double relative(const share& s) const { return s.load / s.capacity; }
  double mean() const { return total_load_ / total_capacity_; }

  std::map<upstream_id, share>::iterator least_loaded() {
    return std::min_element(shares_.begin(), shares_.end(), [&](const auto& a, const auto& b) {
      return relative(a.second) < relative(b.second);
    });
  }

  void assign(const piece& what, const upstream_id& to) {
    moves_.push_back({what.first, what.last, to});
    auto& mine = shares_[to];
    mine.load += what.load;
  }

  // Cuts keys with a load of about `target` off the front of a piece: at least one key if
  // the target is above 0.
  piece cut_front(piece& from, double target) const {
    piece cut{from.first, from.first, 0};
    std::uint32_t next = from.first;
    while (next <= from.last && cut.load < target) {
      const double more = load_of(next, next);
      // Leaves out the key that would exceed the target if that is nearer to it.
      if (cut.load > 0 && cut.load + more - target > target - cut.load) break;
      cut.load += more;
      cut.last = next;
      ++next;
    }
    from.first = next;
    from.load -= cut.load;
    return cut;
  }

  // Cuts keys with a load of about `target` off the back of a piece.
  piece cut_back(piece& from, double target) const {
    piece front = from;
    from = cut_front(front, std::max(0.0, from.load - target));
    return front;
  }

  // Assigns the ranges without a serving owner, piece by piece, to the least loaded upstream.
  void assign_unowned() {
    const double mean_step =
        config_.piece_share * total_load_ / static_cast<double>(shares_.size());
    const double least_step =
        total_load_ / static_cast<double>(std::max<std::size_t>(1, config_.assigned_ranges));
    const double step = std::max(mean_step, least_step);
    for (piece range : unowned_) {
      while (range.first <= range.last && range.last <= last_numbered_key) {
        const bool whole = range.load <= step * 1.5 || range_count_ >= config_.most_ranges;
        const piece cut = whole ? range : cut_front(range, step);
        assign(cut, least_loaded()->first);
        ++range_count_;
        if (whole || cut.last == range.last) break;
      }
    }
  }

  bool is_hot(const share& s) const {
    const double expected = mean() * s.capacity;
    return s.load > config_.hot_ratio * expected &&
           s.load - expected > config_.hot_deviations * std::sqrt(expected);
  }

  // Moves pieces from hot upstreams, the most loaded one first.
  void relieve_hot() {
    std::set<upstream_id> being_relieved;
    std::set<upstream_id> exhausted;
    for (std::size_t moved = 0; moved < config_.most_relief_moves;) {
      auto hottest = shares_.end();
      for (auto place = shares_.begin(); place != shares_.end(); ++place) {
        if (exhausted.contains(place->first) || place->second.pieces.empty()) continue;
        if (hottest == shares_.end() || relative(place->second) > relative(hottest->second)) {
          hottest = place;
        }
      }
      if (hottest == shares_.end()) return;
      auto& from = hottest->second;
      if (relative(from) <= mean() * (1 + config_.relieved_tolerance)) return;
      if (!being_relieved.contains(hottest->first) && !is_hot(from)) {
        exhausted.insert(hottest->first);
        continue;
      }
      being_relieved.insert(hottest->first);
      if (relieve_once(hottest->first, from)) {
        ++moved;
      } else {
        exhausted.insert(hottest->first);
      }
    }
  }

  // Moves a piece of the dense part of the upstream's busiest range to the upstream that will be
  // the least loaded with it. Returns false if that doesn't pay.
  bool relieve_once(const upstream_id& owner, share& from) {
    const auto busiest =
        std::max_element(from.pieces.begin(), from.pieces.end(),
                         [](const piece& a, const piece& b) { return a.load < b.load; });
    const double excess = from.load - mean() * from.capacity;
    double room = min_piece * mean();
    for (const auto& [name, s] : shares_) {
      if (name != owner) room = std::max(room, mean() * s.capacity - s.load);
    }
    piece moved = *busiest;
    if (moved.load > room * max_overshoot) {
      if (!may_cut()) return false;
      piece dense = dense_part(*busiest);
      moved = cut_front(dense, std::min(excess, room));
    }
    if (moved.load < min_piece * mean()) return false;
    auto to = shares_.end();
    const auto with_piece = [&](const share& s) { return (s.load + moved.load) / s.capacity; };
    for (auto place = shares_.begin(); place != shares_.end(); ++place) {
      if (place->first == owner) continue;
      if (to == shares_.end() || with_piece(place->second) < with_piece(to->second)) to = place;
    }
    if (to == shares_.end() || with_piece(to->second) > max_relieved_share * relative(from)) {
      return false;
    }
    remove_from_owner(from, static_cast<std::size_t>(busiest - from.pieces.begin()), moved);
    assign(moved, to->first);
    return true;
  }

  // Returns the part of the piece that has most of its load: from the first to the last of the
  // windows with enough load, without the quiet keys at its ends.
  piece dense_part(const piece& source) const {
    if (source.last - source.first < window_keys) return source;
    std::vector<double> windows;
    double sum = load_of(source.first, source.first + window_keys - 1);
    double densest = sum;
    windows.push_back(sum);
    for (std::uint32_t key = source.first + window_keys; key <= source.last; ++key) {
      sum += load_of(key, key) - load_of(key - window_keys, key - window_keys);
      windows.push_back(sum);
      densest = std::max(densest, sum);
    }
    const double enough = dense_share * densest;
    const auto is_dense = [&](double load) { return load >= enough; };
    const auto front = std::find_if(windows.begin(), windows.end(), is_dense);
    const auto back = std::find_if(windows.rbegin(), windows.rend(), is_dense);
    piece dense{source.first + static_cast<std::uint32_t>(front - windows.begin()),
                source.last - static_cast<std::uint32_t>(back - windows.rbegin()), 0};
    const double quiet = dense_share * densest / window_keys;
    while (dense.first < dense.last && load_of(dense.first, dense.first) < quiet) ++dense.first;
    while (dense.first < dense.last && load_of(dense.last, dense.last) < quiet) --dense.last;
    dense.load = load_of(dense.first, dense.last);
    return dense;
  }

  // Plans one move from the most to the least loaded upstream. Returns false if the load is
  // balanced or no upstream is left to move keys from. `exhausted` collects the upstreams without a
  // piece that fits.
  bool balance_once(std::set<upstream_id>& exhausted) {
    auto hottest = shares_.end();
    for (auto place = shares_.begin(); place != shares_.end(); ++place) {
      if (exhausted.contains(place->first) || place->second.pieces.empty()) continue;
      if (hottest == shares_.end() || relative(place->second) > relative(hottest->second)) {
        hottest = place;
      }
    }
    if (hottest == shares_.end()) return false;
    const auto coldest = least_loaded();
    const double tolerance = balancing_ ? std::max(config_.settled_tolerance, noise_ / 2)
                                        : std::max(config_.tolerance, noise_);
    const double least = balancing_ ? std::min(config_.settled_least_share, 1 - noise_ / 2)
                                    : std::min(config_.least_share, 1 - noise_);
    balancing_ = relative(hottest->second) > mean() * (1 + tolerance) ||
                 relative(coldest->second) < mean() * least;
    if (!balancing_ || coldest == hottest || relative(hottest->second) <= mean()) return false;
    auto& from = hottest->second;
    const auto& to = coldest->second;
    const double target =
        std::min(from.load - mean() * from.capacity, mean() * to.capacity - to.load);
    if (target <= 0) return false;
    std::sort(from.pieces.begin(), from.pieces.end(),
              [](const piece& a, const piece& b) { return a.load > b.load; });
    for (std::size_t i = 0; i < from.pieces.size(); ++i) {
      const piece source = from.pieces[i];
      const bool whole = source.load <= target * max_overshoot;
      if (!whole && !may_cut(config_.balance_ranges_share)) continue;
      const piece moved = whole ? source : cut_nearer_side(source, target);
      // The overload of a key that is too busy would only move with it.
      if (moved.load > target * max_overshoot || moved.load < min_piece * mean()) continue;
      remove_from_owner(from, i, moved);
      assign(moved, coldest->first);
      return true;
    }
    if (!exhausted.insert(hottest->first).second) return true;
    return move_busiest_key(hottest->first);
  }

  // Moves the busiest key of an overloaded upstream, which would overload any other as well, to the
  // upstream that can serve most of it, if that one is faster by min_speedup and hasn't been given
  // such a key before. Returns true, since other upstreams may still have pieces to move.
  bool move_busiest_key(const upstream_id& owner) {
    auto& from = shares_[owner];
    const auto fastest = std::max_element(
        shares_.begin(), shares_.end(),
        [](const auto& a, const auto& b) { return a.second.capacity < b.second.capacity; });
    if (fastest->second.capacity < from.capacity * min_speedup) return true;
    if (from.pieces.empty() || !may_cut()) return true;
    if (!key_receivers_.insert(fastest->first).second) return true;
    piece source = from.pieces.front();
    const piece key = busiest_key(source);
    const bool at_end = key.first == source.first || key.last == source.last;
    const piece moved = at_end ? key : cut_lighter_end(source, key.first);
    remove_from_owner(from, 0, moved);
    assign(moved, fastest->first);
    return true;
  }

  piece busiest_key(const piece& source) const {
    piece best{source.first, source.first, load_of(source.first, source.first)};
    for (std::uint32_t key = source.first; key <= source.last; ++key) {
      const double load = load_of(key, key);
      if (load > best.load) best = {key, key, load};
    }
    return best;
  }

  // Returns the part of the piece from one of its ends up to the key, whichever has less load.
  piece cut_lighter_end(const piece& source, std::uint32_t key) const {
    const double front = load_of(source.first, key);
    const double back = load_of(key, source.last);
    return front <= back ? piece{source.first, key, front} : piece{key, source.last, back};
  }

  // Removes `moved`, which lies within piece i, from its owner.
  void remove_from_owner(share& from, std::size_t i, const piece& moved) {
    piece& source = from.pieces[i];
    from.load -= moved.load;
    if (same_keys(moved, source)) {
      from.pieces.erase(from.pieces.begin() + static_cast<std::ptrdiff_t>(i));
      return;
    }
    if (moved.first == source.first) {
      source.first = moved.last + 1;
    } else if (moved.last != source.last) {
      const piece back{moved.last + 1, source.last, load_of(moved.last + 1, source.last)};
      source.last = moved.first - 1;
      source.load = load_of(source.first, source.last);
      ++range_count_;
      from.pieces.push_back(back);  // invalidates `source`
      ++range_count_;
      return;
    } else {
      source.last = moved.first - 1;
    }
    source.load = load_of(source.first, source.last);
    ++range_count_;
  }

  // Cuts from the front or the back, whichever comes nearer to the target.
  piece cut_nearer_side(const piece& source, double target) const {
    piece rest = source;
    const piece front = cut_front(rest, target);
    rest = source;
    const piece back = cut_back(rest, target);
    const bool front_is_nearer = std::abs(front.load - target) <= std::abs(back.load - target);
    const piece& cut = front_is_nearer || back.first > back.last ? front : back;
    return cut.first == source.first && cut.last == source.last ? source : cut;
  }

  const range_plan_config& config_;
  const key_load& load_;
  double uniform_load_ = 0;
  double total_capacity_ = 0;
  double total_load_ = 0;
  std::size_t range_count_ = 0;
  std::map<upstream_id, share> shares_;
  std::vector<piece> unowned_;
  double noise_ = 0;  // deviation from the mean load, relative to it, that may be chance
  bool balancing_ = false;
  std::set<upstream_id> key_receivers_;  // were given a key that is too busy for the others
  std::vector<range_move> moves_;
};

}  // namespace

range_plan_config range_plan_config::for_hot_keys() {
  range_plan_config config;
  // The cuts of two hot groups of a day filled a record of 512 ranges, so that a third one couldn't
  // be spread. Each range takes a renewal of its grant every 600 ms, which bounds their number.
  config.most_ranges = 768;
  config.balance_ranges_share = 0.6;
  config.noise_deviations = 2.8;
  config.most_relief_moves = 32;
  return config;
}

key_load::key_load(duration memory) : memory_(memory), keys_(last_numbered_key + 1) {}

void key_load::add(std::uint32_t key, double requests) {
  if (key > last_numbered_key) return;
  keys_[key] += static_cast<float>(requests);
  total_ += requests;
}

void key_load::age(monotonic_time now) {
  if (last_aged_ == monotonic_time{}) last_aged_ = now;
  const double span = std::chrono::duration<double>(now - last_aged_).count();
  const auto kept =
      static_cast<float>(std::exp(-span / std::chrono::duration<double>(memory_).count()));
  last_aged_ = now;
  total_ *= kept;
  for (auto& load : keys_) load *= kept;
}

void key_load::clear() {
  std::fill(keys_.begin(), keys_.end(), 0.0F);
  total_ = 0;
}

double key_load::sum(std::uint32_t first, std::uint32_t last) const {
  return std::accumulate(keys_.begin() + first, keys_.begin() + last + 1, 0.0);
}

double key_load::max_per_key() const { return *std::max_element(keys_.begin(), keys_.end()); }

// Upstreams whose limit is below their share of the load get the limit, and the others share what
// is left; which raises their shares, so that further limits may be exceeded.
std::vector<range_upstream> apply_limits(std::vector<range_upstream> upstreams,
                                         const std::map<upstream_id, double>& limits,
                                         double requests_per_s) {
  constexpr double unlimited = std::numeric_limits<double>::infinity();
  const auto limit_of = [&](const range_upstream& upstream) {
    const auto it = limits.find(upstream.name);
    return it == limits.end() ? unlimited : it->second * used_share_of_limit;
  };
  std::vector<bool> limited(upstreams.size(), false);
  double rate_per_capacity = 0;
  double limited_rate = 0;  // of all upstreams with a limit
  for (bool changed = true; changed;) {
    changed = false;
    limited_rate = 0;
    double capacity = 0;
    double most = 0;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (!upstreams[i].serving) continue;
      if (limited[i]) {
        limited_rate += limit_of(upstreams[i]);
      } else {
        capacity += upstreams[i].capacity;
        most += upstreams[i].most_requests_per_s.value_or(unlimited) * used_share_of_slots;
      }
    }
    if (capacity <= 0) break;
    const double others = std::min(most, requests_per_s - limited_rate);
    rate_per_capacity = std::max(rate_per_capacity, others / capacity);
    if (others == most) limited_rate = requests_per_s - most;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      const auto& upstream = upstreams[i];
      if (limited[i] || limit_of(upstream) >= rate_per_capacity * upstream.capacity) continue;
      limited[i] = changed = true;
    }
  }
  if (rate_per_capacity <= 0) return upstreams;
  double limits_in_force = 0;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    if (limited[i] && upstreams[i].serving) limits_in_force += limit_of(upstreams[i]);
  }
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    if (!limited[i]) continue;
    const double overload = std::max(1.0, limited_rate / limits_in_force);
    upstreams[i].capacity = limit_of(upstreams[i]) * overload / rate_per_capacity;
  }
  return upstreams;
}

range_balance measure_balance(const range_record& record,
                              const std::vector<range_upstream>& upstreams, const key_load& load) {
  range_balance found{.requests = load.total()};
  if (load.total() <= 0) return found;
  std::map<upstream_id, double> loads;
  for (const auto& entry : record.ranges) {
    if (entry.owner) loads[*entry.owner] += load.sum(entry.first, entry.last);
  }
  double capacity = 0;
  for (const auto& upstream : upstreams) capacity += upstream.serving ? upstream.capacity : 0;
  for (const auto& upstream : upstreams) {
    if (upstream.capacity <= 0) continue;
    const double ratio = loads[upstream.name] / upstream.capacity / (load.total() / capacity);
    if (ratio <= found.busiest_ratio) continue;
    found.busiest_ratio = ratio;
    found.busiest = upstream.name;
  }
  found.busiest_key = load.max_per_key() / load.total();
  return found;
}

std::vector<range_move> plan_ranges(const range_record& record,
                                    const std::vector<range_upstream>& upstreams,
                                    const key_load& load, const range_plan_config& config) {
  return greedy_planner(record, upstreams, load, config).plan();
}

}  // namespace plantainpaddle
