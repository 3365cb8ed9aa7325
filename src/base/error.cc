#include "base/error.h"

#include <stdexcept>

namespace plantainpaddle {
namespace {

class category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "plantainpaddle"; }

  std::string message(int value) const override {
    switch (static_cast<errc>(value)) {
      case errc::bad_input:
        return "bad-input";
      case errc::not_found:
        return "not-found";
      case errc::conflict:
        return "conflict";
      case errc::unavailable:
        return "unavailable";
      case errc::timed_out:
        return "timed-out";
      case errc::refused:
        return "refused";
      case errc::limit_exceeded:
        return "limit-exceeded";
      case errc::not_owner:
        return "not-owner";
      case errc::stale:
        return "stale";
      case errc::protocol:
        return "protocol";
      case errc::cancelled:
        return "cancelled";
      case errc::internal:
        return "internal";
    }
    return "unknown";
  }
};

}  // namespace

const std::error_category& plantainpaddle_category() noexcept {
  static const category instance;
  return instance;
}

std::error_code make_error_code(errc code) noexcept {
  return {static_cast<int>(code), plantainpaddle_category()};
}

std::string_view step_name(step at) noexcept {
  switch (at) {
    case step::settings:
      return "settings";
    case step::table:
      return "table";
    case step::listen:
      return "listen";
    case step::parse_request:
      return "parse-request";
    case step::route:
      return "route";
    case step::limit:
      return "limit";
    case step::admit:
      return "admit";
    case step::connect:
      return "connect";
    case step::send_request:
      return "send-request";
    case step::read_answer:
      return "read-answer";
    case step::store:
      return "store";
    case step::instance_list:
      return "instance-list";
    case step::peer:
      return "peer";
    case step::grant:
      return "grant";
    case step::ownership:
      return "ownership";
  }
  return "unknown";
}

std::string to_string(const error& e) {
  std::string text(step_name(e.at));
  if (!e.peer.empty()) text += " " + e.peer;
  text += ": " + e.detail;
  if (e.code) text += " (" + e.code.message() + ")";
  return text;
}

void throw_exception_from_error(const error& e, const boost::source_location& /*where*/) {
  throw std::logic_error("value() was called on a failed result: " + to_string(e));
}

}  // namespace plantainpaddle
