// Greedy: every step takes the move that brings the most loaded and the least loaded upstream
// nearest to the mean, so that few keys change hands. A piece is cut from the edge of a range, so
// that a range is never cut in three. Costs O(buckets) for the sums and O(ranges + buckets of the
// cut range) a step.
#include "ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace plantainpaddle {
namespace {

constexpr std::uint32_t bucket_count = (last_numbered_key + 1) / key_load::keys_per_bucket;

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

  // Cuts about `wanted` of load off the start of a piece, at least one bucket.
  piece cut_front(piece& from, double wanted) const {
    piece cut{from.first, from.first, 0};
    std::uint32_t next = from.first;
    while (next <= from.last && cut.load < wanted) {
      const std::uint32_t end =
          std::min(from.last, (next / key_load::keys_per_bucket + 1) * key_load::keys_per_bucket - 1);
      const double bucket = load_of(next, end);
      // The bucket that oversteps is left out if that is nearer to what is wanted.
      if (cut.load > 0 && cut.load + bucket - wanted > wanted - cut.load) break;
      cut.load += bucket;
      cut.last = end;
      next = end + 1;
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
    const bool uneven = relative(hottest->second) > mean() * (1 + config_.tolerance) ||
                        relative(coldest->second) < mean() * config_.least_share;
    if (!uneven || coldest == hottest || relative(hottest->second) <= mean()) return false;
    auto& from = hottest->second;
    const auto& to = coldest->second;
    const double wanted = std::min(from.load - mean() * from.capacity,
                                   mean() * to.capacity - to.load);
    if (wanted <= 0) return false;
    const auto busiest = std::max_element(from.pieces.begin(), from.pieces.end(),
                                          [](const auto& a, const auto& b) { return a.load < b.load; });
    piece source = *busiest;
    piece moved = source.load <= wanted * 1.2 ? source : cut_smaller_side(source, wanted);
    // A bucket too hot to be cut: moving it would only move the overload.
    if (moved.load > wanted * 2 || moved.load <= 0) {
      stuck.insert(hottest->first);
      return true;
    }
    if (same_keys(moved, source)) {
      from.pieces.erase(busiest);
    } else {
      *busiest = moved.first == source.first ? piece{moved.last + 1, source.last, 0}
                                             : piece{source.first, moved.first - 1, 0};
      busiest->load = load_of(busiest->first, busiest->last);
      ++ranges_;
    }
    from.load -= moved.load;
    give(moved, coldest->first);
    return true;
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
  std::vector<range_move> moves_;
};

}  // namespace

key_load::key_load(duration memory) : memory_(memory), buckets_(bucket_count) {}

void key_load::add(std::uint32_t key, double requests) {
  if (key > last_numbered_key) return;
  buckets_[key / keys_per_bucket] += static_cast<float>(requests);
  total_ += requests;
}

void key_load::age(monotonic_time now) {
  if (aged_ == monotonic_time{}) aged_ = now;
  const double span = std::chrono::duration<double>(now - aged_).count();
  const double kept = std::exp(-span / std::chrono::duration<double>(memory_).count());
  aged_ = now;
  total_ = 0;
  for (auto& bucket : buckets_) {
    bucket *= static_cast<float>(kept);
    total_ += bucket;
  }
}

double key_load::of(std::uint32_t first, std::uint32_t last) const {
  double sum = 0;
  for (auto bucket = first / keys_per_bucket; bucket <= last / keys_per_bucket; ++bucket) {
    const std::uint32_t begin = std::max(first, bucket * keys_per_bucket);
    const std::uint32_t end = std::min(last, (bucket + 1) * keys_per_bucket - 1);
    sum += buckets_[bucket] * (end - begin + 1) / keys_per_bucket;
  }
  return sum;
}

std::vector<range_move> plan_ranges(const range_record& record,
                                    const std::vector<range_upstream>& upstreams,
                                    const key_load& load, const range_plan_config& config) {
  return planning(record, upstreams, load, config).plan();
}

}  // namespace plantainpaddle
