#include "soak/plan.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>

#include "soak/check.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t domains = 3;
constexpr std::size_t services = 3;
constexpr duration quiet_start = seconds(1);
constexpr duration quiet_end = seconds(3);
constexpr duration restore_time = seconds(16);  // of restore_after_join()
constexpr duration reuse_after = seconds(2);    // as cluster_layout::entry_bounds states it

// Draws series of faults that begin at any time.
class fault_writer {
 public:
  explicit fault_writer(soak_plan& plan) : plan_(plan), random_(plan.options.seed) {
    plan.unplanned = chance(50);
    if (plan.options.size == soak_size::full) {
      plan.entries_per_domain = between(12, 20);
      plan.upstreams_per_domain = between(12, 20);
      plan.clients_per_entry = 4;
    } else {
      plan.entries_per_domain = between(1, 3);
      plan.upstreams_per_domain = between(1, 3);
    }
    plan.upstream_settings = R"({"queue":)" + std::to_string(between(1, 32)) +
                             R"(,"connections":130,"slots":)" + std::to_string(between(2, 6)) + "}";
  }

  void write() {
    const duration length = plan_.options.length;
    const auto size = plan_.options.size == soak_size::full ? 3 : 1;
    const auto stories = static_cast<std::size_t>(length / milliseconds(1500)) * size;
    for (std::size_t i = 0; i < stories; ++i) {
      const duration at = between(quiet_start, length - quiet_end);
      if (plan_.unplanned && chance(50)) {
        write_unplanned(at);
      } else {
        write_planned(at);
      }
    }
    if (plan_.unplanned) reuse_addresses(length);
    // Drawn last, so that the other faults of a seed stay as they were.
    if (chance(50)) replace_in_series(length);
    if (plan_.unplanned && length >= restore_time && chance(60)) restore_after_join(length);
    std::stable_sort(plan_.events.begin(), plan_.events.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
  }

 private:
  std::size_t between(std::size_t least, std::size_t most) {
    return least + random_() % (most - least + 1);
  }
  duration between(duration least, duration most) {
    return least + duration(static_cast<duration::rep>(
                       random_() % static_cast<std::uint64_t>((most - least).count() + 1)));
  }
  bool chance(std::size_t percent) { return random_() % 100 < percent; }
  std::size_t entry() { return random_() % (domains * plan_.entries_per_domain); }
  std::size_t upstream() { return random_() % (domains * services * plan_.upstreams_per_domain); }

  void add(duration at, any_soak_fault fault) { plan_.events.push_back({at, std::move(fault)}); }

  void write_planned(duration at) {
    switch (random_() % 9) {
      case 0:
        return add(at, soak_fault::signal_entry{entry(), SIGTERM});
      case 1:
        return stop_in_series(at);
      case 2:
        return roll(at);
      case 3:
        return reload(at);
      case 4:
        return add(at, soak_fault::change_state{between(1, 3), chance(50)});
      case 5:
        return leave(at);
      case 6:
        return refuse(at);
      default:
        return copy(at);
    }
  }

  void write_unplanned(duration at) {
    switch (random_() % 6) {
      case 0:
        return add(at, soak_fault::signal_entry{entry(), SIGKILL});
      case 1: {
        const std::size_t paused = entry();
        add(at, soak_fault::signal_entry{paused, SIGSTOP});
        return add(at + between(milliseconds(100), seconds(4)),
                   soak_fault::signal_entry{paused, SIGCONT});
      }
      case 2:
        return add(at, soak_fault::signal_upstream{upstream(), SIGKILL,
                                                   between(milliseconds(0), seconds(5))});
      case 3: {
        const std::size_t paused = upstream();
        add(at, soak_fault::signal_upstream{paused, SIGSTOP});
        return add(at + between(milliseconds(100), seconds(4)),
                   soak_fault::signal_upstream{paused, SIGCONT});
      }
      case 4:
        return disturb_link(at);
      default:
        return disturb_platform(at);
    }
  }

  void reuse_addresses(duration length) {
    for (std::size_t i = between(1, 2); i > 0; --i) {
      const duration at = between(quiet_start, length - quiet_end);
      add(at, soak_fault::reuse_address{
                  upstream(), reuse_after + between(milliseconds(50), milliseconds(600))});
    }
  }

  // Upstreams with few connections are replaced one after the other while requests wait for them.
  void replace_in_series(duration length) {
    const auto instances = static_cast<std::uint32_t>(domains * plan_.entries_per_domain);
    plan_.connections = instances + instances * static_cast<std::uint32_t>(between(0, 2));
    duration at = between(quiet_start, seconds(3));
    const duration serves = upstream_drain + between(milliseconds(500), seconds(3));
    const duration gap = between(milliseconds(300), seconds(3));
    for (std::size_t i = between(2, 4); i > 0 && at + serves < length; --i) {
      const std::size_t leaving = upstream();
      add(at, soak_fault::set_upstream{leaving, R"({"slowness":30})"});
      const char* notice = chance(50) ? R"({"drain":true})" : R"({"drain":true,"leaving":true})";
      add(at + between(milliseconds(300), seconds(1)), soak_fault::set_upstream{leaving, notice});
      add(at + seconds(1) + serves,
          soak_fault::signal_upstream{leaving, SIGTERM, between(milliseconds(0), seconds(2))});
      at += gap;
    }
  }

  // An upstream joins, the store comes back from a copy that is older, the upstream can't write its
  // entry, and all instances are killed.
  void restore_after_join(duration length) {
    const std::size_t keyed = domains * plan_.upstreams_per_domain;
    const std::size_t ended = keyed + random_() % (2 * keyed);  // of a service without keys
    const duration at = between(quiet_start, length - restore_time);
    add(at, soak_fault::reuse_address{ended, reuse_after + milliseconds(100)});
    add(at + seconds(1), soak_fault::set_platform{R"({"copy":true})"});
    const duration away = at + seconds(6);
    add(away, soak_fault::cut_entry{ended, true});
    add(away, soak_fault::set_platform{R"({"down":"hang"})"});
    const duration killed = away + between(milliseconds(100), milliseconds(2500));
    for (std::size_t i = 0; i < domains * plan_.entries_per_domain; ++i) {
      add(killed, soak_fault::signal_entry{i, SIGKILL});
    }
    add(away + between(milliseconds(500), seconds(3)),
        soak_fault::set_platform{R"({"down":"no","restore":true})"});
    add(at + restore_time, soak_fault::cut_entry{ended, false});
  }

  void stop_in_series(duration at) {
    const std::size_t stopped = entry();
    add(at, soak_fault::signal_entry{stopped, SIGTERM});
    for (std::size_t i = between(1, 4); i > 0; --i) {
      at += between(milliseconds(20), milliseconds(1800));
      add(at, soak_fault::signal_entry{stopped, chance(50) ? SIGTERM : SIGHUP});
    }
  }

  void roll(duration at) {
    const std::size_t first = entry();
    const duration gap = between(milliseconds(200), seconds(3));
    for (std::size_t i = 0; i < std::min<std::size_t>(4, domains * plan_.entries_per_domain); ++i) {
      const std::size_t next = (first + i) % (domains * plan_.entries_per_domain);
      add(at + gap * i, soak_fault::signal_entry{next, SIGTERM});
    }
  }

  void reload(duration at) {
    const std::size_t changed = entry();
    for (std::size_t i = between(1, 3); i > 0; --i) {
      add(at, soak_fault::change_settings{changed, chance(50) ? "info" : "debug"});
      at += between(milliseconds(10), milliseconds(900));
    }
  }

  void leave(duration at) {
    const std::size_t leaving = upstream();
    add(at, soak_fault::set_upstream{leaving, R"({"drain":true,"leaving":true})"});
    add(at + upstream_drain + between(milliseconds(500), seconds(4)),
        soak_fault::signal_upstream{leaving, SIGTERM, between(milliseconds(0), seconds(2))});
  }

  void refuse(duration at) {
    constexpr const char* ways[][2] = {
        {R"({"shed":true})", R"({"shed":false})"},
        {R"({"pause_s":0.5})", R"({"pause_s":0})"},
        {R"({"slots":1,"queue":0})", R"({"slots":4,"queue":16})"},
        {R"({"limit":5})", R"({"limit":0})"},
        {R"({"slowness":20})", R"({"slowness":1})"},
        {R"({"late_orders":0.2,"late_us":1500000})", R"({"late_orders":0})"}};
    const auto& way = ways[random_() % std::size(ways)];
    const duration until = at + between(milliseconds(300), seconds(4));
    for (std::size_t i = between(1, 3); i > 0; --i) {
      const std::size_t refusing = upstream();
      add(at, soak_fault::set_upstream{refusing, way[0]});
      add(until, soak_fault::set_upstream{refusing, way[1]});
    }
  }

  // Copies of refusals need refusals: the upstreams are often full meanwhile.
  void copy(duration at) {
    const duration until = at + between(seconds(1), seconds(6));
    for (std::size_t i = 0; i < plan_.upstreams_per_domain * domains; ++i) {
      const std::size_t copying = upstream();
      add(at, soak_fault::set_upstream{copying, R"({"copy_answers":0.05,"copy_refusals":)" +
                                                    std::string(chance(50) ? "0.1" : "0.5") +
                                                    R"(,"slots":1,"queue":1})"});
      add(until, soak_fault::set_upstream{
                     copying, R"({"copy_answers":0,"copy_refusals":0,"slots":4,"queue":16})"});
    }
  }

  void disturb_link(duration at) {
    constexpr const char* modes[] = {"hold", "cut", "forget"};
    constexpr const char* directions[] = {"both", "up", "down"};
    soak_fault::set_relay fault;
    fault.to_platform = chance(30);
    fault.index = fault.to_platform ? entry() : upstream();
    fault.fault = R"("mode":")" + std::string(modes[random_() % std::size(modes)]) +
                  R"(","direction":")" + directions[random_() % std::size(directions)] + '"';
    if (chance(20)) {
      fault.fault = R"("delay_ms":)" + std::to_string(between(5, 300));
    }
    add(at, fault);
    fault.fault = R"("mode":"pass")";
    fault.ends = true;
    add(at + between(milliseconds(200), seconds(4)), fault);
  }

  void disturb_platform(duration at) {
    constexpr const char* ways[][2] = {
        {R"({"down":"hang"})", R"({"down":"no"})"},
        {R"({"down":"refuse"})", R"({"down":"no"})"},
        {R"({"lose_share":0.5})", R"({"lose_share":0})"},
        {R"({"late_share":0.5,"late_ms":1500})", R"({"late_share":0})"},
        {R"({"slow_ms":600,"compact":1000000000})", R"({"slow_ms":0})"},
        {R"({"copy":true})", R"({"restore":true})"}};
    const auto& way = ways[random_() % std::size(ways)];
    add(at, soak_fault::set_platform{way[0]});
    add(at + between(milliseconds(300), seconds(4)), soak_fault::set_platform{way[1]});
  }

  soak_plan& plan_;
  std::mt19937_64 random_;
};

struct describer {
  std::ostream& out;

  void operator()(const soak_fault::signal_entry& f) const {
    out << "signal " << f.signal << " to instance " << f.entry;
  }
  void operator()(const soak_fault::signal_upstream& f) const {
    out << "signal " << f.signal << " to upstream " << f.upstream << ", absent " << f.absent.count()
        << " us";
  }
  void operator()(const soak_fault::reuse_address& f) const {
    out << "upstream " << f.upstream << " is killed, another service has its address after "
        << f.absent.count() << " us";
  }
  void operator()(const soak_fault::cut_entry& f) const {
    out << "the successor of upstream " << f.former
        << (f.cut ? " can't write its entry" : " writes its entry again");
  }
  void operator()(const soak_fault::set_upstream& f) const {
    out << "upstream " << f.upstream << " " << f.settings;
  }
  void operator()(const soak_fault::set_platform& f) const { out << "platform " << f.fault; }
  void operator()(const soak_fault::set_relay& f) const {
    out << "link of " << (f.to_platform ? "instance " : "upstream ") << f.index << " " << f.fault;
  }
  void operator()(const soak_fault::change_settings& f) const {
    out << "settings of instance " << f.entry << " " << f.log_level;
  }
  void operator()(const soak_fault::change_state& f) const {
    out << "desired state +" << f.step << (f.adds ? " with" : " without") << " the added route";
  }
};

}  // namespace

soak_plan draw_soak(const soak_options& options) {
  soak_plan plan;
  plan.options = options;
  fault_writer(plan).write();
  return plan;
}

std::string describe(const soak_event& event) {
  std::ostringstream out;
  out << event.at.count() << " us: ";
  std::visit(describer{out}, event.fault);
  return out.str();
}

}  // namespace plantainpaddle
