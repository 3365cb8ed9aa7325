#include "platform/store_client.h"

#include <utility>

#include "base/log.h"

namespace plantainpaddle {

struct store_client::rotation {
  std::vector<std::string> addresses;
  std::size_t current = 0;

  const std::string& address() const { return addresses[current]; }

  // Several calls may fail at one address; they move on from it once.
  void leave(const std::string& failed) {
    if (address() == failed) current = (current + 1) % addresses.size();
  }
};

store_client::store_client(boost::asio::any_io_executor executor, store_settings settings)
    : settings_(std::move(settings)),
      rotation_(std::make_shared<rotation>(rotation{settings_.addresses})),
      http_(std::move(executor), {.body_bytes = settings_.answer_bytes}) {}

void store_client::set_addresses(std::vector<std::string> addresses) {
  if (addresses == rotation_->addresses) return;
  rotation_ = std::make_shared<rotation>(rotation{std::move(addresses)});
}

namespace {

http_request to_http(store_request request) {
  http_request made{
      std::move(request.method), std::move(request.path), {}, std::move(request.body)};
  if (!made.body.empty()) made.headers.push_back({"Content-Type", "application/json"});
  return made;
}

}  // namespace

// A connection on which an answer is lost may stay silent: the next call goes out on a new one.
void store_client::send(store_request request, duration timeout,
                        std::function<void(result<http_response>)> done,
                        std::shared_ptr<http_call> call) {
  const std::string used = rotation_->address();
  ++*calls_;
  http_.send(
      used, to_http(std::move(request)), timeout,
      [this, done = std::move(done), used, rotation = rotation_, asked_in = *era_,
       alive = std::weak_ptr(alive_)](result<http_response> answer) {
        if (answer) {
          const auto* items = std::get_if<item_protocol>(&settings_.protocol);
          const auto era = alive.expired() || items == nullptr ? 0 : items->read_era(*answer);
          if (era == 0) return done(std::move(answer));
          note_era(era, used);
          const bool same = era == *era_ && (asked_in == 0 || asked_in == era);
          if (same) return done(std::move(answer));
          return done(error{errc::protocol, step::store, used, "the store has another era"});
        }
        if (!alive.expired()) http_.forget(used);
        rotation->leave(used);
        error e = answer.error();
        e.at = step::store;
        done(std::move(e));
      },
      false, std::move(call));
}

void store_client::note_era(std::uint64_t era, const std::string& address) {
  if (era <= *era_ || era > max_store_era) return;
  log_event(*era_ == 0 ? log_level::info : log_level::warning, "the store has a new era",
            {{"peer", address}, {"era", era}, {"era_before", *era_}});
  const bool first = std::exchange(*era_, era) == 0;
  if (!first && on_era_) on_era_();
}

void store_client::call(store_request request, std::function<void(result<std::string>)> done) {
  send(std::move(request), settings_.timeout,
       [done = std::move(done), used = rotation_->address(),
        rotation = rotation_](result<http_response> answer) {
         if (!answer) return done(answer.error());
         if (answer->status == 200) return done(std::move(answer->body));
         rotation->leave(used);
         done(error{errc::unavailable, step::store, used,
                    "status " + std::to_string(answer->status)});
       });
}

template <class Answer, class Ask, class Read>
void store_client::ask_items(duration timeout, const Ask& ask, Read read,
                             std::function<void(result<Answer>)> done,
                             std::shared_ptr<http_call> call) {
  const auto* items = std::get_if<item_protocol>(&settings_.protocol);
  if (items == nullptr) {
    return done(
        error{errc::refused, step::store, rotation_->address(), "the service has no such call"});
  }
  send(
      ask(*items), timeout,
      [done = std::move(done), read, protocol = *items](result<http_response> answer) {
        if (!answer) return done(answer.error());
        done(read(protocol, answer->status, answer->body));
      },
      std::move(call));
}

void store_client::poll(const std::string& prefix, std::uint64_t after_revision, duration wait,
                        std::function<void(result<poll_answer>)> done,
                        std::optional<duration> timeout, std::shared_ptr<http_call> call) {
  ask_items<poll_answer>(
      timeout.value_or(settings_.timeout) + wait,
      [&](const item_protocol& p) { return p.poll(prefix, after_revision, wait); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_poll(status, body);
      },
      std::move(done), std::move(call));
}

void store_client::transact(const store_transaction& transaction,
                            std::function<void(result<transaction_answer>)> done) {
  ask_items<transaction_answer>(
      settings_.timeout, [&](const item_protocol& p) { return p.transact(transaction); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_transaction(status, body);
      },
      std::move(done));
}

void store_client::create_lease(duration ttl, std::function<void(result<granted_lease>)> done) {
  ask_items<granted_lease>(
      settings_.timeout, [&](const item_protocol& p) { return p.create_lease(ttl); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_lease(status, body);
      },
      std::move(done));
}

void store_client::renew_lease(std::uint64_t lease, std::function<void(result<bool>)> done) {
  ask_items<bool>(
      settings_.timeout, [&](const item_protocol& p) { return p.renew_lease(lease); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_renewal(status, body);
      },
      std::move(done));
}

void store_client::end_lease(std::uint64_t lease, std::function<void(result<bool>)> done) {
  ask_items<bool>(
      settings_.timeout, [&](const item_protocol& p) { return p.end_lease(lease); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_renewal(status, body);
      },
      std::move(done));
}

// The pages are no snapshot: a watch goes on from the first one's revision, so that it tells what
// changed behind pages that were read already.
void store_client::range_pages(const std::string& prefix, range_answer so_far, duration timeout,
                               std::function<void(result<range_answer>)> done,
                               std::shared_ptr<http_call> handle) {
  auto page = std::make_shared<range_answer>(std::move(so_far));
  const std::string after = page->last_key;
  ask_items<range_answer>(
      timeout, [&](const item_protocol& p) { return p.range(prefix, after); },
      [](const item_protocol& p, unsigned status, const std::string& body) {
        return p.read_range(status, body);
      },
      [this, prefix, page, timeout, done, handle,
       alive = std::weak_ptr(alive_)](result<range_answer> answer) {
        if (!answer) return done(answer.error());
        if (alive.expired()) return done(error{errc::cancelled, step::store, "", "closed"});
        if (page->last_key.empty()) page->revision = answer->revision;
        for (auto& value : answer->values) page->values.push_back(std::move(value));
        for (auto& key : answer->unreadable) page->unreadable.push_back(std::move(key));
        const bool further = answer->more && answer->last_key > page->last_key;
        page->last_key = answer->last_key;
        if (!further) return done(std::move(*page));
        range_pages(prefix, std::move(*page), timeout, done, handle);
      },
      handle);
}

void store_client::range(const std::string& prefix, std::function<void(result<range_answer>)> done,
                         std::optional<duration> timeout, std::shared_ptr<http_call> handle) {
  const auto* etcd = std::get_if<etcd_protocol>(&settings_.protocol);
  if (etcd == nullptr)
    return range_pages(prefix, {}, timeout.value_or(settings_.timeout), std::move(done),
                       std::move(handle));
  call(etcd->range(prefix),
       [done = std::move(done), protocol = *etcd](const result<std::string>& body) {
         if (!body) return done(body.error());
         done(protocol.read_range(*body));
       });
}

void store_client::get(const std::string& key,
                       std::function<void(result<std::optional<stored_value>>)> done) {
  const auto* etcd = std::get_if<etcd_protocol>(&settings_.protocol);
  if (etcd == nullptr) {
    return ask_items<std::optional<stored_value>>(
        settings_.timeout, [&](const item_protocol& p) { return p.get(key); },
        [](const item_protocol& p, unsigned status, const std::string& body) {
          return p.read_get(status, body);
        },
        std::move(done));
  }
  call(etcd->get(key), [done = std::move(done), protocol = *etcd](const result<std::string>& body) {
    if (!body) return done(body.error());
    auto answer = protocol.read_range(*body);
    if (!answer) return done(answer.error());
    if (answer->values.empty()) return done(std::optional<stored_value>());
    done(std::optional<stored_value>(std::move(answer->values.front())));
  });
}

namespace {

swap_answer to_swap(const transaction_answer& answer) {
  swap_answer swap{.written = answer.outcome == transaction_result::written,
                   .version = answer.version};
  if (swap.written || answer.current.empty()) return swap;
  swap.version = answer.current.front().version;
  swap.value = answer.current.front().value;
  return swap;
}

}  // namespace

void store_client::compare_and_swap(const std::string& key, std::uint64_t expected,
                                    const std::string& value,
                                    std::function<void(result<swap_answer>)> done) {
  const auto* etcd = std::get_if<etcd_protocol>(&settings_.protocol);
  if (etcd == nullptr) {
    return transact({.conditions = {{key, expected}}, .puts = {{key, value, 0}}},
                    [done = std::move(done)](const result<transaction_answer>& answer) {
                      if (!answer) return done(answer.error());
                      done(to_swap(*answer));
                    });
  }
  call(etcd->swap(key, expected, value),
       [done = std::move(done), protocol = *etcd](const result<std::string>& body) {
         if (!body) return done(body.error());
         done(protocol.read_swap(*body));
       });
}

std::shared_ptr<void> store_client::watch(
    const std::string& prefix, std::uint64_t after_revision,
    std::function<void(result<std::vector<watch_event>>)> on_events) {
  const auto* etcd = std::get_if<etcd_protocol>(&settings_.protocol);
  if (etcd == nullptr) {
    on_events(error{errc::refused, step::store, rotation_->address(), "the service only polls"});
    return nullptr;
  }
  auto request = etcd->watch(prefix, after_revision);
  const std::string used = rotation_->address();
  const auto on_line = [on_events = std::move(on_events), used, rotation = rotation_,
                        protocol = *etcd, ended = false](const result<std::string>& line) mutable {
    if (ended) return;  // lines that came with the one that ended it
    auto events =
        line ? protocol.read_watch(*line) : result<std::vector<watch_event>>(line.error());
    if (!events) {
      ended = true;
      rotation->leave(used);
    }
    on_events(std::move(events));
  };
  return http_.stream(used, to_http(std::move(request)), settings_.watch_idle, on_line);
}

}  // namespace plantainpaddle
