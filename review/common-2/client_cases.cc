// Cases about what clients do on one connection.
#include "cases.h"

namespace lab {
namespace {

bool wait_until_served(const entry_row& at, const std::string& service, std::int64_t longest_ms) {
  const auto end = now_ms() + longest_ms;
  while (now_ms() < end) {
    const auto answer = call(
        at.callers, format_request("GET", service, "probe", new_request_id("p"), 9000, -1), 10000);
    if (answer && answer->status == 200) return true;
    sleep_ms(50);
  }
  return false;
}

std::vector<json::object> collect(site& here, const std::vector<std::string>& ids,
                                  client_log& clients) {
  auto events = clients.take();
  for (const auto& id : ids) {
    for (auto& event : read_log(here.log_of(id))) events.push_back(std::move(event));
  }
  return events;
}

}  // namespace

// A client sends a further safe request, whose body waits for "100 Continue", while the answer to
// its first one is still coming.
int play_interim_response(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble) {
  constexpr std::size_t answer_bytes = 200000;
  constexpr int rounds = 3;
  site here(self, entry);
  client_log clients;
  const service_row service{.name = "gamma"};
  here.start_store();
  here.put_config({service});
  std::vector<std::string> ids{"g1", "g2"};
  for (const auto& id : ids) {
    // The server's bytes come in two parts, as it needs a while for the second.
    here.start_server(
        id, service, free_address(),
        {"body=" + std::to_string(answer_bytes), "pause_after=100000", "pause_ms=800", "work=20"});
  }
  const auto at = here.start_entry("edge-z-a", "z-a");
  if (!wait_until_served(at, "gamma", 20000)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  std::vector<std::string> lines;
  int broken = 0;
  for (int round = 0; round < rounds; ++round) {
    const int fd = connect_to(at.callers);
    if (fd < 0) return 2;
    reader in(fd);
    const auto first = new_request_id("first");
    const auto second = new_request_id("second");
    const std::string body(3000, 'q');
    const auto head = format_request("POST", "gamma", "search", second, 5000, -1,
                                     "Content-Length: 3000\r\nExpect: 100-continue\r\n");
    clients.note({{"ev", "sent"}, {"request", first}});
    send_all(fd, format_request("GET", "gamma", "report", first, 5000, -1));
    message answer;
    const auto until = now_ms() + 8000;
    bool whole = in.head(answer, until);
    const int status = answer.status;
    std::string got;
    whole = whole && in.take(50000, got, until);
    const auto send_second = [&] {
      clients.note({{"ev", "sent"}, {"request", second}, {"expects", "100-continue"}});
      send_all(fd, head);
    };
    if (trouble) send_second();
    whole = whole && in.take(answer_bytes - got.size(), got, until);
    const bool same = got == server::body_of(first, answer_bytes);
    const auto differs =
        std::mismatch(got.begin(), got.end(), server::body_of(first, answer_bytes).begin()).first -
        got.begin();
    clients.note({{"ev", "answered"},
                  {"request", first},
                  {"status", status},
                  {"bytes", got.size()},
                  {"is_the_servers_body", same}});
    if (!trouble) send_second();
    // The client waits for the interim answer for up to a second, and sends its body all the same.
    message interim;
    const bool told = same && in.head(interim, now_ms() + 1000);
    send_all(fd, body);
    message last = interim;
    if (same && (!told || interim.status == 100)) in.head(last, now_ms() + 5000);
    clients.note({{"ev", "answered"}, {"request", second}, {"status", last.status}});
    ::close(fd);
    if (!whole) {
      lines.push_back("round " + std::to_string(round) + ": the first answer was not whole");
    } else if (!same) {
      ++broken;
      const auto offset = static_cast<std::size_t>(differs);
      lines.push_back("MIXED: round " + std::to_string(round) + ": the answer to " + first +
                      ", status " + std::to_string(status) +
                      ", differs from the server's body at " + std::to_string(offset) + ": \"" +
                      got.substr(offset, 21) + "\"");
    }
  }
  lines.push_back(broken == 0 ? "the rule held" : "the rule was broken");
  write_record(record, collect(here, ids, clients), here.began(), lines);
  for (const auto& line : lines) std::cout << line << '\n';
  return broken == 0 ? 0 : 1;
}

// Clients send ten safe requests ahead on a connection, and some of them leave long before these
// would be done. The first is done soon, the others take longer.
int play_pipeline_left(const std::string& self, const std::string& entry, const std::string& record,
                       bool trouble) {
  constexpr int clients_count = 14;
  constexpr int leaving = 4;  // a share of 0.29
  constexpr int ahead = 10;
  constexpr std::int64_t first_work_ms = 1500;
  constexpr std::int64_t work_ms = 3000;
  constexpr std::int64_t leave_ms = 600;
  constexpr std::int64_t allowed_ms = 500;  // GONE: "half a second later"
  site here(self, entry);
  client_log clients;
  const service_row service{.name = "delta", .timeout = "9000ms"};
  here.start_store();
  here.put_config({service});
  std::vector<std::string> ids;
  for (int i = 1; i <= 20; ++i) {
    ids.push_back("d" + std::to_string(i));
    here.start_server(ids.back(), service, free_address(),
                      {"work=" + std::to_string(work_ms), "slots=6"});
  }
  const auto at = here.start_entry("edge-z-a", "z-a");
  if (!wait_until_served(at, "delta", 20000)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  sleep_ms(1000);
  std::map<std::string, std::int64_t> left;  // when the request's client closed its connection
  std::vector<std::pair<int, std::vector<std::string>>> open;
  for (int i = 0; i < clients_count; ++i) {
    const int fd = connect_to(at.callers);
    std::string text;
    std::vector<std::string> sent;
    for (int j = 0; j < ahead; ++j) {
      sent.push_back(new_request_id("c" + std::to_string(i)));
      const auto path = "w" + std::to_string(j == 0 ? first_work_ms : work_ms);
      text += format_request("GET", "delta", path, sent.back(), 8000, -1);
      clients.note({{"ev", "sent"}, {"request", sent.back()}});
    }
    send_all(fd, text);
    open.emplace_back(fd, sent);
  }
  if (trouble) {
    sleep_ms(leave_ms);
    for (int i = 0; i < leaving; ++i) {
      ::close(open[static_cast<std::size_t>(i)].first);
      for (const auto& id : open[static_cast<std::size_t>(i)].second) left[id] = now_ms();
    }
    clients.note({{"ev", "left"}, {"clients", leaving}});
  }
  for (std::size_t i = trouble ? leaving : 0; i < open.size(); ++i) {
    const auto& [fd, sent] = open[i];
    reader in(fd);
    for (const auto& id : sent) {
      message answer;
      const bool whole = in.head(answer, now_ms() + 9000) && in.body(answer, now_ms() + 9000);
      clients.note({{"ev", "answered"}, {"request", id}, {"status", whole ? answer.status : 0}});
    }
    ::close(fd);
  }
  sleep_ms(1500);
  auto events = collect(here, ids, clients);
  std::map<std::string, std::int64_t> began, ended;
  for (const auto& event : events) {
    const std::string ev(event.at("ev").as_string());
    if (ev != "run" && ev != "end") continue;
    const std::string id(event.at("request").as_string());
    (ev == "run" ? began : ended)[id] = event.at("t").to_number<std::int64_t>();
  }
  int would_last = 0, at_work = 0, late = 0;
  for (const auto& [id, t] : left) {
    if (began.count(id) == 0) continue;
    if (began[id] > t + allowed_ms) {
      ++late;
    } else {
      ++would_last;
      at_work += ended.count(id) == 0 || ended[id] > t + allowed_ms ? 1 : 0;
    }
  }
  const bool broken = 4 * at_work > would_last || late > 3;
  const std::vector<std::string> lines{
      "requests that would have lasted for over half a second after their client had left: " +
          std::to_string(would_last),
      "servers were still at work on " + std::to_string(at_work) + " of them half a second later",
      "requests that reached a server over half a second after their client had left: " +
          std::to_string(late),
      broken ? "GONE: the rule was broken" : "the rule held"};
  write_record(record, std::move(events), here.began(), lines);
  for (const auto& line : lines) std::cout << line << '\n';
  return broken ? 1 : 0;
}

}  // namespace lab
