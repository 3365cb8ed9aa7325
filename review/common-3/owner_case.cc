// The store comes back from a copy that is older than a server's join. The server is partitioned
// from the store meanwhile, and the entry processes are killed.
#include "cases.h"

namespace lab {

namespace {

constexpr long bound_ms = 2000;      // `drain` and `config-apply`
constexpr long away_ms = 2500;       // "may be away for a moment"
constexpr long cut_ms = 10000;       // `srv_cut`, its longest time at the site
constexpr long too_long_ms = 500;    // two holders for over half a second
constexpr int key_step = 128;

}  // namespace

int two_holders_after_drill(setting& world) {
  auto& kept = *new store(1);
  kept.write("op/config", desired_state(3, {{"lookup", "/stock/", "counter-desk", "safe", "2000ms"}},
                                        {{"counter-desk", true}}, 130));
  std::vector<server*> servers;
  const auto add = [&](const char* id) {
    servers.push_back(new server(
        kept, world.log,
        {.id = id, .service = "counter-desk", .sharded = true}));
  };
  for (const char* id : {"desk-a", "desk-b", "desk-d", "desk-e"}) add(id);
  std::vector<std::unique_ptr<entry>> entries;
  for (const char* name : {"edge-1", "edge-2", "edge-3"})
    entries.push_back(
        std::make_unique<entry>(name, kept.port(), world.temporary, "erie-yard", bound_ms));
  if (!wait_ready(entries, 10000)) return 2;
  const auto held_by = [&](const server& one) {
    int count = 0;
    for (int key = 0; key < 65536; key += key_step)
      count += const_cast<server&>(one).holds_key(key) ? 1 : 0;
    return count;
  };
  const auto wait_for_holds = [&](std::size_t index) {
    const long limit = now_ms() + 10000;
    while (held_by(*servers[index]) == 0 && now_ms() < limit) sleep_ms(20);
    return held_by(*servers[index]) > 0;
  };
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!wait_for_holds(i)) return 2;
  }
  sleep_ms(1500);

  kept.copy();
  world.log.add("copy");
  sleep_ms(1000);
  add("desk-c");
  world.log.add("desk-c joins");
  if (!wait_for_holds(4)) return 2;
  sleep_ms(2000);
  world.log.add("keys of desk-c among those watched: " + std::to_string(held_by(*servers[4])));

  std::atomic<bool> over{false};
  long worst = 0;
  std::string worst_pair;
  std::thread watch([&] {
    std::map<std::string, long> since;
    while (!over) {
      std::set<std::string> now;
      for (int key = 0; key < 65536; key += key_step) {
        std::string holders;
        int count = 0;
        for (auto* one : servers) {
          if (!one->holds_key(key)) continue;
          ++count;
          holders += " " + one->id();
        }
        if (count > 1) now.insert("key " + std::to_string(key) + " held by" + holders);
      }
      std::erase_if(since, [&](const auto& known) { return !now.contains(known.first); });
      for (const auto& one : now) {
        const long begin = since.try_emplace(one, now_ms()).first->second;
        if (now_ms() - begin <= worst) continue;
        worst = now_ms() - begin;
        worst_pair = one;
      }
      sleep_ms(20);
    }
  });

  if (world.trouble) {
    servers[4]->cut_from_store(cut_ms);
    kept.set_away(true);
    world.log.add("the store is away");
    sleep_ms(away_ms - 500);
    for (auto& one : entries) one->stop();
    world.log.add("the entries are killed");
    sleep_ms(500);
    kept.restore();
    kept.set_away(false);
    world.log.add("the store is back from the copy");
    for (auto& one : entries) one->start();
  }
  sleep_ms(15000);
  over = true;
  watch.join();
  world.log.add("longest time with two holders: " + std::to_string(worst) + " ms " + worst_pair);
  return worst > too_long_ms ? 1 : 0;
}

}  // namespace lab
