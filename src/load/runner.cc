#include "load/runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <iterator>
#include <memory>
#include <thread>

#include "http/address.h"
#include "http/client.h"
#include "load/exchange.h"
#include "load/keys.h"
#include "ownership/shard_map.h"
#include "platform/platform_headers.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr duration connect_timeout = milliseconds(250);
constexpr duration probe_period = milliseconds(100);
constexpr duration give_up_margin = seconds(1);  // beyond the deadline told to the router

std::string with_key(std::string path, const std::string& key) {
  constexpr std::string_view mark = "{key}";
  if (const auto place = path.find(mark); place != std::string::npos) {
    path.replace(place, mark.size(), key);
  }
  return path;
}

// One thread's share of the plan.
class runner {
 public:
  runner(const load_plan& plan, std::uint32_t part, monotonic_time start)
      : plan_(plan),
        part_(part),
        start_(start),
        idle_(plan.targets.size()),
        ready_(plan.targets.size(), true),
        probes_(io_.get_executor()) {}

  std::vector<load_record> run() {
    for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
      asio::co_spawn(io_, arrivals(i), asio::detached);
    }
    for (std::size_t i = 0; i < plan_.readiness.size(); ++i) {
      asio::co_spawn(io_, follow_readiness(i), asio::detached);
    }
    io_.run();
    return std::move(records_);
  }

 private:
  asio::awaitable<void> arrivals(std::size_t number) {
    const load_class& klass = plan_.classes[number];
    const std::uint64_t seed = plan_.seed * 1'000'003 + part_ * std::uint64_t{1'009} + number;
    key_sampler keys(klass, seed);
    std::mt19937_64 random(seed + 1);
    std::exponential_distribution<double> gap(klass.rate / plan_.threads);
    const duration to = klass.to.count() == 0 ? plan_.length : std::min(klass.to, plan_.length);
    duration next = klass.from;
    asio::steady_timer timer(io_);
    while (true) {
      next += duration(static_cast<std::int64_t>(gap(random) * 1e6));
      if (next >= to) co_return;
      const monotonic_time now = monotonic_now();
      if (start_ + next > now) {
        timer.expires_after(start_ + next - now);
        co_await timer.async_wait(as_result);
      }
      const std::uint64_t key = keys.draw_number(next);
      const std::string prefix = plan_.form == load_form::own ? "k" : "";
      launch(klass, prefix + std::to_string(key), random() % klass.tenants, start_ + next);
    }
  }

  // A target that doesn't answer stays as it was: its listener decides.
  asio::awaitable<void> follow_readiness(std::size_t target) {
    asio::steady_timer timer(io_);
    while (monotonic_now() < start_ + plan_.length) {
      probes_.send(plan_.readiness[target], {"GET", "/readyz", {}, ""}, probe_period,
                   [this, target](const result<http_response>& answer) {
                     if (answer) ready_[target] = answer->status == 200;
                   });
      timer.expires_after(probe_period);
      co_await timer.async_wait(as_result);
    }
  }

  // Of the request's shard, or its key itself.
  std::uint32_t number_of(const load_class& klass, const std::string& key) const {
    if (plan_.form == load_form::own) {
      return shard_of(service_id{klass.service}, key, klass.shards).value;
    }
    std::uint32_t number = 0;
    std::from_chars(key.data(), key.data() + key.size(), number);
    return number;
  }

  void launch(const load_class& klass, const std::string& key, std::uint64_t tenant,
              monotonic_time scheduled) {
    load_record record;
    record.id = klass.name + "-" + std::to_string(plan_.seed) + "-" + std::to_string(part_) + "-" +
                std::to_string(records_.size());
    record.klass = klass.name;
    record.service = klass.service;
    record.shard = number_of(klass, key);
    record.once = klass.once;
    record.scheduled = scheduled.time_since_epoch();
    const std::size_t place = records_.size();
    const bool own = plan_.form == load_form::own;
    exchange_spec spec{.names = own ? own_header_names : platform_header_names,
                       .method = klass.method,
                       .target = with_key(klass.path, key),
                       .host = klass.host,
                       .id = record.id,
                       .key_header = klass.key_header,
                       .key = key,
                       .tenant = "t" + std::to_string(tenant),
                       .klass = klass.name,
                       .upload_bytes = klass.upload_bytes,
                       .answer_bytes = klass.answer_bytes,
                       .slow_bytes_per_second = klass.slow_bytes_per_second,
                       .busy = klass.busy,
                       .deadline = klass.deadline,
                       .give_up = klass.deadline + give_up_margin};
    records_.push_back(std::move(record));
    if (outstanding_ >= plan_.outstanding) {
      finish(place, {.outcome = load_outcome::not_run, .detail = "too many are outstanding"});
      return;
    }
    ++outstanding_;
    asio::co_spawn(io_, send(place, std::move(spec)), asio::detached);
  }

  asio::awaitable<void> send(std::size_t place, exchange_spec spec) {
    const std::size_t first = next_target_++;
    const bool some_ready = std::find(ready_.begin(), ready_.end(), true) != ready_.end();
    for (std::size_t i = 0; i < plan_.targets.size(); ++i) {
      const std::size_t target = (first + i) % plan_.targets.size();
      if (some_ready && !ready_[target]) continue;
      auto connection = co_await open(target);
      if (!connection) continue;
      records_[place].target = plan_.targets[target];
      exchange_answer answer = co_await run_exchange(*connection, spec);
      if (answer.reusable) idle_[target].push_back(std::move(connection));
      finish(place, std::move(answer));
      --outstanding_;
      co_return;
    }
    finish(place, {.outcome = load_outcome::not_run, .detail = "no target takes connections"});
    --outstanding_;
  }

  asio::awaitable<std::unique_ptr<load_connection>> open(std::size_t target) {
    auto& waiting = idle_[target];
    while (!waiting.empty()) {
      auto taken = std::move(waiting.back());
      waiting.pop_back();
      if (is_quiet(*taken)) co_return taken;
    }
    const auto endpoint = parse_address(plan_.targets[target]);
    auto made = std::make_unique<load_connection>(io_.get_executor());
    made->stream.expires_after(connect_timeout);
    auto [code] = co_await made->stream.async_connect(*endpoint, as_result);
    if (code) co_return nullptr;
    beast::error_code ignored;
    made->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return made;
  }

  void finish(std::size_t place, exchange_answer answer) {
    load_record& record = records_[place];
    record.outcome = answer.outcome;
    record.status = answer.status;
    record.upstream = std::move(answer.upstream);
    record.detail = std::move(answer.detail);
    record.end = monotonic_now().time_since_epoch();
  }

  load_plan plan_;
  std::uint32_t part_;
  monotonic_time start_;
  asio::io_context io_{1};
  std::vector<load_record> records_;
  std::vector<std::vector<std::unique_ptr<load_connection>>> idle_;  // by target
  std::vector<bool> ready_;                                          // by target
  http_client probes_;
  std::size_t next_target_ = 0;
  std::uint64_t outstanding_ = 0;
};

}  // namespace

std::vector<load_record> run_load(const load_plan& plan) {
  const monotonic_time start = monotonic_now() + milliseconds(10);
  std::vector<std::vector<load_record>> parts(plan.threads);
  std::vector<std::thread> threads;
  for (std::uint32_t part = 0; part < plan.threads; ++part) {
    threads.emplace_back(
        [&plan, &parts, part, start] { parts[part] = runner(plan, part, start).run(); });
  }
  std::vector<load_record> all;
  for (std::uint32_t part = 0; part < plan.threads; ++part) {
    threads[part].join();
    std::move(parts[part].begin(), parts[part].end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace plantainpaddle
