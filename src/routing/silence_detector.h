// Tells attempts that their upstream will never answer from attempts that take long. An upstream of
// some kinds drops a request without a word when its queue is full, and never answers on that
// connection again.
//
//   silence_detector silence;
//   const auto number = silence.on_sent(upstream, "stock", now);
//   silence.on_answered(upstream, number, load, now);  // or on_unanswered()
//   const auto verdict = silence.judge(upstream, number, left, now);
//   if (verdict.hangs) ...                             // else judge again at verdict.check_at
//
// An instance of it stands for one service. It passes verdicts only once an upstream of the service
// was seen to leave a request unanswered while its queue was full or later requests were answered.
// No I/O and no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "routing/placement.h"

namespace plantainpaddle {

struct silence_verdict {
  bool hangs = false;
  monotonic_time check_at{};  // when the verdict may differ
  // What it is based on.
  std::uint32_t overtaken = 0;  // requests sent later that the upstream has answered
  bool met_full = false;        // the queue was full when the request came
  duration running{0};          // for which the request must have been running, if it is
  duration longest{0};          // for which it would run at most
};

class silence_detector {
 public:
  // Returns the number of the attempt, for one of the next two calls at its end.
  std::uint64_t on_sent(const upstream_id& upstream, std::string_view work, monotonic_time now);
  // ran: the upstream has run the request. A refusal overtakes the requests that wait.
  void on_answered(const upstream_id& upstream, std::uint64_t number, bool ran, monotonic_time now);
  // waited: the attempt waited until its deadline, or judge() said that it hangs.
  void on_unanswered(const upstream_id& upstream, std::uint64_t number, bool waited,
                     monotonic_time now);
  // The upstream has reported its load, at this time.
  void on_load(const upstream_id& upstream, const reported_load& load, monotonic_time at);

  // left: the time that the caller has left. An attempt is given up only while another one can
  // still be answered.
  silence_verdict judge(const upstream_id& upstream, std::uint64_t number, duration left,
                        monotonic_time now) const;
  // Returns for how long an upstream counts as full that has dropped a request of this kind.
  duration full_time(std::string_view work) const;
  bool is_active() const { return active_; }
  void set_upstreams(const std::vector<placement_upstream>& upstreams);

 private:
  struct attempt {
    std::string work;
    monotonic_time sent{};
    std::uint32_t overtaken = 0;
    bool met_full = false;
    bool absent = false;  // the upstream has reported that it has no request
    std::optional<monotonic_time> started_by;
  };
  struct upstream_state {
    std::map<std::uint64_t, attempt> attempts;  // by number, which rises with the time of sending
    std::optional<reported_load> load;
    monotonic_time load_at{};
  };
  struct work_times {
    double mean_us = 0;
    double longest_us = 0;
  };

  bool is_full(const reported_load& load) const;
  duration mean_time(std::string_view work) const;
  duration longest_time(const attempt& waiting) const;
  duration queue_step(const reported_load& load, std::string_view work) const;

  bool active_ = false;
  std::uint64_t last_number_ = 0;
  std::uint32_t queue_ = 0;  // the most requests that an upstream has reported as waiting
  std::uint32_t slots_ = 1;
  std::map<upstream_id, upstream_state> upstreams_;
  std::map<std::string, work_times, std::less<>> times_;
};

}  // namespace plantainpaddle
