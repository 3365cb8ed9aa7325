// The account of the memory that a process holds for its callers' connections, and the decision who
// is refused or closed when it is used up: the largest holder that makes no progress, not the
// newest ordinary caller.
//
//   memory_budget budget({.bytes = 24 << 20});
//   budget.open(id, now);
//   auto verdict = budget.request(id, held_kind::bodies, 4096, now);
//   for (auto victim : verdict.victims) end(victim);
//   if (verdict.granted) budget.add(id, held_kind::bodies, 4096); else refuse(id);
//
// A holder is one connection of a caller. It can become a victim only while it waits for its caller
// to send or to read: whoever waits for an upstream or for capacity is not at fault. Of these,
// those without progress for at least `stall` come first, the largest first; then the others, if
// they hold more than `dominance` times what the one that asks would. Each round frees relief_share
// of the budget, so that the cost of a round, which looks at all holders, is spread over many
// requests; other calls cost constant time. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

enum class held_kind : std::uint8_t {
  heads,               // connections, and the buffers and parsers of their current request
  bodies,              // of requests, read before they are sent
  pipelined,           // requests of a connection behind its first one
  unread_responses,    // that the caller hasn't read
  upstream_responses,  // that are being read from upstreams
};
inline constexpr std::size_t held_kind_count = 5;
std::string_view held_kind_name(held_kind kind) noexcept;

struct memory_budget_limits {
  std::size_t bytes = 128 << 20;  // of all kinds together
  // Most of `bytes` that a kind may take.
  std::array<double, held_kind_count> shares{0.6, 0.5, 0.25, 0.5, 0.5};
  duration stall = milliseconds(500);  // without progress
};

class memory_budget {
 public:
  using holder_id = std::uint64_t;

  // Share of the budget that a round of victims frees at least.
  static constexpr double relief_share = 0.125;
  // With 1, callers that make equal progress would end each other shortly before they are done.
  static constexpr std::size_t dominance = 2;
  // Ending smaller holders, such as idle connections, would free little.
  static constexpr std::size_t min_victim = 8 << 10;
  // With `stall`, a caller that moves fewer bytes makes no progress: 64 kbit/s.
  static constexpr std::size_t progress_bytes = 4 << 10;
  // Above this share of the budget, a connection's next request is read only once there is no
  // other.
  static constexpr double read_ahead_share = 0.5;

  struct verdict {
    bool granted = false;
    std::vector<holder_id> victims;  // to be ended now; each is named once
  };

  explicit memory_budget(const memory_budget_limits& limits) : limits_(limits) {}

  void open(holder_id id, monotonic_time now);
  // Forgets the holder and all that it holds.
  void close(holder_id id);

  // Asks for more bytes. They aren't added: add() does that.
  verdict request(holder_id id, held_kind kind, std::size_t bytes, monotonic_time now);
  void add(holder_id id, held_kind kind, std::size_t bytes);
  void remove(holder_id id, held_kind kind, std::size_t bytes);

  // The caller has sent or taken bytes. progress_bytes of them count as progress.
  void on_bytes(holder_id id, std::size_t bytes, monotonic_time now);
  // Whether the holder waits for its caller; it does from the begin.
  void set_waits_for_caller(holder_id id, bool waits, monotonic_time now);

  // The holder that has waited for its caller for longest, at least `stall`; 0: none. It becomes a
  // victim. For a connection that is to make room for a new one.
  holder_id choose_longest_waiting(monotonic_time now);

  bool may_read_ahead() const;
  std::size_t held() const { return total_; }
  std::size_t held(held_kind kind) const { return kinds_[static_cast<std::size_t>(kind)]; }
  std::size_t holders() const { return holders_.size(); }

 private:
  using sizes = std::array<std::size_t, held_kind_count>;
  struct holder {
    sizes bytes{};
    std::size_t total = 0;
    bool waits = true;
    bool ending = false;  // a victim that hasn't been closed yet
    monotonic_time progress{};
    std::size_t moved = 0;  // bytes since then
  };

  std::size_t limit_of(held_kind kind) const;
  bool fits(held_kind kind, std::size_t bytes) const;
  void end(holder& victim);

  memory_budget_limits limits_;
  std::unordered_map<holder_id, holder> holders_;
  sizes kinds_{};
  std::size_t total_ = 0;
  // What victims still hold.
  sizes ending_kinds_{};
  std::size_t ending_ = 0;
};

}  // namespace plantainpaddle
