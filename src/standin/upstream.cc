// How the upstream stand-in runs a request: it waits for a slot, has its fence checked, is entered
// in the journal, reads the body, is busy for a time and answers. Whatever ends it early (the
// caller's connection closes, its deadline passes, the grant ends) wakes it through its timer.
//
// A process that was stopped and continued must run nothing under a grant that ended meanwhile: the
// grant's end is looked at whenever a run wakes and before every order is handled (lapse()), so
// that a new grant can't hide the gap from a run that started before it.

#include "standin/upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <random>
#include <set>

#include "base/json.h"
#include "http/listen.h"
#include "http/message.h"
#include "ownership/cell_record.h"
#include "platform/platform_headers.h"
#include "platform/testing/server_codec.h"
#include "standin/answer_body.h"
#include "standin/grants.h"
#include "standin/journal.h"
#include "standin/late_copy.h"
#include "standin/registration.h"
#include "standin/slots.h"
#include "upstream/grant_codec.h"
#include "upstream/header_names.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned status_not_owner = 421;
constexpr duration default_deadline = seconds(60);
constexpr duration idle_time = seconds(60);
constexpr std::size_t piece_bytes = 64 << 10;
constexpr std::size_t max_control_body_bytes = 4 << 20;
constexpr std::size_t max_answer_bytes = std::size_t{1} << 40;
constexpr double cold_slowness = 3;  // on top of 1, falling to 0 over the cold start
constexpr double cold_key_factor = 4;
constexpr std::string_view health_target = "/healthz";  // as format_desired_state() declares it
constexpr duration release_poll = milliseconds(2);
constexpr duration silence = seconds(5);  // of a connection whose order gets no answer

template <class Fields>
std::optional<std::uint64_t> number_field(const Fields& fields, std::string_view name) {
  const auto text = fields[name];
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc()) return std::nullopt;
  return number;
}

using request_parser = http::request_parser<http::buffer_body>;

// Why a run ended before its answer.
enum class stop_cause { none, caller_gone, grant_ended, deadline };

struct session : std::enable_shared_from_this<session> {
  explicit session(asio::ip::tcp::socket socket)
      : stream(std::move(socket)), wake(stream.get_executor()) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  asio::steady_timer wake;  // of the run
  slot_queue::ticket* ticket = nullptr;
  stop_cause cause = stop_cause::none;
  bool watching = false;
  std::optional<admitted_run> run;            // that is under way
  std::optional<monotonic_time> grant_ended;  // of it
  std::uint64_t watch = 0;                    // counts the watches for a closed connection
  late_copy copy;                             // of the last answer

  void stop(stop_cause why) {
    if (cause == stop_cause::none) cause = why;
    wake.cancel();
    if (ticket != nullptr) ticket->cancel();
  }
};

struct request_facts {
  std::string method;
  std::string target;
  std::string id;
  key_claim claim;
  std::string expected;  // the upstream that is meant
  std::uint64_t size = 0;
  duration busy{0};
  monotonic_time arrived;
  monotonic_time deadline;
  bool keep_alive = true;
  bool expects_continue = false;
};

}  // namespace

struct upstream_standin::impl : std::enable_shared_from_this<upstream_standin::impl> {
  impl(asio::any_io_executor e, upstream_options o)
      : executor(e),
        options(std::move(o)),
        acceptor(e),
        lapse_timer(e),
        names(options.registry.empty() ? own_header_names : platform_header_names),
        key_header(options.registry.empty() ? shard_header : platform_key_header),
        held(make_grants()),
        slots(e, options.slots, options.queue),
        book(options.name, options.journal_file),
        service(options.service),
        started(monotonic_now()) {}

  asio::any_io_executor executor;
  upstream_options options;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer lapse_timer;
  monotonic_time next_lapse = monotonic_time::max();
  header_names names;
  std::string_view key_header;
  grants held;
  std::unique_ptr<registration> entry;
  slot_queue slots;
  journal book;
  std::string service;
  monotonic_time started;
  std::set<session*> open;
  std::uint64_t refused_connections = 0;
  std::uint64_t not_run = 0;
  std::uint64_t not_owner = 0;
  std::mt19937_64 random{random_number()};

  // Grants.

  grants make_grants() const {
    if (options.registry.empty()) {
      return cell_grants{options.check_fence, {random_number() >> 1, random_number()}};
    }
    return range_grants{options.check_fence, range_holder(options.warm_up)};
  }

  void lapse(monotonic_time now) {
    for (auto* each : open) {
      if (!each->run || each->grant_ended) continue;
      const monotonic_time end = grant_end(held, *each->run);
      if (now < end) continue;
      each->grant_ended = end;
      each->stop(stop_cause::grant_ended);
      beast::error_code ignored;
      each->stream.socket().cancel(ignored);
    }
  }

  // When the next run must have stopped.
  monotonic_time next_end() const {
    monotonic_time next = monotonic_time::max();
    for (const auto* each : open) {
      if (each->run && !each->grant_ended) next = std::min(next, grant_end(held, *each->run));
    }
    return next;
  }

  asio::awaitable<void> watch_grant() {
    constexpr duration longest_sleep = seconds(3600);
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      const monotonic_time now = monotonic_now();
      lapse(now);
      const monotonic_time next = next_end();
      const duration sleep = next > now + longest_sleep ? longest_sleep : next - now;
      next_lapse = now + sleep;
      lapse_timer.expires_after(std::max(duration{0}, sleep));
      co_await lapse_timer.async_wait(as_result);
    }
  }

  double cold(monotonic_time now) const {
    if (options.cold_start.count() == 0 || now >= started + options.cold_start) return 0;
    return 1 - std::chrono::duration<double>(now - started) /
                   std::chrono::duration<double>(options.cold_start);
  }

  load_report report(monotonic_time now) const {
    if (options.misleading) return *options.misleading;
    load_report truth;
    truth.busy_slots = static_cast<std::uint32_t>(slots.busy());
    truth.queued = static_cast<std::uint32_t>(slots.waiting());
    truth.draining = options.drain;
    truth.shedding = options.shed;
    truth.cold = cold(now);
    return truth;
  }

  http_response handle_grant(std::string_view body) {
    const auto order = parse_grant_order(body);
    if (!order) {
      return json_response(400, json::serialize(json::object{{"error", to_string(order.error())}}));
    }
    const monotonic_time now = monotonic_now();
    lapse(now);
    grant_answer answer = std::get<cell_grants>(held).holder.handle(*order, now);
    answer.load = report(now);
    if (options.service.empty()) service = service_of(order->cell).value;
    lapse_timer.cancel();
    return json_response(200, format_grant_answer(answer));
  }

  bool is_order(const std::string& method, std::string_view target) const {
    if (options.registry.empty()) return target == grant_target;
    return method == "POST" && is_range_order(target);
  }

  // An answer of status 0 is none.
  asio::awaitable<http_response> handle_range_order(http_request request) {
    const auto order = parse_range_order(request);
    if (!order) co_return format_item_error(400, order.error().detail);
    const monotonic_time arrived = monotonic_now();
    lapse(arrived);
    auto& holder = std::get<range_grants>(held).holder;
    if (const auto* release = std::get_if<range_action::release>(&*order)) {
      holder.release(*release);
      book.note_release(release->first, release->last, arrived);
      while (holder.running(release->first, release->last) > 0 && acceptor.is_open()) {
        co_await sleep(release_poll);
      }
      co_return format_release_answer(options.name + "-" + std::to_string(random_number()));
    }
    const auto& grant = std::get<range_action::grant>(*order);
    if (draw(options.late_orders)) {
      co_await sleep(options.late);
      take_grant(grant, arrived);
      co_await sleep(silence);
      http_response none;
      none.status = 0;
      co_return none;
    }
    constexpr unsigned fence_too_low = 409;
    const bool granted = take_grant(grant, arrived);
    lapse_timer.cancel();
    co_return json_response(granted ? 200 : fence_too_low, "{}");
  }

  bool take_grant(const range_action::grant& grant, monotonic_time arrived) {
    if (!std::get<range_grants>(held).holder.grant(grant, arrived)) return false;
    book.note_grant({.service = service,
                     .first = grant.first,
                     .last = grant.last,
                     .fence = grant.fence.value,
                     .from = monotonic_now().time_since_epoch(),
                     .until = (arrived + grant.hold).time_since_epoch()});
    return true;
  }

  asio::awaitable<void> sleep(duration length) {
    asio::steady_timer timer(executor);
    timer.expires_after(length);
    co_await timer.async_wait(as_result);
  }

  http_response handle_control(const std::string& method, std::string_view target,
                               const std::string& body) {
    if (target == "/control/journal") {
      return {200, {{"Content-Type", "application/x-ndjson"}}, book.lines(), {}};
    }
    if (target == "/control/counters") {
      return json_response(
          200, json::serialize(json::object{{"busy", slots.busy()},
                                            {"queued", slots.waiting()},
                                            {"connections", open.size()},
                                            {"refused_connections", refused_connections},
                                            {"not_run", not_run},
                                            {"not_owner", not_owner},
                                            {"journal_dropped", book.dropped()}}));
    }
    if (target == "/control/settings") {
      if (method == "GET") return json_response(200, format_settings(options));
      if (auto bad = apply_settings(options, body)) {
        return json_response(400, json::serialize(json::object{{"error", to_string(*bad)}}));
      }
      slots.resize(options.slots, options.queue);
      if (entry) entry->set_cut_off(!options.registers);
      if (entry && options.drain) entry->set_leaving();
      return json_response(200, format_settings(options));
    }
    return json_response(404, R"({"error":"no such page"})");
  }

  void register_at(const std::string& address) {
    if (options.registry.empty()) return;
    const auto born = std::chrono::duration_cast<milliseconds>(wall_time()).count();
    entry = std::make_unique<registration>(
        executor, options.registry,
        registered_upstream{.id = {options.name},
                            .service = {options.service},
                            .address = options.advertise.empty() ? address : options.advertise,
                            .domain = {options.domain},
                            .slots = static_cast<std::uint32_t>(options.slots),
                            .life = static_cast<std::uint64_t>(born)},
        options.heartbeat);
    entry->start();
  }

  // Connections.

  asio::awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      auto [code, socket] = co_await acceptor.async_accept(as_result);
      if (!acceptor.is_open()) co_return;
      if (code) continue;
      if (open.size() >= options.connections) {
        ++refused_connections;
        continue;
      }
      asio::co_spawn(executor, serve(std::make_shared<session>(std::move(socket))), asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<session> s) {
    const auto self = shared_from_this();
    open.insert(s.get());
    beast::error_code ignored;
    s->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (options.open_delay.count() > 0) {
      s->wake.expires_after(options.open_delay);
      co_await s->wake.async_wait(as_result);
    }
    while (co_await serve_one(*s)) {
    }
    open.erase(s.get());
  }

  asio::awaitable<bool> serve_one(session& s) {
    request_parser parser;
    parser.body_limit(boost::none);
    s.stream.expires_after(idle_time);
    auto [code, size] = co_await http::async_read_header(s.stream, s.buffer, parser, as_result);
    if (code) co_return false;
    s.cause = stop_cause::none;
    const std::string target(parser.get().target());
    const std::string method(parser.get().method_string());
    const bool order = is_order(method, target);
    if (!order && !target.starts_with("/control/")) {
      if (const auto copy = s.copy.take(); !copy.empty()) {
        co_await asio::async_write(s.stream, asio::buffer(copy), as_result);
      }
      co_return co_await work(s, parser);
    }
    std::string body;
    const auto keep = [&](std::string_view piece) { body += piece; };
    if (!co_await read_body(s, parser, max_control_body_bytes, keep)) co_return false;
    http_response answer;
    if (!order) {
      answer = handle_control(method, target, body);
    } else if (options.registry.empty()) {
      answer = handle_grant(body);
    } else {
      http_request request{method, target, {}, std::move(body), ""};
      answer = co_await handle_range_order(std::move(request));
      if (answer.status == 0) co_return false;
    }
    const bool keep_alive = parser.get().keep_alive() && !(order && is_leaving());
    co_return co_await write_whole(s, answer, keep_alive, false);
  }

  // A registered upstream that leaves closes each connection with its next answer.
  bool is_leaving() const { return options.drain && !options.registry.empty(); }

  // True if the body was read to its end.
  template <class Keep>
  asio::awaitable<bool> read_body(session& s, request_parser& parser, std::size_t limit,
                                  Keep keep) {
    std::vector<char> piece(piece_bytes);
    std::size_t total = 0;
    while (!parser.is_done()) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      s.stream.expires_after(idle_time);
      auto [code, size] = co_await http::async_read(s.stream, s.buffer, parser, as_result);
      if (code && code != http::error::need_buffer) co_return false;
      const std::size_t got = piece.size() - parser.get().body().size;
      total += got;
      if (total > limit) co_return false;
      keep(std::string_view(piece.data(), got));
    }
    co_return true;
  }

  asio::awaitable<bool> write_whole(session& s, const http_response& answer, bool keep_alive,
                                    bool head, bool copied = false) {
    http::response<http::string_body> message;
    message.result(answer.status);
    message.version(11);
    for (const auto& header : answer.headers) message.set(header.name, header.value);
    message.keep_alive(keep_alive);
    message.body() = answer.body;
    message.prepare_payload();
    if (head) message.body().clear();
    s.stream.expires_after(idle_time);
    auto [code, size] = co_await http::async_write(s.stream, message, as_result);
    if (copied) s.copy.keep(message);
    co_return !code && keep_alive;
  }

  // Stops the run of a session whose caller closes the connection. Ends with unwatch().
  static asio::awaitable<void> watch_caller(std::shared_ptr<session> s) {
    const std::uint64_t number = s->watch;
    auto& socket = s->stream.socket();
    auto [code] = co_await socket.async_wait(asio::socket_base::wait_read, as_result);
    if (code || s->watch != number) co_return;
    char byte = 0;
    beast::error_code peek;
    socket.non_blocking(true, peek);
    const auto got = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peek);
    if (peek != asio::error::would_block && (peek || got == 0)) s->stop(stop_cause::caller_gone);
  }

  void unwatch(session& s) {
    ++s.watch;
    beast::error_code ignored;
    s.stream.socket().cancel(ignored);
  }

  // Work.

  request_facts facts_of(const request_parser& parser, monotonic_time now) const {
    const auto& head = parser.get();
    request_facts facts;
    facts.method = std::string(head.method_string());
    facts.target = std::string(head.target());
    facts.id = std::string(head[names.request_id]);
    facts.claim.shard = number_field(head, key_header);
    if (!names.fence.empty()) facts.claim.fence = number_field(head, names.fence);
    if (!names.expected_upstream.empty()) {
      facts.expected = std::string(head[names.expected_upstream]);
    }
    facts.size = std::min<std::uint64_t>(number_field(head, standin_size_header).value_or(0),
                                         max_answer_bytes);
    facts.keep_alive = head.keep_alive() && !is_leaving();
    facts.expects_continue = beast::iequals(head[http::field::expect], "100-continue");
    const auto deadline_ms = number_field(head, names.deadline);
    facts.arrived = now;
    facts.deadline =
        now + (deadline_ms
                   ? duration(milliseconds(std::min<std::uint64_t>(*deadline_ms, 86'400'000)))
                   : default_deadline);
    const auto by_class = options.class_busy.find(std::string_view(head[standin_class_header]));
    duration busy = by_class == options.class_busy.end() ? options.busy : by_class->second;
    if (const auto asked = number_field(head, standin_busy_header)) {
      busy = duration(std::min<std::uint64_t>(*asked, 3'600'000'000));
    }
    const double factor = options.slowness * (1 + cold_slowness * cold(now));
    facts.busy = std::chrono::duration_cast<duration>(busy * factor);
    return facts;
  }

  bool draw(double share) { return std::uniform_real_distribution<double>()(random) < share; }

  // The connection stays open only if the body was read: an unread one would be taken for a
  // request.
  asio::awaitable<bool> refuse(session& s, request_parser& parser, const request_facts& facts,
                               unsigned status, std::string_view outcome, std::string_view why,
                               std::vector<http_header> more = {}) {
    if (outcome == "not-run") ++not_run;
    const bool copied = outcome == "not-run" && draw(options.copy_refusals);
    if (copied && !parser.is_done() && !facts.expects_continue) {
      co_await read_body(s, parser, piece_bytes, [](std::string_view) {});
    }
    http_response answer = json_response(
        status, json::serialize(json::object{{"error", why}, {"upstream", options.name}}));
    if (!names.outcome.empty()) {
      answer.headers.push_back({std::string(names.outcome), std::string(outcome)});
    }
    if (!names.refusal.empty() && outcome == "not-run") {
      answer.headers.push_back({std::string(names.refusal), "1"});
    }
    const bool pauses = status == 503 && outcome == "not-run" && options.pause_s > 0;
    if (!names.pause.empty() && pauses) {
      answer.headers.push_back({std::string(names.pause), number_text(options.pause_s)});
    }
    for (auto& field : state_fields(facts)) answer.headers.push_back(std::move(field));
    for (auto& field : more) answer.headers.push_back(std::move(field));
    co_return co_await write_whole(s, answer, facts.keep_alive && parser.is_done(),
                                   facts.method == "HEAD", copied);
  }

  // States who this is.
  std::vector<http_header> identity_fields() const {
    return {{std::string(names.answering_upstream), options.name}};
  }

  // Fields of every answer to a request.
  std::vector<http_header> state_fields(const request_facts& facts) const {
    std::vector<http_header> fields;
    if (names.echoes_request_id) fields.push_back({std::string(names.request_id), facts.id});
    if (!names.limit.empty() && options.limit > 0) {
      fields.push_back({std::string(names.limit), number_text(options.limit)});
    }
    if (!names.leaving.empty() && options.leaving) {
      fields.push_back({std::string(names.leaving), "1"});
    }
    if (!names.load.empty()) {
      const load_report now = report(monotonic_now());
      fields.push_back({std::string(names.load), std::to_string(now.busy_slots) + "," +
                                                     std::to_string(now.queued) + "," +
                                                     std::to_string(options.slots)});
    }
    return fields;
  }

  // Only registered upstreams have a health path. A check takes a slot like any other request, and
  // whom it expects doesn't matter.
  bool is_health_check(const request_facts& facts) const {
    return !options.registry.empty() && facts.method == "GET" && facts.target == health_target;
  }

  asio::awaitable<bool> answer_health_check(session& s, const request_facts& facts) {
    http_response answer = json_response(is_leaving() ? 503 : 200, "{}");
    answer.headers.push_back({std::string(names.answering_upstream), options.name});
    for (auto& field : state_fields(facts)) answer.headers.push_back(std::move(field));
    co_return co_await write_whole(s, answer, facts.keep_alive, false);
  }

  asio::awaitable<bool> work(session& s, request_parser& parser) {
    const request_facts facts = facts_of(parser, monotonic_now());
    if (!facts.expected.empty() && facts.expected != options.name && !is_health_check(facts)) {
      co_return co_await refuse(s, parser, facts, status_not_owner, "not-run", "another upstream",
                                identity_fields());
    }
    // One that is registered serves on until its callers know that it leaves.
    const bool drains = options.drain && options.registry.empty();
    if (drains || options.shed || options.pause_s > 0) {
      co_return co_await refuse(s, parser, facts, 503, "not-run", drains ? "draining" : "shedding");
    }
    slot_queue::ticket ticket(slots);
    s.ticket = &ticket;
    const bool small = parser.is_done();
    if (small) asio::co_spawn(executor, watch_caller(s.shared_from_this()), asio::detached);
    const slot_answer got = co_await ticket.take(facts.deadline);
    s.ticket = nullptr;
    if (got == slot_answer::cancelled) co_return false;
    if (got != slot_answer::taken) {
      if (small) unwatch(s);
      co_return co_await refuse(s, parser, facts, 503, "not-run",
                                got == slot_answer::full ? "no slot and no place in the queue"
                                                         : "the deadline passed in the queue");
    }
    if (is_health_check(facts)) {
      if (small) unwatch(s);
      co_return co_await answer_health_check(s, facts);
    }
    const monotonic_time now = monotonic_now();
    lapse(now);
    const auto admitted = admit(held, facts.claim, now);
    if (!admitted) {
      if (small) unwatch(s);
      ++not_owner;
      co_return co_await refuse(s, parser, facts, status_not_owner, "not-run",
                                "not the owner at this fence");
    }
    const auto run = book.start({.id = facts.id,
                                 .service = service,
                                 .shard = admitted->shard,
                                 .fence = admitted->fence,
                                 .fenced = admitted->fenced,
                                 .arrived = facts.arrived.time_since_epoch()},
                                now);
    s.grant_ended.reset();
    s.run = admitted;
    if (grant_end(held, *admitted) < next_lapse) lapse_timer.cancel();
    const bool again = co_await run_admitted(s, parser, facts, small);
    const monotonic_time end = monotonic_now();
    lapse(end);
    s.run.reset();
    // Nothing takes effect without a look at the grant's end, so that whatever ended the run, it
    // did nothing after it, however late this line runs.
    book.end(run,
             s.cause == stop_cause::none          ? run_end::complete
             : s.cause == stop_cause::caller_gone ? run_end::cancelled
                                                  : run_end::stopped,
             std::min(end, s.grant_ended.value_or(end)));
    finish(held, *admitted);
    co_return again;
  }

  asio::awaitable<bool> run_admitted(session& s, request_parser& parser, const request_facts& facts,
                                     bool small) {
    running_checksum checksum;
    std::uint64_t received = 0;
    if (!small) {
      if (facts.expects_continue) co_await write_continue(s);
      const auto keep = [&](std::string_view piece) {
        checksum.add(piece);
        received += piece.size();
      };
      if (!co_await read_body(s, parser, max_answer_bytes, keep)) {
        if (s.cause == stop_cause::none) s.cause = stop_cause::caller_gone;
        co_return false;
      }
      asio::co_spawn(executor, watch_caller(s.shared_from_this()), asio::detached);
    }
    const monotonic_time start = monotonic_now();
    const double factor = is_cold(held, *s.run, start) ? cold_key_factor : 1;
    const auto until = start + std::chrono::duration_cast<duration>(facts.busy * factor);
    co_await be_busy(s, facts, until);
    unwatch(s);
    if (s.cause == stop_cause::caller_gone) co_return false;
    if (s.cause != stop_cause::none) {
      const bool late = s.cause == stop_cause::deadline;
      co_return co_await refuse(s, parser, facts, late ? 504 : status_grant_ended(), "unknown",
                                late ? "the deadline passed" : "the grant ended");
    }
    const answer_head head{options.name, facts.target,     facts.id,
                           received,     checksum.value(), facts.size};
    co_return co_await write_answer(s, facts, head);
  }

  unsigned status_grant_ended() const { return options.registry.empty() ? 504 : 500; }

  asio::awaitable<void> be_busy(session& s, const request_facts& facts, monotonic_time until) {
    while (s.cause == stop_cause::none) {
      const monotonic_time now = monotonic_now();
      lapse(now);
      if (s.cause != stop_cause::none) co_return;
      if (now >= facts.deadline) s.stop(stop_cause::deadline);
      if (now >= until || now >= facts.deadline) co_return;
      s.wake.expires_after(std::min(until, facts.deadline) - now);
      co_await s.wake.async_wait(as_result);
    }
  }

  asio::awaitable<void> write_continue(session& s) {
    http::response<http::empty_body> message(http::status::continue_, 11);
    co_await http::async_write(s.stream, message, as_result);
  }

  asio::awaitable<bool> write_answer(session& s, const request_facts& facts,
                                     const answer_head& head) {
    const std::string line = format_answer_head(head);
    http::response<http::buffer_body> message(http::status::ok, 11);
    message.set(http::field::content_type, "application/octet-stream");
    for (const auto& field : state_fields(facts)) message.set(field.name, field.value);
    message.content_length(line.size() + head.size);
    message.keep_alive(facts.keep_alive);
    http::response_serializer<http::buffer_body> serializer(message);
    s.stream.expires_after(idle_time);
    if (facts.method == "HEAD") {
      auto [code, size] = co_await http::async_write_header(s.stream, serializer, as_result);
      co_return !code && facts.keep_alive;
    }
    std::string piece = line;
    std::uint64_t done = 0;
    const std::uint64_t seed = pattern_seed(head.id);
    while (true) {
      const std::size_t room = piece_bytes - piece.size();
      const auto more = static_cast<std::size_t>(std::min<std::uint64_t>(room, head.size - done));
      const std::size_t old = piece.size();
      piece.resize(old + more);
      fill_pattern(seed, done, piece.data() + old, more);
      done += more;
      message.body().data = piece.data();
      message.body().size = piece.size();
      message.body().more = done < head.size;
      lapse(monotonic_now());
      if (s.cause != stop_cause::none) co_return false;
      s.stream.expires_after(idle_time);
      auto [code, size] = co_await http::async_write(s.stream, serializer, as_result);
      if (s.cause != stop_cause::none) co_return false;
      if (code && code != http::error::need_buffer) {
        s.cause = stop_cause::caller_gone;
        co_return false;
      }
      if (done == head.size) {
        if (done + line.size() == piece.size() && draw(options.copy_answers)) {
          http::response<http::string_body> copy;
          copy.base() = message.base();
          copy.body() = piece;
          s.copy.keep(copy);
        }
        co_return facts.keep_alive;
      }
      piece.clear();
    }
  }
};

upstream_standin::upstream_standin(asio::any_io_executor executor, upstream_options options)
    : impl_(std::make_shared<impl>(std::move(executor), std::move(options))) {}

upstream_standin::~upstream_standin() { close(); }

void upstream_standin::close() {
  beast::error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->lapse_timer.cancel();
  if (impl_->entry) impl_->entry->stop();
  for (auto* each : impl_->open) each->stream.socket().close(ignored);
}

result<std::string> upstream_standin::listen(const std::string& address) {
  auto used = open_acceptor(impl_->acceptor, address);
  if (!used) return used;
  asio::co_spawn(impl_->executor, impl_->accept_loop(), asio::detached);
  asio::co_spawn(impl_->executor, impl_->watch_grant(), asio::detached);
  impl_->register_at(*used);
  return used;
}

}  // namespace plantainpaddle
