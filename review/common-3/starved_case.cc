// One key gets much of the traffic for some seconds, and then a few requests a second.
#include "cases.h"

namespace lab {

namespace {

const long hot_ms = std::getenv("HOT") ? std::atol(std::getenv("HOT")) : 6000;
constexpr long recover_ms = 15000;
constexpr long calm_ms = 25000;
constexpr int hot_key = 20000;

}  // namespace

int hot_key_stays_refused(setting& world) {
  auto& kept = *new store(1);
  std::vector<route_plan> routes{{"views", "/views/", "roster-svc", "safe", "4000ms"}};
  routes.front().priority = 0;
  kept.write("op/config", desired_state(3, routes, {{"roster-svc", true}}, 440));
  std::vector<server*> servers;
  for (const char* id : {"roster-a", "roster-b", "roster-c", "roster-d"})
    servers.push_back(new server(kept, world.log,
                                 {.id = id, .service = "roster-svc", .slots = std::getenv("SLOTS") ? std::atoi(std::getenv("SLOTS")) : 4, .queue = 12, .sharded = true,
                                  .work_ms = [](const message&) { return std::getenv("WORK") ? std::atol(std::getenv("WORK")) : 200L; }}));
  std::vector<std::unique_ptr<entry>> entries;
  const int entry_count = std::getenv("ENTRIES") ? std::atoi(std::getenv("ENTRIES")) : 3;
  for (int i = 0; i < entry_count; ++i) {
    const std::string name = "edge-" + std::to_string(i + 1);
    entries.push_back(std::make_unique<entry>(name, kept.port(), world.temporary));
  }
  if (!wait_ready(entries, 10000)) return 2;

  std::mutex mutex;
  std::vector<outcome> hot;
  std::vector<std::thread> clients;
  std::atomic<bool> over{false};
  std::atomic<int> crowd{0};
  // Asks for the hot key and then for other keys, with a pause between two requests.
  const auto client = [&](int number, long until, long pause_ms, bool only_hot) {
    for (int turn = 0; now_ms() < until; ++turn) {
      const bool is_hot = only_hot || turn % 2 == 0;
      request_plan asked{.path = "/views/x", .id = new_id(is_hot ? "hot" : "other"),
                         .key = is_hot ? hot_key : (turn * 7919 + number * 13007) % 65536,
                         .budget_ms = 4000};
      const auto answer =
          ask(world.log, entries[static_cast<std::size_t>(number) % entries.size()]->front(), asked);
      if (is_hot) {
        const std::lock_guard lock(mutex);
        hot.push_back(answer);
      }
      sleep_ms(pause_ms);
    }
  };
  sleep_ms(4000);
  const long begin = now_ms();
  if (world.trouble) {
    for (int i = 0; i < (std::getenv("CROWD") ? std::atoi(std::getenv("CROWD")) : 60); ++i)
      clients.emplace_back([&, i] { client(i, begin + hot_ms, 150, false); });
  }
  sleep_until_ms(begin + hot_ms);
  world.log.add("the crowd has left");
  std::vector<std::thread> steady;
  for (int i = 0; i < 6; ++i)
    steady.emplace_back([&, i] { client(i, begin + hot_ms + calm_ms, 400, true); });
  for (auto& one : clients) one.join();
  for (auto& one : steady) one.join();

  int all = 0;
  int served = 0;
  for (const auto& one : hot) {
    if (one.sent_at < begin + hot_ms + recover_ms) continue;
    ++all;
    served += one.status == 200 && one.whole ? 1 : 0;
  }
  world.log.add("requests for the key later than recovery after the crowd: " + std::to_string(all) +
                ", served: " + std::to_string(served));
  return 4 * served < all ? 1 : 0;
}

}  // namespace lab
