// Messages of other instances about news of the store: any bytes are refused or read, and what was
// read can be formatted and read again.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "entry/news_messages.h"

using namespace plantainpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto request = parse_news_request(text)) {
    if (*parse_news_request(format_news_request(*request)) != *request) std::abort();
  }
  if (const auto answer = parse_news_answer(text)) {
    const auto again = parse_news_answer(format_news_answer(*answer));
    if (!again || again->feeds != answer->feeds) std::abort();
  }
  if (const auto instance = parse_registration("i", text)) {
    if (*parse_registration("i", format_registration(*instance)) != *instance) std::abort();
  }
  return 0;
}
