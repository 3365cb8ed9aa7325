// Each connection is asked once who is at its other end. Upstreams that leave close a connection
// with each answer, so that an order needs a connection of its own, for which the answer on another
// one must do (upstream_presence::is_reached).
#include "entry/upstream_dialer.h"

#include "platform/platform_codec.h"

namespace plantainpaddle {

namespace {

// An upstream that is full may accept connections late. A late question does no harm.
constexpr duration identify_timeout = seconds(2);

}  // namespace

void upstream_dialer::open(const target& to, handler done, std::function<void()> on_connected) {
  // Holds the link until it is handed over.
  auto held = std::make_shared<std::shared_ptr<order_link>>();
  *held = order_link::open(
      io_.get_executor(), to.address, to.connect_timeout,
      [this, to, held, done = std::move(done),
       on_connected = std::move(on_connected)](const std::optional<error>& failure) {
        const auto link = std::exchange(*held, nullptr);
        if (failure) return done(*failure);
        if (on_connected) on_connected();
        if (!presence_.is_reached(to.upstream, to.address, now())) return identify(to, link, done);
        presence_.on_inferred(to.upstream);
        done(link);
      });
}

void upstream_dialer::identify(const target& to, const std::shared_ptr<order_link>& link,
                               handler done) {
  const auto asked = now();
  link->send(make_identity_request(self_, random_number(), identify_timeout), identify_timeout,
             [this, to, link, asked, done = std::move(done)](const result<http_response>& answer) {
               on_identity(to, link, asked, answer, done);
             });
}

void upstream_dialer::on_identity(const target& to, const std::shared_ptr<order_link>& link,
                                  monotonic_time asked, const result<http_response>& answer,
                                  const handler& done) {
  const auto there = answer ? read_identity_answer(*answer) : result<upstream_id>(answer.error());
  if (!there) return done(there.error());
  presence_.on_identified(*there, to.address, asked, now(), !link->is_open());
  if (*there != to.upstream) {
    return done(error{errc::not_owner, step::connect, to.address,
                      "upstream " + there->value + " has the address"});
  }
  if (link->is_open()) return done(link);
  if (presence_.is_reached(to.upstream, to.address, now())) return open(to, done);
  done(error{errc::unavailable, step::connect, to.address, "closed by the upstream"});
}

}  // namespace plantainpaddle
