// A planned replacement of a server while requests wait in the entry for a connection to it.
#include "cases.h"

namespace lab {

namespace {

constexpr long drain_ms = 2500;          // `drain` of the site
constexpr long serves_on_ms = 2000;      // "a little longer (at times many seconds)"
constexpr int connections = 12;          // `max-connections`: five for each of two entries
constexpr long pull_ms = 1700;           // work of a catalogue pull
constexpr long upload_ms = 510;          // of an upload
constexpr long traffic_ms = 3000;        // for which clients send
constexpr long notice_ms = 2000;         // after the first request

}  // namespace

int late_for_leaving_server(setting& world) {
  auto& kept = *new store(1);  // its threads run until the process ends, as the servers' do
  const std::vector<route_plan> routes{
      {"pull", "/catalogue/", "plan-room", "safe", "30000ms"},
      {"upload", "/spec/", "plan-room", "upload", "15000ms"}};
  kept.write("op/config", desired_state(1, routes, {{"plan-room", false}}, connections));
  const auto work = [](const message& m) { return m.first == "POST" ? upload_ms : pull_ms; };
  const auto plan = [&](const std::string& id) {
    return server::plan{.id = id, .service = "plan-room", .work_ms = work};
  };
  auto& first = *new server(kept, world.log, plan("plan-a"));
  new server(kept, world.log, plan("plan-b"));
  std::vector<std::unique_ptr<entry>> entries;
  for (const char* name : {"edge-1", "edge-2"})
    entries.push_back(std::make_unique<entry>(name, kept.port(), world.temporary));
  if (!wait_ready(entries, 10000)) return 2;
  sleep_ms(3000);  // the entries know of each other

  std::mutex mutex;
  std::map<std::string, outcome> answers;
  std::vector<std::thread> clients;
  const long begin = now_ms();
  const auto send = [&](bool upload) {
    clients.emplace_back([&, upload] {
      request_plan asked{.method = upload ? "POST" : "GET",
                         .path = upload ? "/spec/sheet" : "/catalogue/all",
                         .id = new_id(upload ? "upload" : "pull"),
                         .body = upload ? std::string(20000, 'u') : "",
                         .budget_ms = upload ? 15000 : 30000};
      const auto answer = ask(world.log, entries.front()->front(), asked);
      const std::lock_guard lock(mutex);
      answers[asked.id] = answer;
    });
  };
  long noticed = 0;
  std::thread operation([&] {
    if (!world.trouble) return;
    sleep_until_ms(begin + notice_ms - 500);
    new server(kept, world.log, plan("plan-c"));
    sleep_until_ms(begin + notice_ms);
    noticed = first.drain();
    world.log.add("the store has accepted that plan-a is draining");
    sleep_until_ms(noticed + drain_ms + serves_on_ms);
    world.log.add("plan-a ends");
    first.end();
  });
  for (long at = 0; at < traffic_ms; at += 25) {
    sleep_until_ms(begin + at);
    send(at % 75 != 0);
  }
  for (auto& one : clients) one.join();
  operation.join();

  int late = 0;
  int lost = 0;
  for (const auto& one : first.arrivals()) {
    if (!world.trouble || one.at <= noticed + drain_ms) continue;
    ++late;
    world.log.add("LATE " + one.id + " reached plan-a " + std::to_string(one.at - noticed) +
                  " ms after its notice was accepted" + (one.ended ? "" : ", and was cut off"));
    if (!one.ended) ++lost;
  }
  int failed = 0;
  for (const auto& [id, answer] : answers) failed += answer.status == 200 && answer.whole ? 0 : 1;
  world.log.add("requests " + std::to_string(answers.size()) + ", without success " +
                std::to_string(failed) + ", at plan-a later than drain " + std::to_string(late) +
                ", of these cut off when it ended " + std::to_string(lost));
  if (!world.trouble) return failed == 0 ? 0 : 1;
  return late > 0 ? 1 : 0;
}

}  // namespace lab
