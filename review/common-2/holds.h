// Finds keys that two servers of a service held at once, from what the servers wrote down.
//
// A server holds a key from a grant that it accepted until it is told to release it, its hold runs
// out, or its process ends.
#pragma once

#include "site.h"

namespace lab {

struct double_hold {
  std::string service, first, second;
  std::int64_t from = 0, to = 0;  // times
  std::size_t first_key = 0, last_key = 0;
  std::uint64_t first_fence = 0, second_fence = 0;
};

// `killed` says when the process of a server was killed, by id.
inline std::vector<double_hold> find_double_holds(const std::vector<json::object>& events,
                                                  const std::map<std::string, std::int64_t>& killed,
                                                  std::int64_t shortest_ms) {
  struct span {
    std::string id;
    std::int64_t from, to;
    std::uint64_t fence;
  };
  std::map<std::string, std::map<std::size_t, std::vector<span>>> spans;  // by service and key
  std::map<std::pair<std::string, std::size_t>, span> open;               // by server and key
  const auto close = [&](const std::string& service, std::size_t key, span held, std::int64_t at) {
    held.to = std::min(held.to, at);
    const auto end = killed.find(held.id);
    if (end != killed.end()) held.to = std::min(held.to, end->second);
    if (held.to > held.from) spans[service][key].push_back(held);
  };
  std::map<std::string, std::string> service_of;
  for (const auto& event : events) {
    const std::string ev(event.at("ev").as_string());
    if (ev != "grant" && ev != "release") continue;
    const std::string id(event.at("id").as_string());
    const std::string service(event.at("service").as_string());
    service_of[id] = service;
    const auto t = event.at("t").to_number<std::int64_t>();
    const auto from = event.at("from").to_number<std::size_t>();
    const auto target = event.at("target").to_number<std::size_t>();
    const auto fence = event.at("fence").to_number<std::uint64_t>();
    if (ev == "grant" && event.at("status").to_number<int>() != 200) continue;
    for (auto key = from; key <= target; ++key) {
      const auto at = std::make_pair(id, key);
      const auto known = open.find(at);
      if (ev == "release") {
        if (known != open.end()) close(service, key, known->second, t);
        open.erase(at);
        continue;
      }
      const auto until = t + event.at("hold_ms").to_number<std::int64_t>();
      if (known != open.end() && known->second.to >= t) {
        known->second.to = until;
        known->second.fence = fence;
      } else {
        if (known != open.end()) close(service, key, known->second, t);
        open[at] = {id, t, until, fence};
      }
    }
  }
  for (const auto& [at, held] : open) close(service_of[at.first], at.second, held, held.to);
  std::vector<double_hold> found;
  for (auto& [service, keys] : spans) {
    for (auto& [key, list] : keys) {
      std::sort(list.begin(), list.end(), [](const span& a, const span& b) {
        return std::tie(a.from, a.id) < std::tie(b.from, b.id);
      });
      for (std::size_t i = 0; i < list.size(); ++i) {
        for (std::size_t j = i + 1; j < list.size(); ++j) {
          if (list[i].id == list[j].id) continue;
          const auto from = std::max(list[i].from, list[j].from);
          const auto to = std::min(list[i].to, list[j].to);
          if (to - from <= shortest_ms) continue;
          auto same = std::find_if(found.begin(), found.end(), [&](const double_hold& one) {
            return one.service == service && one.first == list[i].id && one.second == list[j].id &&
                   one.from == from && one.to == to && one.last_key + 1 == key;
          });
          if (same != found.end()) {
            same->last_key = key;
          } else {
            found.push_back({service, list[i].id, list[j].id, from, to, key, key, list[i].fence,
                             list[j].fence});
          }
        }
      }
    }
  }
  return found;
}

}  // namespace lab
