#include "platform/store_client.h"

#include <utility>

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

namespace {

http_request to_http(store_request request) {
  return {"POST",
          std::move(request.path),
          {{"Content-Type", "application/json"}},
          std::move(request.body)};
}

}  // namespace

void store_client::call(store_request request, std::function<void(result<std::string>)> done) {
  const std::string used = rotation_->address();
  http_.send(used, to_http(std::move(request)), settings_.timeout,
             [done = std::move(done), used, rotation = rotation_](result<http_response> answer) {
               if (answer && answer->status == 200) return done(std::move(answer->body));
               rotation->leave(used);
               if (answer) {
                 return done(error{errc::unavailable, step::store, used,
                                   "status " + std::to_string(answer->status)});
               }
               error e = answer.error();
               e.at = step::store;
               done(std::move(e));
             });
}

void store_client::range(const std::string& prefix,
                         std::function<void(result<range_answer>)> done) {
  auto request = std::visit([&](const auto& p) { return p.range(prefix); }, settings_.protocol);
  call(std::move(request),
       [done = std::move(done), protocol = settings_.protocol](const result<std::string>& body) {
         if (!body) return done(body.error());
         done(std::visit([&](const auto& p) { return p.read_range(*body); }, protocol));
       });
}

void store_client::get(const std::string& key,
                       std::function<void(result<std::optional<stored_value>>)> done) {
  auto request = std::visit([&](const auto& p) { return p.get(key); }, settings_.protocol);
  call(std::move(request),
       [done = std::move(done), protocol = settings_.protocol](const result<std::string>& body) {
         if (!body) return done(body.error());
         auto answer = std::visit([&](const auto& p) { return p.read_range(*body); }, protocol);
         if (!answer) return done(answer.error());
         if (answer->values.empty()) return done(std::optional<stored_value>());
         done(std::optional<stored_value>(std::move(answer->values.front())));
       });
}

void store_client::compare_and_swap(const std::string& key, std::uint64_t expected,
                                    const std::string& value,
                                    std::function<void(result<swap_answer>)> done) {
  auto request =
      std::visit([&](const auto& p) { return p.swap(key, expected, value); }, settings_.protocol);
  call(std::move(request),
       [done = std::move(done), protocol = settings_.protocol](const result<std::string>& body) {
         if (!body) return done(body.error());
         done(std::visit([&](const auto& p) { return p.read_swap(*body); }, protocol));
       });
}

std::shared_ptr<void> store_client::watch(
    const std::string& prefix, std::uint64_t after_revision,
    std::function<void(result<std::vector<watch_event>>)> on_events) {
  auto request = std::visit([&](const auto& p) { return p.watch(prefix, after_revision); },
                            settings_.protocol);
  const std::string used = rotation_->address();
  const auto on_line = [on_events = std::move(on_events), used, rotation = rotation_,
                        protocol = settings_.protocol,
                        ended = false](const result<std::string>& line) mutable {
    if (ended) return;  // lines that came with the one that ended it
    auto events = line ? std::visit([&](const auto& p) { return p.read_watch(*line); }, protocol)
                       : result<std::vector<watch_event>>(line.error());
    if (!events) {
      ended = true;
      rotation->leave(used);
    }
    on_events(std::move(events));
  };
  return http_.stream(used, to_http(std::move(request)), settings_.watch_idle, on_line);
}

}  // namespace plantainpaddle
