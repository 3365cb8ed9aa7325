#include "entry/permit_client.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"
#include "base/log.h"

namespace plantainpaddle {

namespace json = boost::json;

namespace {

// Without an answer by then, the next instance in order is asked.
constexpr duration ask_timeout = milliseconds(250);
constexpr std::size_t max_message_bytes = 4096;
constexpr double max_rate = 1e6;
constexpr std::int64_t max_time_us = 3'600'000'000;

}  // namespace

std::string format_permit_request(const permit_request& request) {
  return json::serialize(json::object{{"upstream", request.upstream.value},
                                      {"rate", request.rate},
                                      {"age_us", request.rate_age.count()},
                                      {"wait_us", request.longest_wait.count()}});
}

result<permit_request> parse_permit_request(std::string_view text) {
  constexpr double min_rate = 1e-6;
  permit_request request;
  const auto parsed = read_object(text, step::peer, max_message_bytes, [&](object_reader& reader) {
    request.upstream.value = reader.text("upstream");
    request.rate = reader.number("rate", min_rate, max_rate);
    request.rate_age = duration(reader.integer("age_us", 0, max_time_us));
    request.longest_wait = duration(reader.integer("wait_us", 0, max_time_us));
  });
  if (!parsed) return parsed.error();
  return request;
}

std::string format_permit_decision(const permit_decision& decision) {
  return json::serialize(
      json::object{{"granted", decision.granted}, {"wait_us", decision.wait.count()}});
}

result<permit_decision> parse_permit_decision(std::string_view text) {
  permit_decision decision;
  const auto parsed = read_object(text, step::peer, max_message_bytes, [&](object_reader& reader) {
    decision.granted = reader.boolean("granted");
    decision.wait = duration(reader.integer("wait_us", 0, max_time_us));
  });
  if (!parsed) return parsed.error();
  return decision;
}

permit_client::permit_client(http_client& client, std::string self, permit_config config)
    : client_(client), permits_(std::move(self), config) {}

void permit_client::set_instances(const std::map<std::string, std::string>& addresses,
                                  monotonic_time known_at) {
  permits_.set_instances(addresses, monotonic_now(), known_at);
}

void permit_client::ask(const permit_request& request, handler done) {
  follow(request, permits_.begin(request, monotonic_now()), std::move(done));
}

void permit_client::follow(const permit_request& request, const permit_step& step, handler done) {
  if (const auto* decision = std::get_if<permit_decision>(&step)) return done(*decision);
  const auto& issuer = std::get<permit_issuer>(step);
  client_.send(
      issuer.address, {"POST", std::string(permit_target), {}, format_permit_request(request)},
      ask_timeout,
      [this, request, issuer, done = std::move(done)](const result<http_response>& answer) mutable {
        const auto now = monotonic_now();
        const auto decision =
            answer ? parse_permit_decision(answer->body) : result<permit_decision>(answer.error());
        if (decision) {
          permits_.on_answer(request, *decision, now);
          return done(*decision);
        }
        log_event(log_level::info, "no answer from the issuer of permits",
                  {{"upstream", request.upstream.value},
                   {"issuer", issuer.name},
                   {"peer", issuer.address},
                   {"detail", decision.error().detail}});
        follow(request, permits_.on_no_answer(request, issuer, now), std::move(done));
      });
}

std::string permit_client::handle(std::string_view body) {
  const auto request = parse_permit_request(body);
  if (!request) {
    log_error(log_level::warning, request.error());
    return "{}";
  }
  const auto now = monotonic_now();
  if (!permits_.may_issue(now)) return "{}";  // reads as no answer: the next in order is asked
  return format_permit_decision(permits_.issue(*request, now));
}

std::map<upstream_id, double> permit_client::limits_asked_for() const {
  return permits_.limits_asked_for(monotonic_now());
}

}  // namespace plantainpaddle
