// A long answer whose turn on the client's connection comes later: the entry leaves it unread.
#include "cases.h"

namespace lab {

namespace {

constexpr long unread_ms = 3000;   // "a response that remains unread for some seconds"
constexpr long slow_ms = 5000;     // the work of the first request; a pull's tail is three times 1.7 s
constexpr std::size_t long_answer = 24 << 20;
constexpr int clients_count = 6;   // more than three may not be cut

}  // namespace

int answer_behind_slow_one(setting& world) {
  auto& kept = *new store(1);
  kept.write("op/config", desired_state(1, {{"pull", "/catalogue/", "plan-room", "safe", "30000ms"}},
                                        {{"plan-room", false}}, 580));
  const auto work = [](const message& m) { return m.second == "/catalogue/slow" ? slow_ms : 50L; };
  const auto body = [](const message& m) {
    return std::string(m.second == "/catalogue/long" ? long_answer : 1000, 'c');
  };
  for (const char* id : {"plan-a", "plan-b", "plan-c"})
    new server(kept, world.log, {.id = id, .service = "plan-room", .unread_ms = unread_ms,
                                 .work_ms = work, .body = body});
  std::vector<std::unique_ptr<entry>> entries;
  for (const char* name : {"edge-1", "edge-2"})
    entries.push_back(std::make_unique<entry>(name, kept.port(), world.temporary));
  if (!wait_ready(entries, 10000)) return 2;
  sleep_ms(1000);

  std::atomic<int> broken{0};
  std::atomic<int> good{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < clients_count; ++i) {
    clients.emplace_back([&, i] {
      const int fd = connect_to(entries[static_cast<std::size_t>(i) % 2]->front());
      if (fd < 0) return;
      link own(fd);
      const request_plan first{.path = world.trouble ? "/catalogue/slow" : "/catalogue/quick",
                               .id = new_id("first"), .budget_ms = 30000};
      const request_plan second{.path = "/catalogue/long", .id = new_id("long"),
                                .budget_ms = 30000};
      const long sent = now_ms();
      own.write(request_text(first) + request_text(second));
      const auto one = own.read(sent + 30000, true);
      const auto two = own.read(sent + 30000, true);
      const bool whole = two.status() == 200 && two.whole && two.body.size() == long_answer;
      world.log.add("client " + first.id + " -> " + std::to_string(one.status()) + ", " + second.id +
                    " -> " + std::to_string(two.status()) + ", " + std::to_string(two.body.size()) +
                    " of " + std::to_string(long_answer) + " bytes after " +
                    std::to_string(now_ms() - sent) + " ms" + (whole ? "" : ", INCOMPLETE"));
      (whole ? good : broken) += 1;
    });
  }
  for (auto& one : clients) one.join();
  world.log.add("answers that were cut on a kept connection: " + std::to_string(broken));
  if (good + broken < clients_count) return 2;
  return broken > 3 ? 1 : 0;
}

}  // namespace lab
