#include "routing/observation_exchange.h"

#include <algorithm>

namespace plantainpaddle {

namespace {

// Senders that are remembered. One that hasn't asked for so long has failed over or ended.
constexpr std::size_t max_senders = 1024;
constexpr duration sender_memory = seconds(10);

}  // namespace

observation_exchange::observation_exchange(instance_registration self, std::uint64_t token,
                                           observation_timing timing)
    : self_(std::move(self)),
      token_(token),
      timing_(timing),
      source_(self_, {.suspicion = timing.suspicion, .max_suspicion = timing.max_suspicion}) {}

void observation_exchange::set_instances(const std::vector<instance_registration>& instances) {
  source_.set_instances(instances);
  std::map<domain_id, news_source> remote;
  for (const auto& instance : instances) {
    if (instance.domain == self_.domain) continue;
    if (remote.contains(instance.domain)) continue;
    const auto known = remote_.find(instance.domain);
    if (known != remote_.end()) {
      remote.emplace(instance.domain, std::move(known->second));
      continue;
    }
    // A source lists its own instance too. This one comes last, which means that there is none.
    auto self = self_;
    self.domain = instance.domain;
    self.cores = -1;
    remote.emplace(instance.domain, news_source(self, {.suspicion = timing_.suspicion,
                                                       .max_suspicion = timing_.max_suspicion}));
  }
  remote_ = std::move(remote);
  for (auto& [domain, source] : remote_) source.set_instances(instances);
  std::erase_if(peers_, [&](const auto& peer) {
    return peer.first != self_.domain && !remote_.contains(peer.first);
  });
}

void observation_exchange::observe(observation_key key, const reported_load& load,
                                   monotonic_time reported_at, monotonic_time now) {
  if (board_.take(key, load, reported_at, now)) unsent_[key] = {load, reported_at};
}

std::vector<observation_ask> observation_exchange::due(monotonic_time now) {
  std::vector<observation_ask> asks;
  const auto add = [&](const domain_id& domain, const instance_registration& peer) {
    if (auto due = ask(domain, peer, now)) asks.push_back(std::move(*due));
  };
  if (const auto collector = source_.reader(now)) {
    add(self_.domain, *collector);
    return asks;
  }
  unsent_.clear();
  for (const auto& [domain, source] : remote_) {
    if (const auto peer = source.reader(now)) add(domain, *peer);
  }
  return asks;
}

std::optional<observation_ask> observation_exchange::ask(const domain_id& domain,
                                                         const instance_registration& peer,
                                                         monotonic_time now) {
  auto& state = peers_[domain];
  if (state.asking || now < state.next) return std::nullopt;
  if (state.name != peer.name) state = {.name = peer.name};
  const bool own = domain == self_.domain;
  state.asking = true;
  state.next = now + (own ? timing_.period : timing_.remote_period);
  observation_ask due{domain, peer, {}, now};
  auto& request = due.request;
  request.sender = self_.name;
  request.domain = self_.domain;
  request.token = state.token;
  request.position = state.position;
  request.answer = state.answer;
  if (state.answer != 0) request.since_answer = now - state.answered_at;
  std::erase_if(unsent_, [&](const auto& unsent) {
    return now - unsent.second.reported_at > max_shared_age;
  });
  // How old a first message is can't be told, so that its observations would be ignored.
  if (!own || state.answer == 0) return due;
  for (const auto& [key, report] : unsent_) {
    request.observations.push_back({key, {report.load, now - report.reported_at}});
  }
  auto& sent = request.observations;
  if (sent.size() > max_sent_observations) {
    std::nth_element(sent.begin(), sent.begin() + max_sent_observations, sent.end(),
                     [](const auto& a, const auto& b) { return a.seen.age < b.seen.age; });
    sent.resize(max_sent_observations);
  }
  return due;
}

news_source& observation_exchange::source_of(const domain_id& domain) {
  const auto remote = remote_.find(domain);
  return remote == remote_.end() ? source_ : remote->second;
}

std::vector<shared_observation> observation_exchange::on_answer(const observation_ask& ask,
                                                                const observation_answer& answer,
                                                                monotonic_time now) {
  std::vector<shared_observation> news;
  source_of(ask.domain).on_answer(ask.peer.name);
  const auto peer = peers_.find(ask.domain);
  if (peer != peers_.end() && peer->second.name == ask.peer.name) {
    auto& state = peer->second;
    state.asking = false;
    state.token = answer.token;
    state.position = answer.position;
    state.answer = answer.answer;
    state.answered_at = now;
  }
  for (const auto& sent : ask.request.observations) {
    const auto unsent = unsent_.find(sent.key);
    const bool same = unsent != unsent_.end() && unsent->second.reported_at <= ask.asked_at;
    if (same && answer.token == ask.request.token) unsent_.erase(unsent);
  }
  const auto under_way = std::max(duration::zero(), now - ask.asked_at);
  for (auto seen : answer.observations) {
    seen.seen.age += under_way;
    if (board_.take(seen.key, seen.seen.load, now - seen.seen.age, now)) news.push_back(seen);
  }
  return news;
}

void observation_exchange::on_failure(const observation_ask& ask, monotonic_time now) {
  source_of(ask.domain).on_failure(ask.peer.name, now);
  const auto peer = peers_.find(ask.domain);
  if (peer == peers_.end() || peer->second.name != ask.peer.name) return;
  // Another instance of the own domain is asked at once.
  peer->second = {.next = ask.domain == self_.domain ? now : now + timing_.remote_period};
}

// Returns for how long the request was under way at most; no value if that can't be told.
std::optional<duration> observation_exchange::transit_time(const observation_request& request,
                                                           monotonic_time now) const {
  const auto sender = senders_.find(request.sender);
  if (sender == senders_.end() || request.token != token_ || request.answer == 0 ||
      request.answer != sender->second.answer) {
    return std::nullopt;
  }
  const auto longest = now - sender->second.answered_at - request.since_answer;
  if (longest < duration::zero() || longest > max_shared_age) return std::nullopt;
  return longest;
}

observation_exchange::served_request observation_exchange::serve(const observation_request& request,
                                                                 monotonic_time now) {
  served_request served;
  const bool own = request.domain == self_.domain;
  if (const auto under_way = own ? transit_time(request, now) : std::nullopt) {
    for (auto seen : request.observations) {
      seen.seen.age += *under_way;
      if (board_.take(seen.key, seen.seen.load, now - seen.seen.age, now)) {
        served.news.push_back(seen);
      }
    }
  }
  const auto position = request.token == token_ ? request.position : 0;
  auto delta = board_.since(position, max_answered_observations, now, own ? nullptr : &own_domain_);
  served.answer = {token_, delta.position, 0, std::move(delta.observations)};
  if (senders_.size() >= max_senders) {
    std::erase_if(senders_, [&](const auto& sender) {
      return now - sender.second.answered_at > sender_memory;
    });
  }
  if (senders_.size() < max_senders || senders_.contains(request.sender)) {
    served.answer.answer = ++last_answer_;
    senders_[request.sender] = {last_answer_, now};
  }
  return served;
}

void observation_exchange::reset() {
  board_.clear();
  unsent_.clear();
  senders_.clear();
  for (auto& [domain, peer] : peers_) {
    peer.token = 0;
    peer.position = 0;
    peer.answer = 0;
  }
}

std::string observation_exchange::collector(monotonic_time now) const {
  const auto reader = source_.reader(now);
  return reader ? reader->name : self_.name;
}

}  // namespace plantainpaddle
