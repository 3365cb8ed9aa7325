// The platform's store comes back from a copy for the first time, and counts its returns from 0.
#include "cases.h"

namespace lab {

namespace {

constexpr long quiet_ms = 3000;   // `quiet-period`
constexpr long apply_ms = 2500;   // `config-apply`
constexpr long recover_ms = 15000;
constexpr long copy_age_ms = 8000;
constexpr long away_ms = 500;

}  // namespace

int first_era_is_zero(setting& world) {
  const char* wanted = std::getenv("FIRST_ERA");
  // Its threads run until the process ends, as the servers' do.
  auto& kept = *new store(wanted == nullptr ? 0 : std::strtoull(wanted, nullptr, 10));
  std::vector<route_plan> routes{{"lookup", "/stock/", "counter-desk", "safe", "10000ms"},
                                 {"order", "/orders/", "order-book", "unsafe", "12000ms"}};
  const std::vector<std::pair<std::string, bool>> services{{"counter-desk", true},
                                                           {"order-book", false}};
  kept.write("op/config", desired_state(3, routes, services, 580));
  for (const char* id : {"desk-a", "desk-b", "desk-c"})
    new server(kept, world.log,
               server::plan{.id = id, .service = "counter-desk", .sharded = true});
  for (const char* id : {"book-a", "book-b"})
    new server(kept, world.log, server::plan{.id = id, .service = "order-book"});
  std::vector<std::unique_ptr<entry>> entries;
  for (const char* name : {"edge-1", "edge-2", "edge-3"})
    entries.push_back(std::make_unique<entry>(name, kept.port(), world.temporary));
  if (!wait_ready(entries, 10000)) return 2;

  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<outcome> lookups;
  std::vector<outcome> on_new_route;
  const auto client = [&](int number, const std::string& kind, const std::string& path, bool keyed,
                          std::vector<outcome>& into) {
    for (int turn = 0; !over; ++turn) {
      request_plan asked{.path = path, .id = new_id(kind), .budget_ms = 2000};
      if (keyed) asked.key = (turn * 7919 + number * 13007) % 65536;
      const auto answer =
          ask(world.log, entries[static_cast<std::size_t>(turn) % entries.size()]->front(), asked);
      {
        const std::lock_guard lock(mutex);
        into.push_back(answer);
      }
      sleep_until_ms(answer.sent_at + 200);
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i)
    clients.emplace_back([&, i] { client(i, "lookup", "/stock/x", true, lookups); });

  const long limit = now_ms() + 30000;
  const auto served_since = [&](const std::vector<outcome>& from, long since, long until) {
    const std::lock_guard lock(mutex);
    std::pair<int, int> out{0, 0};
    for (const auto& one : from) {
      if (one.sent_at < since || one.sent_at >= until) continue;
      ++out.second;
      out.first += one.status == 200 && one.whole && one.stamped ? 1 : 0;
    }
    return out;
  };
  const auto stop = [&](int verdict) {
    over = true;
    for (auto& one : clients) one.join();
    return verdict;
  };
  while (true) {
    const auto [good, all] = served_since(lookups, now_ms() - 2000, now_ms());
    if (all >= 20 && good == all) break;
    if (now_ms() > limit) return stop(2);
    sleep_ms(100);
  }
  world.log.add("all keys are served");

  // In the copy's place: the same time passes without the disruption.
  if (world.trouble) kept.copy();
  world.log.add("copy, revision " + std::to_string(kept.revision()));
  const long copied = now_ms();
  sleep_until_ms(copied + 2000);
  new server(kept, world.log,
             server::plan{.id = "desk-d", .service = "counter-desk", .sharded = true});
  sleep_until_ms(copied + copy_age_ms - 1500);
  const auto second_state = [&] { return desired_state(4, routes, services, 580); };
  routes.push_back({"spare", "/spare/", "order-book", "safe", "10000ms"});
  kept.write("op/config", second_state());
  world.log.add("version 4 is acknowledged");
  sleep_until_ms(copied + copy_age_ms);
  world.log.add("before the return, revision " + std::to_string(kept.revision()));
  if (world.trouble) {
    kept.set_away(true);
    sleep_ms(away_ms);
    kept.restore();
    kept.set_away(false);
    kept.write("op/config", second_state());  // written again
  }
  const long back = now_ms();
  world.log.add("the store is back, revision " + std::to_string(kept.revision()));

  sleep_until_ms(back + quiet_ms + 500);
  routes.push_back({"prices", "/prices/", "order-book", "safe", "10000ms"});
  kept.write("op/config", desired_state(5, routes, services, 580));
  const long acked = now_ms();
  world.log.add("version 5 is acknowledged");
  clients.emplace_back([&] { client(0, "price", "/prices/x", false, on_new_route); });
  sleep_until_ms(back + recover_ms + 10000);
  stop(0);

  int old_version = 0;
  int after_apply = 0;
  for (const auto& one : on_new_route) {
    if (one.sent_at <= acked + apply_ms) continue;
    ++after_apply;
    old_version += one.status == 404 ? 1 : 0;
  }
  const auto [good, all] = served_since(lookups, back + recover_ms, now_ms());
  world.log.add("on the new route later than config-apply after its ack: " +
                std::to_string(after_apply) + " requests, refused with 404: " +
                std::to_string(old_version));
  world.log.add("lookups later than recovery after the store's return: " + std::to_string(all) +
                ", served: " + std::to_string(good));
  for (auto& one : entries) {
    if (!one->is_running()) world.log.add("an entry has ended");
  }
  return old_version > 0 || 4 * good < all ? 1 : 0;
}

}  // namespace lab
