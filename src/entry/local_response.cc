#include "entry/local_response.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "base/json.h"
#include "routing/response_status.h"

namespace plantainpaddle {

std::string_view outcome_name(run_outcome outcome) noexcept {
  constexpr std::array<std::string_view, run_outcome_count> names{"complete", "not-run", "unknown"};
  return names[static_cast<std::size_t>(outcome)];
}

namespace {

// Value of Retry-After in seconds, with milliseconds if `fractional`, else rounded up.
std::string retry_after_text(duration after, bool fractional) {
  if (!fractional) return std::to_string(std::chrono::ceil<seconds>(after).count());
  return number_text(static_cast<double>(std::chrono::ceil<milliseconds>(after).count()) / 1000);
}

}  // namespace

local_response no_room_response(std::string peer, std::string detail, duration retry_after) {
  return {status_unavailable,
          {errc::limit_exceeded, step::admit, std::move(peer), std::move(detail)},
          run_outcome::not_run,
          retry_after};
}

local_response settle(local_response wanted, bool may_have_run) {
  if (may_have_run && wanted.outcome == run_outcome::not_run) wanted.outcome = run_outcome::unknown;
  const bool not_run = wanted.outcome == run_outcome::not_run;
  const auto terms = choose_terms(wanted.status, not_run ? run_state::not_run : run_state::unknown);
  wanted.status = terms.status;
  if (!terms.may_retry) wanted.retry_after = duration::zero();
  return wanted;
}

std::string format_local_response(const local_response& response, const local_response_frame& frame,
                                  const header_names& names) {
  const std::string body =
      boost::json::serialize(boost::json::object{{"code", response.cause.code.message()},
                                                 {"step", step_name(response.cause.at)},
                                                 {"peer", response.cause.peer},
                                                 {"detail", response.cause.detail},
                                                 {"outcome", outcome_name(response.outcome)},
                                                 {"request", frame.request_id}});
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + ' ';
  out.append(reason.data(), reason.size());
  out += "\r\nContent-Type: application/json\r\n";
  if (!names.outcome.empty()) {
    out.append(names.outcome).append(": ").append(outcome_name(response.outcome)).append("\r\n");
  }
  if (!frame.request_id.empty()) {
    out.append(names.request_id).append(": ").append(frame.request_id).append("\r\n");
  }
  if (response.retry_after > duration::zero()) {
    out += "Retry-After: " + retry_after_text(response.retry_after, names.fractional_retry_after);
    out += "\r\n";
  }
  if (frame.close) out += "Connection: close\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!frame.head_only) out += body;
  return out;
}

}  // namespace plantainpaddle
