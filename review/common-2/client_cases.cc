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

// Clients keep their connections and send six safe requests at a time ahead. Some servers break off
// a few of their answers.
int play_pipeline_cut(const std::string& self, const std::string& entry, const std::string& record,
                      bool trouble) {
  constexpr int servers_count = 10;
  constexpr int faulty = 3;  // a share of 0.3
  constexpr int clients_count = 12;
  constexpr int ahead = 6;
  constexpr std::size_t answer_bytes = 100000;
  constexpr std::int64_t length_ms = 20000;
  constexpr int allowed = 3;  // LOST: "more than three times"
  site here(self, entry);
  client_log clients;
  const service_row service{.name = "omega"};
  here.start_store();
  here.put_config({service});
  std::vector<std::string> ids;
  std::set<std::string> sound;
  for (int i = 1; i <= servers_count; ++i) {
    const bool cuts = trouble && i <= faulty;
    ids.push_back("o" + std::to_string(i));
    if (!cuts) sound.insert(ids.back());
    here.start_server(ids.back(), service, free_address(),
                      {"work=20", "body=" + std::to_string(answer_bytes),
                       std::string("cut=") + (cuts ? "0.02" : "0")});
  }
  const auto at = here.start_entry("edge-z-a", "z-a");
  if (!wait_until_served(at, "omega", 20000)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  sleep_ms(500);
  std::mutex mutex;
  std::set<std::string> unanswered;  // sent on a kept connection that ended before their answers
  int sent_count = 0;
  std::vector<std::thread> threads;
  const auto end = now_ms() + length_ms;
  for (int i = 0; i < clients_count; ++i) {
    threads.emplace_back([&, i] {
      while (now_ms() < end) {
        const int fd = connect_to(at.callers);
        if (fd < 0) continue;
        reader in(fd);
        bool open = true;
        bool kept = false;
        while (open && now_ms() < end) {
          std::vector<std::string> sent;
          std::string text;
          for (int j = 0; j < ahead; ++j) {
            sent.push_back(new_request_id("c" + std::to_string(i)));
            text += format_request("GET", "omega", "report", sent.back(), 5000, -1);
            clients.note({{"ev", "sent"}, {"request", sent.back()}, {"kept", kept}});
          }
          open = send_all(fd, text);
          for (const auto& id : sent) {
            message answer;
            const auto until = now_ms() + 7000;
            const bool begun = open && in.head(answer, until);
            const bool whole = begun && in.body(answer, until);
            open = whole;
            clients.note({{"ev", whole ? "answered" : (begun ? "broken" : "unanswered")},
                          {"request", id},
                          {"status", begun ? answer.status : 0}});
            const std::lock_guard lock(mutex);
            ++sent_count;
            if (!begun && kept) unanswered.insert(id);
            kept = kept || whole;
          }
          sleep_ms(100);
        }
        ::close(fd);
      }
    });
  }
  for (auto& one : threads) one.join();
  sleep_ms(500);
  auto events = collect(here, ids, clients);
  int lost = 0, cut = 0;
  for (const auto& event : events) {
    const std::string ev(event.at("ev").as_string());
    cut += ev == "cut" ? 1 : 0;
    if (ev != "run" || sound.count(std::string(event.at("id").as_string())) == 0) continue;
    lost += unanswered.count(std::string(event.at("request").as_string())) != 0 ? 1 : 0;
  }
  const std::vector<std::string> lines{
      "requests sent: " + std::to_string(sent_count),
      "answers that servers broke off: " + std::to_string(cut),
      "requests from a kept connection that a sound server ran and that got no answer, as their "
      "connection was closed: " +
          std::to_string(lost),
      lost > allowed ? "LOST: the rule was broken" : "the rule held"};
  write_record(record, std::move(events), here.began(), lines);
  for (const auto& line : lines) std::cout << line << '\n';
  return lost > allowed ? 1 : 0;
}

}  // namespace lab
