// What this instance's own requests show of the upstreams and keys of a service divided by key.
#include <array>
#include <charconv>

#include "base/hash.h"
#include "base/log.h"
#include "entry/exchange.h"
#include "entry/worker.h"
#include "routing/cold_rate.h"

namespace plantainpaddle {

namespace {

// Returns the number of keys that the upstream is assigned.
std::uint64_t count_keys(const service_snapshot& service, std::size_t upstream) {
  const auto* numbered = std::get_if<numbered_keys>(&service.keys);
  if (numbered == nullptr) return numbered_key_count;
  std::uint64_t count = 0;
  const auto& first_keys = numbered->first_keys;
  for (std::size_t i = 0; i < first_keys.size(); ++i) {
    if (service.shards[i].upstream != upstream) continue;
    count += (i + 1 < first_keys.size() ? first_keys[i + 1] : numbered_key_count) - first_keys[i];
  }
  return count;
}

// Formats a small number with two decimals.
std::string two_decimals(double value) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 2).ptr;
  return {text.data(), end};
}

}  // namespace

// Counts a request that has arrived, for the assigner of its key and for the share of its key.
void exchange::count_key() {
  traffic().counts->add(shard_, *key_);
  if (!view_->snapshot->contended || !traffic().key_shares) return;
  const auto* owner = owner_of(service(), shard_);
  if (owner == nullptr) return;
  traffic().key_shares->add(hash64(*key_), service().upstreams[owner->upstream].name, started_at_);
}

// Refuses the request if its owner's slots are taken and its key has a large part of the owner's
// requests. A request that has waited for a permit isn't refused after all.
std::optional<local_response> exchange::check_key_share(std::size_t owner, monotonic_time now) {
  if (permit_ || !view_->snapshot->contended || !traffic().key_shares) return std::nullopt;
  const auto& row = service().upstreams[owner];
  key_share_question question{.key = hash64(*key_),
                              .owner = row.name,
                              .load = traffic().placed->load(row.name, now),
                              .slots = row.slots,
                              .service_time = traffic().placed->service_time(match_.route->name),
                              .now = now};
  if (question.load < question.slots) return std::nullopt;
  question.keys_of_owner = count_keys(service(), owner);
  const auto found = traffic().key_shares->judge(question);
  if (found.decision.verdict != send_verdict::refuse) return std::nullopt;
  note_refused(found.decision.reason);
  if (traffic().key_shares->may_log(now)) {
    log_event(log_level::info, "key limited to its share",
              {{"request", messages_.request_id},
               {"service", service().service.name.value},
               {"key", std::string_view(*key_)},
               {"upstream", row.name.value},
               {"load", question.load},
               {"slots", row.slots},
               {"of_key", found.of_key},
               {"of_owner", found.of_owner},
               {"keys_of_owner", question.keys_of_owner},
               {"again_in_ms", found.decision.again_in}});
  }
  return no_room_response(row.name.value,
                          std::string(reason_name(found.decision.reason)) + ": the key has " +
                              two_decimals(found.of_key) + " of " + two_decimals(found.of_owner) +
                              " recent requests here, load " + two_decimals(question.load) +
                              " of " + std::to_string(row.slots) + " slots",
                          spread_retry_after(found.decision.again_in));
}

// Notes the time of an answer, from which the planner of key ranges learns the upstream's speed. An
// answer of a cold upstream doesn't show its usual speed, and one of an upstream with a queue may
// have waited there for an unknown part of the time.
void exchange::note_answer(const destination& to, const attempt_report& report,
                           monotonic_time now) {
  if (!view_->snapshot->contended || !service().service.keyed || !traffic().answers) return;
  if (is_cold(service(), to.upstream, now)) return;
  if (report.load && report.load->waiting > 0) return;
  traffic().answers->add(service().upstreams[to.upstream].name, report.work, report.latency);
}

}  // namespace plantainpaddle
