// The part of the simulation in which instances hand on news: requests and answers between them
// take the time that the answer's bytes need on the link of the one that answers.
#include <algorithm>
#include <charconv>

#include "base/durations.h"
#include "ownership/testing/feed_simulation.h"

namespace plantainpaddle {

namespace {

constexpr duration one_way = milliseconds(1);
constexpr duration tick = milliseconds(50);
constexpr duration answer_margin = milliseconds(400);
constexpr double held_periods = 1.3;
constexpr double lagging_periods = 1.5;
constexpr std::size_t answer_overhead = 300;

}  // namespace

// The value says what the receiver makes of it, and is as long as the store's.
std::string feed_simulation::news_value(const change& c) {
  auto text = std::to_string(c.version) + " " + std::to_string(c.sequence) + " ";
  text.resize(std::max(text.size(), c.bytes), 'x');
  return text;
}

void feed_simulation::register_instances() {
  std::vector<instance_registration> all;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    // The first instances are the largest, and so read for their domains.
    all.push_back({.name = std::to_string(i),
                   .address = std::to_string(i),
                   .domain = {std::to_string(i % load_.domains)},
                   .cores = 1.0 / static_cast<double>(1 + i)});
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    auto& self = instances_[i];
    self.source = news_source(all[i]);
    self.source.set_instances(all);
    std::vector<std::string> prefixes;
    for (std::size_t f = 0; f < self.feeds.size(); ++f) prefixes.push_back(self.feeds[f].prefix());
    self.log = news_log(i + 1, prefixes);
  }
}

bool feed_simulation::are_connected(std::size_t a, std::size_t b) const {
  for (const auto index : {a, b}) {
    if (active(feed_fault_kind::cut, index) != nullptr) return false;
    if (active(feed_fault_kind::isolated, index) != nullptr) return false;
  }
  return true;
}

void feed_simulation::ask_for_news(std::size_t index) {
  auto& self = instances_[index];
  answer_news(index);
  self.feeds.set_role(self.source.role(now_));
  if (self.source.role(now_) != feed_role::follower || self.asking || !self.feeds.is_read()) return;
  const auto reader = self.source.reader(now_);
  if (!reader) return;
  std::size_t asked = 0;
  std::from_chars(reader->address.data(), reader->address.data() + reader->address.size(), asked);
  self.asking = true;
  const news_call call{.asker = index,
                       .asked = asked,
                       .number = ++self.last_ask,
                       .request = {self.era,
                                   {self.token, self.sequence, self.feeds.revisions()},
                                   self.feeds.wanted().value_or("")},
                       .sent = now_};
  const auto timeout = share_of(self.feeds.reader_period(), held_periods) + answer_margin;
  at(now_ + timeout, [this, call] { take_in_news(call, std::nullopt); });
  at(now_ + one_way, [this, call] {
    if (!are_connected(call.asker, call.asked)) return;
    auto arrived = call;
    arrived.arrived = now_;
    news_calls_.push_back(arrived);
  });
}

// Answers the requests at this instance that are due. It takes them in when it runs.
void feed_simulation::answer_news(std::size_t index) {
  auto& self = instances_[index];
  std::vector<news_call> due;
  for (const auto& call : news_calls_) {
    if (call.asked != index) continue;
    self.source.on_asked(now_);
    const auto longest = share_of(self.feeds.reader_period(), held_periods);
    const bool hands_on = self.pace.allows(now_) && self.log.with_value(call.request.wanted);
    if (hands_on || is_news_due(call.request, call.arrived, self.log, self.feeds, self.era) ||
        now_ - call.arrived >= longest) {
      due.push_back(call);
    }
  }
  std::erase_if(news_calls_, [&](const news_call& call) {
    return std::any_of(due.begin(), due.end(), [&](const news_call& answered) {
      return answered.asker == call.asker && answered.number == call.number;
    });
  });
  for (const auto& call : due) send_news(call);
}

void feed_simulation::send_news(const news_call& call) {
  auto& self = instances_[call.asked];
  auto answer = make_news(call.request, call.arrived, self.log, self.feeds, self.era, {}, now_);
  if (auto value = self.log.with_value(call.request.wanted); value && self.pace.allows(now_)) {
    self.pace.on_sent(value->value->size(), now_);
    add_wanted(answer, call.request, std::move(*value));
  }
  std::size_t bytes = answer_overhead;
  for (const auto& item : answer.items) bytes += item.key.size() + item.value.value_or("").size();
  const auto transfer = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / load_.link_bytes_per_s));
  self.link_free = std::max(now_, self.link_free) + transfer;
  if (!are_connected(call.asker, call.asked)) return;
  at(self.link_free + one_way, [this, call, answer] { take_in_news(call, answer); });
}

// No answer: the request has timed out.
void feed_simulation::take_in_news(const news_call& call,
                                   const std::optional<news_answer>& answer) {
  auto& self = instances_[call.asker];
  if (!self.asking || self.last_ask != call.number) return;
  if (active(feed_fault_kind::frozen, call.asker) != nullptr) {
    return at(now_ + tick, [this, call, answer] { take_in_news(call, answer); });
  }
  self.asking = false;
  const std::string asked = std::to_string(call.asked);
  if (!answer || answer->era < call.request.era) return self.source.on_failure(asked, now_);
  if (answer->era > self.era) {
    is_current(self, {}, answer->era);
    return;
  }
  if (self.era != call.request.era) return;
  const auto items = take_news(*answer, call.sent, self.feeds, self.versions, now_);
  for (const auto& item : *items) {
    change c{.revision = item.version, .key = item.key, .removed = item.removed};
    if (item.value) {
      const char* const end = item.value->data() + item.value->size();
      const auto version = std::from_chars(item.value->data(), end, c.version);
      std::from_chars(version.ptr + 1, end, c.sequence);
      c.bytes = item.value->size();
    }
    apply(self, c);
  }
  self.token = answer->token;
  self.sequence = answer->sequence;
  if (!self.feeds.upstreams().is_stale(now_)) {
    self.last_contact = now_;
    self.upstreams.on_contact(now_);
  }
  if (is_ahead_of(*answer, call.sent, self.feeds,
                  share_of(self.feeds.reader_period(), lagging_periods))) {
    return self.source.on_failure(asked, now_);
  }
  self.source.on_answer(asked);
}

}  // namespace plantainpaddle
