// Messages with which an instance asks another for news of the store, and the registration that
// says where it can be asked, as JSON.
//
//   {"token": 81, "sequence": 12, "era": 1, "revisions": [4, 9, 9, 3]}
//   {"token": 81, "sequence": 15, "era": 1, "held_us": 310000,
//    "feeds": [{"complete": true, "revision": 9, "age_us": 4100}],
//    "items": [{"key": "servers/a", "version": 9, "value": "..."},
//              {"key": "servers/b", "version": 8, "removed": true}, {"key": "c", "version": 7}]}
//   {"address": "10.1.0.18:7200", "domain": "north", "cores": 0.2}
//
// A value with other bytes than ASCII is sent as "base64".
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "ownership/news.h"
#include "ownership/news_source.h"

namespace plantainpaddle {

// Each parse function returns an error if the text is too long, is not JSON, or lacks or misuses a
// field.
std::string format_news_request(const news_request& request);
result<news_request> parse_news_request(std::string_view text);
std::string format_news_answer(const news_answer& answer);
result<news_answer> parse_news_answer(std::string_view text);

std::string format_registration(const instance_registration& instance);
result<instance_registration> parse_registration(std::string name, std::string_view text);

}  // namespace plantainpaddle
