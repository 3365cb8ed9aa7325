// Clients read from a service. With trouble, some servers spoil a few of their answers: a header is
// folded over two lines, a form that RFC 9112 forbids servers to send.
#include <atomic>
#include <cstdlib>
#include <map>
#include <random>
#include <thread>

#include "common/entry.h"

using namespace review;

namespace {

constexpr int server_count = 4;
constexpr int faulty_servers = 2;         // of 4: a share of 0.5
constexpr double spoiled_share = 0.02;    // of their answers
constexpr std::int64_t window_ms = 5000;  // length of the trouble, which comes several times
constexpr std::int64_t pause_ms = 1000;   // between two of them
constexpr std::int64_t play_ms = 36'000;
constexpr std::int64_t request_gap_ms = 10;
constexpr std::int64_t budget_ms = 2500;

std::string printable(const std::string& bytes) {
  std::string out;
  for (const char c : bytes.substr(0, 200)) {
    const auto code = static_cast<unsigned char>(c);
    if (code >= 0x20 && code < 0x7f) {
      out += c;
    } else {
      char text[8];
      std::snprintf(text, sizeof text, "\\x%02x", code);
      out += text;
    }
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  const auto setup = read_setup(argc, argv);
  record log(setup.folder + "/record.txt");
  ledger runs;
  store platform;
  std::atomic<bool> in_window{false};
  std::atomic<int> spoiled{0};
  std::mutex random_mutex;
  std::mt19937 random(7);

  std::vector<std::unique_ptr<server>> servers;
  std::vector<server*> all;
  std::map<std::string, server*> by_id;
  for (int i = 0; i < server_count; ++i) {
    server_options options{.id = "desk-" + std::to_string(i),
                           .service = "desk",
                           .zone = "north",
                           .slots = 12,
                           .work_ms = 20,
                           .body_delay_ms = 150};
    if (i < faulty_servers) {
      options.spoil = [&](const message& request, int status, std::string answer) {
        const std::lock_guard lock(random_mutex);
        const bool picked = std::uniform_real_distribution<double>()(random) < spoiled_share;
        const std::string name = "X-Plantainpaddle-Server-Stamp:";
        const auto place = answer.find("\r\n", answer.find(name));
        if (!setup.troubled || !in_window || !picked || place == std::string::npos) return answer;
        ++spoiled;
        log.line("server folds a header of its answer %d to %s", status,
                 request.find("x-plantainpaddle-request-id").c_str());
        answer.insert(place, "\r\n ");
        return answer;
      };
    }
    servers.push_back(std::make_unique<server>(options, runs, log));
    all.push_back(servers.back().get());
    by_id[options.id] = all.back();
  }

  platform.write("op/config", desired_state(7, {{"stock", "/stock/", "safe", "desk", 1200, 2}},
                                            {{"desk", false}}));
  heartbeats beats(platform, all);
  std::vector<std::unique_ptr<entry>> entries;
  for (int i = 0; i < 2; ++i) {
    const auto name = "edge-" + std::to_string(i);
    entries.push_back(
        std::make_unique<entry>(setup, entry_options{.name = name}, platform.add_caller()));
  }
  for (const auto& each : entries) {
    if (!each->wait_until_ready(20'000)) end_case(2);
  }
  sleep_ms(2000);

  std::atomic<int> served{0};
  std::atomic<int> wrong{0};
  std::atomic<int> sent{0};
  std::atomic<int> under_way{0};
  const auto send_one = [&](int number) {
    ++under_way;
    std::thread([&, number] {
      const auto id = "look-" + std::to_string(number);
      const auto via = static_cast<std::size_t>(number % 2);
      const auto fields = request_fields(id, budget_ms, -1);
      const auto until = now_ms() + budget_ms + 1000;
      const int fd = connect_to(entries[via]->front(), 1000);
      message answer;
      bool whole = false;
      std::string raw;
      if (fd >= 0) {
        connection link(fd);
        whole = link.send(format_request("GET", "/stock/" + id, fields, "")) &&
                link.read_head(answer, true, until - now_ms(), &raw) &&
                link.read_body(answer, until - now_ms());
      }
      const auto done = runs.runs_of(id);
      log.line("client: %s through edge-%zu: %d", id.c_str(), via, whole ? answer.status : 0);
      const bool success = answer.status >= 200 && answer.status < 300;
      if (success && whole) ++served;
      bool stamped = false;
      for (const auto& each : done) {
        const auto stamp = by_id.at(each.server)->stamp_for(id);
        stamped = stamped || answer.find("x-plantainpaddle-server-stamp") == stamp;
      }
      bool clean = true;
      for (const char c : raw) {
        const auto code = static_cast<unsigned char>(c);
        clean = clean && ((code >= 0x20 && code != 0x7f) || c == '\r' || c == '\n' || c == '\t');
      }
      if (!raw.empty() && (!clean || (success && !stamped))) {
        ++wrong;
        const auto at = raw.find("X-Plantainpaddle-Server-Stamp");
        log.line(
            "MIXED: the answer to %s has status %d and %s, the server's stamp %s; from there: %s",
            id.c_str(), answer.status, clean ? "no stray bytes" : "control characters in its head",
            stamped ? "is there" : "isn't there",
            printable(at == std::string::npos ? raw : raw.substr(at)).c_str());
      }
      --under_way;
    }).detach();
  };
  const auto begin = now_ms();
  while (now_ms() < begin + play_ms) {
    in_window = (now_ms() - begin) % (window_ms + pause_ms) >= pause_ms;
    send_one(sent++);
    sleep_ms(request_gap_ms);
  }
  while (under_way > 0) sleep_ms(50);
  bool crashed = false;
  for (const auto& each : entries) crashed = crashed || each->has_ended();
  log.line("requests %d, served %d, folded answers %d, MIXED %d, a process ended: %s", sent.load(),
           served.load(), spoiled.load(), wrong.load(), crashed ? "yes" : "no");
  std::printf("requests %d, served %d, folded %d, MIXED %d, crashed %d\n", sent.load(),
              served.load(), spoiled.load(), wrong.load(), crashed ? 1 : 0);
  if (wrong > 0 || crashed) end_case(1);
  if (served * 2 < sent || (setup.troubled && spoiled == 0)) end_case(2);
  end_case(0);
}
