// Greedy: every step takes the move that brings the most loaded and the least loaded upstream
// nearest to the mean, so that few keys change hands. A piece is cut from the edge of a range, so
// that a range is never cut in three. A key too busy for any upstream's share stays where it is,
// and the other keys of its owner go. Costs O(keys) for the sums and O(ranges + keys of the cut
// range) a step.
#include "ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>

namespace plantainpaddle {
namespace {

// Moves of more than what is wanted by this factor only shift the overload; moves of less than this
// share of the mean load of an upstream aren't worth a moment without owner.
constexpr double most_overstep = 1.3;
constexpr double least_piece = 0.02;
constexpr double worthwhile_speed = 1.2;  // of the capacities, to move a key that is too busy

struct piece {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  double load = 0;
};

bool same_keys(const piece& a, const piece& b) { return a.first == b.first && a.last == b.last; }

class planning {
 public:
  planning(const range_record& record, const std::vector<range_upstream>& upstreams,
           const key_load& load, const range_plan_config& config)
      : config_(config), load_(load) {
    const double measured = load.total();
    even_ = (measured > 0 ? measured * config.even_share : 1) / (last_numbered_key + 1);
    for (const auto& upstream : upstreams) {
      if (!upstream.serving || upstream.capacity <= 0) continue;
      share& mine = shares_[upstream.name];
      mine.capacity = upstream.capacity;
      capacity_ += upstream.capacity;
    }
    for (const auto& entry : record.ranges) {
      const piece whole{entry.first, entry.last, load_of(entry.first, entry.last)};
      total_ += whole.load;
      const auto place = entry.owner ? shares_.find(*entry.owner) : shares_.end();
      if (place == shares_.end()) {
        orphans_.push_back(whole);
      } else {
        place->second.load += whole.load;
        // Keys that are on their way already stay where they go.
        if (entry.former.empty()) place->second.pieces.push_back(whole);
      }
    }
    ranges_ = record.ranges.size();
    const double counted =
        load.total() / static_cast<double>(std::max<std::size_t>(1, shares_.size()));
    scatter_ = counted > 0 ? config.scatter / std::sqrt(counted) : 0;
  }

  std::vector<range_move> plan() {
    if (shares_.empty()) return {};
    deal_out();
    std::set<upstream_id> stuck;
    for (std::size_t i = 0; i < config_.most_moves && ranges_ < config_.most_ranges; ++i) {
      if (!balance_once(stuck)) break;
    }
    return std::move(moves_);
  }

 private:
  struct share {
    double capacity = 0;
    double load = 0;
    std::vector<piece> pieces;
  };

  double load_of(std::uint32_t first, std::uint32_t last) const {
    return load_.of(first, last) + even_ * (last - first + 1);
  }
  double relative(const share& s) const { return s.load / s.capacity; }
  double mean() const { return total_ / capacity_; }

  std::map<upstream_id, share>::iterator least_loaded() {
    return std::min_element(shares_.begin(), shares_.end(), [&](const auto& a, const auto& b) {
      return relative(a.second) < relative(b.second);
    });
  }

  void give(const piece& what, const upstream_id& to) {
    moves_.push_back({what.first, what.last, to});
    auto& mine = shares_[to];
    mine.load += what.load;
  }

  // Cuts about `wanted` of load off the start of a piece, at least one key.
  piece cut_front(piece& from, double wanted) const {
    piece cut{from.first, from.first, 0};
    std::uint32_t next = from.first;
    while (next <= from.last && cut.load < wanted) {
      const double more = load_of(next, next);
      // The key that oversteps is left out if that is nearer to what is wanted.
      if (cut.load > 0 && cut.load + more - wanted > wanted - cut.load) break;
      cut.load += more;
      cut.last = next;
      ++next;
    }
    from.first = next;
    from.load -= cut.load;
    return cut;
  }

  piece cut_back(piece& from, double wanted) const {
    piece front = from;
    from = cut_front(front, std::max(0.0, from.load - wanted));
    return front;
  }

  void deal_out() {
    const double step = config_.piece_share * total_ / static_cast<double>(shares_.size());
    for (piece orphan : orphans_) {
      while (orphan.first <= orphan.last && orphan.last <= last_numbered_key) {
        const bool whole = orphan.load <= step * 1.5 || ranges_ >= config_.most_ranges;
        const piece cut = whole ? orphan : cut_front(orphan, step);
        give(cut, least_loaded()->first);
        ++ranges_;
        if (whole || cut.last == orphan.last) break;
      }
    }
  }

  // One move from the most to the least loaded upstream; false if they are even enough.
  bool balance_once(std::set<upstream_id>& stuck) {
    auto hottest = shares_.end();
    for (auto place = shares_.begin(); place != shares_.end(); ++place) {
      if (stuck.contains(place->first) || place->second.pieces.empty()) continue;
      if (hottest == shares_.end() || relative(place->second) > relative(hottest->second)) {
        hottest = place;
      }
    }
    if (hottest == shares_.end()) return false;
    const auto coldest = least_loaded();
    const double tolerance = balancing_ ? std::max(config_.settled_tolerance, scatter_ / 2)
                                        : std::max(config_.tolerance, scatter_);
    const double least = balancing_ ? std::min(config_.settled_least_share, 1 - scatter_ / 2)
                                    : std::min(config_.least_share, 1 - scatter_);
    balancing_ = relative(hottest->second) > mean() * (1 + tolerance) ||
                 relative(coldest->second) < mean() * least;
    if (!balancing_ || coldest == hottest || relative(hottest->second) <= mean()) return false;
    auto& from = hottest->second;
    const auto& to = coldest->second;
    const double wanted =
        std::min(from.load - mean() * from.capacity, mean() * to.capacity - to.load);
    if (wanted <= 0) return false;
    std::sort(from.pieces.begin(), from.pieces.end(),
              [](const piece& a, const piece& b) { return a.load > b.load; });
    for (std::size_t i = 0; i < from.pieces.size(); ++i) {
      const piece source = from.pieces[i];
      const bool whole = source.load <= wanted * most_overstep;
      const piece moved = whole ? source : cut_smaller_side(source, wanted);
      // A key too busy to be moved: that would only move the overload.
      if (moved.load > wanted * most_overstep || moved.load < least_piece * mean()) continue;
      keep_rest(from, i, moved);
      give(moved, coldest->first);
      return true;
    }
    if (!stuck.insert(hottest->first).second) return true;
    return move_to_fastest(hottest->first);
  }

  // The busiest key of an upstream that no other can take over without being overloaded goes to
  // where the most of it can be served.
  bool move_to_fastest(const upstream_id& owner) {
    auto& from = shares_[owner];
    const auto fastest = std::max_element(
        shares_.begin(), shares_.end(),
        [](const auto& a, const auto& b) { return a.second.capacity < b.second.capacity; });
    if (fastest->second.capacity < from.capacity * worthwhile_speed) return true;
    if (from.pieces.empty() || !stuck_.insert(fastest->first).second) return true;
    piece source = from.pieces.front();
    const piece key = busiest_key(source);
    const bool at_end = key.first == source.first || key.last == source.last;
    const piece moved = at_end ? key : cut_towards(source, key.first);
    keep_rest(from, 0, moved);
    give(moved, fastest->first);
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

  // The smaller end of the piece that has the key.
  piece cut_towards(const piece& source, std::uint32_t key) const {
    const double front = load_of(source.first, key);
    const double back = load_of(key, source.last);
    return front <= back ? piece{source.first, key, front} : piece{key, source.last, back};
  }

  // Takes `moved`, which is at an end of the piece, off it.
  void keep_rest(share& from, std::size_t i, const piece& moved) {
    piece& source = from.pieces[i];
    from.load -= moved.load;
    if (same_keys(moved, source)) {
      from.pieces.erase(from.pieces.begin() + static_cast<std::ptrdiff_t>(i));
      return;
    }
    if (moved.first == source.first) {
      source.first = moved.last + 1;
    } else {
      source.last = moved.first - 1;
    }
    source.load = load_of(source.first, source.last);
    ++ranges_;
  }

  // From the front or the back, whichever comes nearer to what is wanted.
  piece cut_smaller_side(const piece& source, double wanted) const {
    piece rest = source;
    const piece front = cut_front(rest, wanted);
    rest = source;
    const piece back = cut_back(rest, wanted);
    const bool front_is_nearer = std::abs(front.load - wanted) <= std::abs(back.load - wanted);
    const piece& cut = front_is_nearer || back.first > back.last ? front : back;
    return cut.first == source.first && cut.last == source.last ? source : cut;
  }

  const range_plan_config& config_;
  const key_load& load_;
  double even_ = 0;
  double capacity_ = 0;
  double total_ = 0;
  std::size_t ranges_ = 0;
  std::map<upstream_id, share> shares_;
  std::vector<piece> orphans_;
  double scatter_ = 0;  // of an upstream's load by chance, relative to the mean
  bool balancing_ = false;
  std::set<upstream_id> stuck_;  // have been given a key that is too busy for the others
  std::vector<range_move> moves_;
};

}  // namespace

key_load::key_load(duration memory) : memory_(memory), keys_(last_numbered_key + 1) {}

void key_load::add(std::uint32_t key, double requests) {
  if (key > last_numbered_key) return;
  keys_[key] += static_cast<float>(requests);
  total_ += requests;
}

void key_load::age(monotonic_time now) {
  if (aged_ == monotonic_time{}) aged_ = now;
  const double span = std::chrono::duration<double>(now - aged_).count();
  const auto kept =
      static_cast<float>(std::exp(-span / std::chrono::duration<double>(memory_).count()));
  aged_ = now;
  total_ *= kept;
  for (auto& load : keys_) load *= kept;
}

double key_load::of(std::uint32_t first, std::uint32_t last) const {
  return std::accumulate(keys_.begin() + first, keys_.begin() + last + 1, 0.0);
}

double key_load::of_busiest_key() const { return *std::max_element(keys_.begin(), keys_.end()); }

range_balance measure_balance(const range_record& record,
                              const std::vector<range_upstream>& upstreams, const key_load& load) {
  range_balance found{.requests = load.total()};
  if (load.total() <= 0) return found;
  std::map<upstream_id, double> loads;
  for (const auto& entry : record.ranges) {
    if (entry.owner) loads[*entry.owner] += load.of(entry.first, entry.last);
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
  found.busiest_key = load.of_busiest_key() / load.total();
  return found;
}

std::vector<range_move> plan_ranges(const range_record& record,
                                    const std::vector<range_upstream>& upstreams,
                                    const key_load& load, const range_plan_config& config) {
  return planning(record, upstreams, load, config).plan();
}

}  // namespace plantainpaddle
