// Counts messages and bytes in both directions. Thread-safe; totals() reads the counters one by
// one, so its values may be of slightly different moments.
#pragma once

#include <atomic>
#include <cstdint>

namespace plantainpaddle {

struct traffic_totals {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  bool operator==(const traffic_totals&) const = default;
};

inline traffic_totals operator+(const traffic_totals& a, const traffic_totals& b) {
  return {a.messages_sent + b.messages_sent, a.bytes_sent + b.bytes_sent,
          a.messages_received + b.messages_received, a.bytes_received + b.bytes_received};
}

class traffic_counter {
 public:
  void sent(std::uint64_t bytes) {
    messages_sent_.fetch_add(1, std::memory_order_relaxed);
    bytes_sent_.fetch_add(bytes, std::memory_order_relaxed);
  }
  void received(std::uint64_t bytes) {
    messages_received_.fetch_add(1, std::memory_order_relaxed);
    bytes_received_.fetch_add(bytes, std::memory_order_relaxed);
  }
  traffic_totals totals() const {
    return {messages_sent_.load(std::memory_order_relaxed),
            bytes_sent_.load(std::memory_order_relaxed),
            messages_received_.load(std::memory_order_relaxed),
            bytes_received_.load(std::memory_order_relaxed)};
  }

 private:
  std::atomic<std::uint64_t> messages_sent_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> messages_received_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
};

}  // namespace plantainpaddle
