#include "load/exchange.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "standin/answer_body.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t piece_bytes = 64 << 10;
constexpr std::size_t slow_piece_bytes = 4 << 10;
constexpr std::size_t max_head_line_bytes = 64 << 10;

std::size_t piece_size(const exchange_spec& spec) {
  return spec.slow_bytes_per_second == 0 ? piece_bytes : slow_piece_bytes;
}

// Pauses so that a slow caller keeps its rate.
asio::awaitable<void> pace(load_connection& connection, const exchange_spec& spec,
                           std::size_t bytes) {
  if (spec.slow_bytes_per_second == 0) co_return;
  asio::steady_timer timer(connection.stream.get_executor());
  timer.expires_after(std::chrono::microseconds(bytes * 1'000'000 / spec.slow_bytes_per_second));
  co_await timer.async_wait(as_result);
}

http::request<http::buffer_body> head_of(const exchange_spec& spec) {
  http::request<http::buffer_body> message;
  message.method_string(spec.method);
  message.target(spec.target);
  message.version(11);
  message.set(http::field::host, spec.host.empty() ? "localhost" : spec.host);
  message.set(spec.names.request_id, spec.id);
  if (!spec.names.tenant.empty()) message.set(spec.names.tenant, spec.tenant);
  message.set(spec.names.deadline,
              std::to_string(std::chrono::duration_cast<milliseconds>(spec.deadline).count()));
  message.set(standin_class_header, spec.klass);
  message.set(standin_busy_header, std::to_string(spec.busy.count()));
  message.set(standin_size_header, std::to_string(spec.answer_bytes));
  if (!spec.key_header.empty()) message.set(spec.key_header, spec.key);
  if (spec.upload_bytes > 0 || spec.method == "POST" || spec.method == "PUT") {
    message.content_length(spec.upload_bytes);
  }
  return message;
}

// Compares the bytes of an answer with what the stand-in must say.
class answer_check {
 public:
  answer_check(const exchange_spec& spec, std::uint64_t checksum)
      : spec_(&spec), checksum_(checksum), seed_(pattern_seed(spec.id)) {}

  void add(std::string_view bytes) {
    if (!head_) {
      line_ += bytes;
      const auto end = line_.find('\n');
      if (end == std::string::npos) {
        if (line_.size() > max_head_line_bytes) fault_ = "no head line";
        return;
      }
      read_head(std::string_view(line_).substr(0, end));
      const std::string rest = line_.substr(end + 1);
      if (fault_.empty()) add_pattern(rest);
      return;
    }
    add_pattern(bytes);
  }

  std::string fault() const {
    if (!fault_.empty()) return fault_;
    if (!head_) return "no head line";
    return seen_ == spec_->answer_bytes ? "" : "the body has a wrong length";
  }
  std::string upstream() const { return head_ ? head_->upstream : ""; }

 private:
  void read_head(std::string_view line) {
    const auto head = parse_answer_head(line);
    if (!head) {
      fault_ = "the head line is not readable";
      return;
    }
    head_ = *head;
    if (head->id != spec_->id || head->target != spec_->target) fault_ = "another request's answer";
    if (head->received != spec_->upload_bytes) fault_ = "the upstream received another length";
    if (spec_->upload_bytes > 0 && head->checksum != checksum_) {
      fault_ = "the upstream received other bytes";
    }
    if (head->size != spec_->answer_bytes) fault_ = "another size";
  }

  void add_pattern(std::string_view bytes) {
    expected_.resize(bytes.size());
    fill_pattern(seed_, seen_, expected_.data(), bytes.size());
    if (std::string_view(expected_) != bytes) fault_ = "a byte of the body is wrong";
    seen_ += bytes.size();
  }

  const exchange_spec* spec_;
  std::uint64_t checksum_;
  std::uint64_t seed_;
  std::uint64_t seen_ = 0;
  std::string line_;
  std::string expected_;
  std::string fault_;
  std::optional<answer_head> head_;
};

// Statuses that say by themselves that the request hasn't run.
bool is_promise(unsigned status) {
  constexpr unsigned promises[] = {408, 421, 429, 503};
  return std::find(std::begin(promises), std::end(promises), status) != std::end(promises);
}

// Where no field tells the outcome, the status does.
load_outcome outcome_of(unsigned status, const std::string& fault) {
  if (status == 200) return fault.empty() ? load_outcome::complete : load_outcome::wrong;
  if (is_promise(status)) return load_outcome::not_run;
  return status >= 400 && status < 500 ? load_outcome::refused : load_outcome::unknown;
}

load_outcome outcome_of(unsigned status, std::string_view told, const std::string& fault) {
  if (told == "not-run") {
    return status >= 400 && status < 500 ? load_outcome::refused : load_outcome::not_run;
  }
  if (told == "unknown" || status != 200) return load_outcome::unknown;
  return fault.empty() ? load_outcome::complete : load_outcome::wrong;
}

}  // namespace

asio::awaitable<exchange_answer> run_exchange(load_connection& connection,
                                              const exchange_spec& spec) {
  const sent_request sent = co_await send_request(connection, spec);
  co_return co_await read_answer(connection, spec, sent);
}

asio::awaitable<sent_request> send_request(load_connection& connection, const exchange_spec& spec) {
  connection.stream.expires_after(spec.give_up);
  auto message = head_of(spec);
  http::request_serializer<http::buffer_body> serializer(message);
  running_checksum checksum;
  std::vector<char> piece(std::min<std::uint64_t>(piece_size(spec), spec.upload_bytes));
  const std::uint64_t seed = pattern_seed(spec.id);
  std::uint64_t done = 0;
  while (true) {
    const auto length =
        static_cast<std::size_t>(std::min<std::uint64_t>(piece.size(), spec.upload_bytes - done));
    fill_pattern(seed, done, piece.data(), length);
    checksum.add({piece.data(), length});
    done += length;
    message.body().data = length == 0 ? nullptr : piece.data();
    message.body().size = length;
    message.body().more = done < spec.upload_bytes;
    auto [code, size] = co_await http::async_write(connection.stream, serializer, as_result);
    if (code && code != http::error::need_buffer) co_return sent_request{code, 0};
    if (done == spec.upload_bytes) co_return sent_request{{}, checksum.value()};
    co_await pace(connection, spec, length);
  }
}

asio::awaitable<exchange_answer> read_answer(load_connection& connection, const exchange_spec& spec,
                                             const sent_request& sent) {
  exchange_answer answer;
  // An early answer (a refusal) may stand in the buffer although the body wasn't taken.
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  if (spec.method == "HEAD") parser.skip(true);
  auto [code, size] =
      co_await http::async_read_header(connection.stream, connection.buffer, parser, as_result);
  if (code) {
    answer.detail = sent.code ? "write: " + sent.code.message() : "read: " + code.message();
    co_return answer;
  }
  answer.status = parser.get().result_int();
  const bool tells = !spec.names.outcome.empty();
  const std::string told = tells ? std::string(parser.get()[spec.names.outcome]) : "";
  answer_check check(spec, sent.checksum);
  std::vector<char> piece(piece_size(spec));
  std::string text;  // of an answer that isn't the stand-in's, for the record
  while (!parser.is_done()) {
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    auto [read_code, got] =
        co_await http::async_read(connection.stream, connection.buffer, parser, as_result);
    if (read_code && read_code != http::error::need_buffer) {
      answer.detail = "broken body: " + read_code.message();
      co_return answer;
    }
    const std::size_t length = piece.size() - parser.get().body().size;
    if (answer.status == 200) {
      check.add({piece.data(), length});
    } else if (text.size() < 256) {
      text.append(piece.data(), std::min<std::size_t>(length, 256));
    }
    co_await pace(connection, spec, length);
  }
  connection.stream.expires_never();
  const std::string fault = spec.method == "HEAD" ? "" : check.fault();
  answer.outcome =
      tells ? outcome_of(answer.status, told, fault) : outcome_of(answer.status, fault);
  answer.detail = answer.status == 200 ? fault : text;
  answer.upstream = check.upstream();
  answer.reusable = !sent.code && parser.get().keep_alive();
  co_return answer;
}

bool is_quiet(load_connection& connection) {
  char byte = 0;
  beast::error_code code;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, code);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
  return code == asio::error::would_block;
}

}  // namespace plantainpaddle
