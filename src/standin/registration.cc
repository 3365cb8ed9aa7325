#include "standin/registration.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/log.h"
#include "platform/testing/server_codec.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr int lifetime_beats = 3;
constexpr duration call_timeout = milliseconds(500);

}  // namespace

registration::registration(boost::asio::any_io_executor executor, std::string platform,
                           registered_upstream upstream, duration heartbeat)
    : platform_(std::move(platform)),
      upstream_(std::move(upstream)),
      heartbeat_(heartbeat),
      http_(executor),
      timer_(executor) {}

void registration::start() {
  changed_at_ = sequence_ + 1;
  write();
}

void registration::stop() { timer_.cancel(); }

void registration::set_leaving() {
  if (std::exchange(upstream_.leaving, true)) return;
  changed_at_ = sequence_ + 1;
  timer_.cancel();
  write();
}

// As on the platform, the entry changes only when more than its sequence does.
void registration::write() {
  ++sequence_;
  const json::object item{
      {"key", std::string(upstream_key_prefix) + upstream_.id.value},
      {"value", format_registered_upstream(upstream_, changed_at_)},
      {"lifetime_ms",
       std::chrono::duration_cast<milliseconds>(lifetime_beats * heartbeat_).count()}};
  if (!cut_off_) {
    http_.send(platform_, {"POST", "/control/items", {}, json::serialize(item)}, call_timeout,
               [](const result<http_response>& answer) {
                 if (!answer) log_error(log_level::warning, answer.error());
               });
  }
  timer_.expires_after(heartbeat_);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) write();
  });
}

}  // namespace plantainpaddle
