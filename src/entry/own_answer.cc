#include "entry/own_answer.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "upstream/grant_codec.h"

namespace plantainpaddle {

std::string_view outcome_name(run_outcome outcome) noexcept {
  constexpr std::array<std::string_view, run_outcome_count> names{"complete", "not-run", "unknown"};
  return names[static_cast<std::size_t>(outcome)];
}

std::string format_own_answer(const own_answer& answer, const own_answer_frame& frame) {
  const std::string body =
      boost::json::serialize(boost::json::object{{"code", answer.why.code.message()},
                                                 {"step", step_name(answer.why.at)},
                                                 {"peer", answer.why.peer},
                                                 {"detail", answer.why.detail},
                                                 {"outcome", outcome_name(answer.outcome)},
                                                 {"request", frame.request_id}});
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(answer.status));
  std::string out = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
  out.append(reason.data(), reason.size());
  out += "\r\nContent-Type: application/json\r\n";
  out.append(outcome_header).append(": ").append(outcome_name(answer.outcome)).append("\r\n");
  if (!frame.request_id.empty()) {
    out.append(request_id_header).append(": ").append(frame.request_id).append("\r\n");
  }
  if (answer.retry_after > duration::zero()) {
    const auto whole = std::chrono::ceil<seconds>(answer.retry_after).count();
    out += "Retry-After: " + std::to_string(whole) + "\r\n";
  }
  if (frame.close) out += "Connection: close\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!frame.head_only) out += body;
  return out;
}

}  // namespace plantainpaddle
