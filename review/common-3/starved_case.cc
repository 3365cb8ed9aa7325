// One key gets much of the traffic for some seconds, and then a few requests a second.
#include "cases.h"

namespace lab {

namespace {

constexpr int crowd = 60;          // clients
constexpr long crowd_ms = 5000;    // for which they ask
constexpr int hot_of_ten = 4;      // of their requests are for the key
constexpr int hot_key = 20000;
constexpr int steady = 6;          // clients that go on asking for the key only
constexpr long work_ms = 200;
constexpr long recover_ms = 15000; // `recovery`
constexpr long after_ms = 25000;   // the time that is watched after the crowd

}  // namespace

int hot_key_stays_refused(setting& world) {
  auto& kept = *new store(1);
  const std::vector<route_plan> routes{
      {"views", "/views/", "roster-svc", "safe", "4000ms", 0},
      {"wages", "/wages/", "payroll-svc", "unsafe", "4000ms", 1}};
  kept.write("op/config",
             desired_state(3, routes, {{"roster-svc", true}, {"payroll-svc", false}}, 440));
  new server(kept, world.log, {.id = "payroll-a", .service = "payroll-svc"});
  auto& only = *new server(kept, world.log,
                           {.id = "roster-a", .service = "roster-svc", .slots = 4, .sharded = true,
                            .work_ms = [](const message&) { return work_ms; }});
  std::vector<std::unique_ptr<entry>> entries;
  for (const char* name : {"edge-1", "edge-2", "edge-3"})
    entries.push_back(std::make_unique<entry>(name, kept.port(), world.temporary));
  if (!wait_ready(entries, 10000)) return 2;

  std::mutex mutex;
  std::vector<outcome> hot;
  std::vector<std::thread> clients;
  const auto client = [&](int number, long until, long pause_ms, int hot_turns) {
    for (int turn = 0; now_ms() < until; ++turn) {
      const bool is_hot = (turn * 7 + number) % 10 < hot_turns;
      request_plan asked{.path = "/views/x", .id = new_id(is_hot ? "hot" : "other"),
                         .key = is_hot ? hot_key : (turn * 7919 + number * 13007) % 65536,
                         .budget_ms = 4000};
      const auto at = static_cast<std::size_t>(number) % entries.size();
      const auto answer = ask(world.log, entries[at]->front(), asked);
      if (is_hot) {
        const std::lock_guard lock(mutex);
        hot.push_back(answer);
      }
      sleep_ms(pause_ms);
    }
  };
  sleep_ms(4000);
  const long begin = now_ms();
  const long calm = begin + crowd_ms;
  for (int i = 0; world.trouble && i < crowd; ++i)
    clients.emplace_back([&, i] { client(i, calm, 150, hot_of_ten); });
  sleep_until_ms(calm);
  world.log.add("the crowd has left");
  for (int i = 0; i < steady; ++i)
    clients.emplace_back([&, i] { client(i, calm + after_ms, 400, 10); });
  std::vector<outcome> wages;
  clients.emplace_back([&] {
    for (int turn = 0; now_ms() < calm + after_ms; ++turn) {
      const request_plan asked{.method = "POST", .path = "/wages/x", .id = new_id("wage"),
                               .body = "w", .budget_ms = 4000};
      const auto at = static_cast<std::size_t>(turn) % entries.size();
      wages.push_back(ask(world.log, entries[at]->front(), asked));
      sleep_ms(130);
    }
  });
  for (auto& one : clients) one.join();

  const auto count = [&](const std::vector<outcome>& from) {
    std::pair<int, int> found{0, 0};  // served, all
    for (const auto& one : from) {
      if (one.sent_at < calm + recover_ms) continue;
      ++found.second;
      found.first += one.status == 200 && one.whole ? 1 : 0;
    }
    return found;
  };
  const auto [served, all] = count(hot);
  const auto [paid, wages_sent] = count(wages);
  int arrived = 0;
  for (const auto& one : only.arrivals()) arrived += one.at >= calm + recover_ms ? 1 : 0;
  const auto text = [](int number) { return std::to_string(number); };
  world.log.add("later than recovery after the crowd: " + text(all) + " requests for the key, served " +
                text(served) + "; its server, which had nothing else to do, got " + text(arrived) +
                "; " + text(wages_sent) + " wages, served " + text(paid));
  const double kind = 1.0 * served / std::max(1, all);
  const double whole = 1.0 * (served + paid) / std::max(1, all + wages_sent);
  return kind < whole / 4 ? 1 : 0;
}

}  // namespace lab
