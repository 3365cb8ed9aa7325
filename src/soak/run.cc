#include "soak/run.h"

#include <csignal>
#include <fstream>
#include <future>
#include <regex>
#include <thread>

#include "harness/cluster.h"
#include "harness/loopback.h"
#include "harness/web.h"
#include "soak/clients.h"
#include "soak/layout.h"

namespace plantainpaddle {
namespace {

constexpr duration tick = milliseconds(5);
constexpr duration recovery_time = seconds(40);  // keys of a silent upstream wait for 18 s
constexpr duration served_time = seconds(5);     // since the start, until a process answers

duration now() { return monotonic_now().time_since_epoch(); }

// Makes the faults, starts again what has ended, and keeps the history.
class fault_maker {
 public:
  fault_maker(cluster& system, const soak_plan& plan, desired_state state)
      : system_(system), state_(std::move(state)) {
    for (const auto& [name, entry] : system.entries) {
      entries_.push_back({.name = name});
      history.instances[entry.callers] = name;
    }
    for (const auto& [name, upstream] : system.upstreams) upstreams_.push_back({.name = name});
    settings_ = plan.upstream_settings;
  }

  void play(const std::vector<soak_event>& events, duration length) {
    const duration start = now();
    for (const auto& event : events) {
      wait(start + event.at);
      std::visit([this](const auto& fault) { make(fault); }, event.fault);
    }
    wait(start + length);
  }

  // Ends what disturbs, so that the system can recover.
  void calm() {
    for (auto& state : entries_) {
      if (state.paused) make(soak_fault::signal_entry{index_of(entries_, state), SIGCONT});
    }
    for (auto& state : upstreams_) {
      if (state.paused) make(soak_fault::signal_upstream{index_of(upstreams_, state), SIGCONT, {}});
    }
    const duration until = now() + shutdown_time + served_time;
    while (now() < until && !all_run()) wait(now() + tick);
    const duration end = now();
    for (auto& impairment : history.impairments) impairment.to = std::min(impairment.to, end);
    for (auto& impairment : history.store_impairments) {
      impairment.to = std::min(impairment.to, end);
    }
  }

  soak_history history;

 private:
  struct process_state {
    std::string name;
    std::optional<duration> stop;   // the first SIGTERM
    std::optional<duration> start;  // when it is to be started again
    duration absent{0};
    bool paused = false;
    bool expected = false;  // it was told to end
    bool replaced = false;  // its address is for another upstream
  };

  static std::size_t index_of(const std::vector<process_state>& all, const process_state& one) {
    return static_cast<std::size_t>(&one - all.data());
  }

  bool all_run() const {
    const auto runs = [](const process_state& state) {
      return state.replaced ? !state.start : !state.stop && !state.start;
    };
    return std::all_of(entries_.begin(), entries_.end(), runs) &&
           std::all_of(upstreams_.begin(), upstreams_.end(), runs);
  }

  void wait(duration until) {
    while (true) {
      for (auto& state : entries_) tend(state, system_.entries.at(state.name).process, true);
      for (auto& state : upstreams_) tend(state, system_.upstreams.at(state.name).process, false);
      start_successors();
      const duration left = until - now();
      if (left <= duration{0}) return;
      std::this_thread::sleep_for(std::min(left, tick));
    }
  }

  // Not while upstreams_ is walked through.
  void start_successors() {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      auto& state = upstreams_[i];
      if (!state.replaced || !state.start || now() < *state.start) continue;
      state.start.reset();
      end_impairment(state.name);
      const std::string former = state.name;
      const std::string name = former + std::string(successor_suffix);
      const bool keyed = system_.upstreams.at(former).service == stock_route.service;
      const std::string service(keyed ? order_route.service : stock_route.service);
      if (const auto bad = system_.launch_successor(former, name, service)) {
        history.own_ends.push_back(to_string(*bad));
        continue;
      }
      upstreams_.push_back({.name = name});
    }
  }

  void tend(process_state& state, std::optional<child_process>& process, bool entry) {
    if (state.replaced) return;
    if (state.start) {
      if (now() < *state.start) return;
      state = {.name = state.name};
      const auto bad =
          entry ? system_.launch_entry(state.name) : system_.launch_upstream(state.name);
      if (bad) history.own_ends.push_back(to_string(*bad));
      return;
    }
    if (!process->running()) {
      if (!state.expected) {
        history.own_ends.push_back(state.name);
        impair(state.name, now(), now());
      }
      end_impairment(state.name);
      if (!entry) note_end(state.name);
      state.start = now() + state.absent;
      return;
    }
    if (entry && state.stop && now() >= *state.stop + shutdown_time) process->signal(SIGKILL);
  }

  void note_end(const std::string& upstream) {
    for (auto& notice : history.notices) {
      if (notice.upstream == upstream) notice.to = std::min(notice.to, now());
    }
    system_.upstreams.at(upstream).ended.push_back(now());
  }

  void impair(const std::string& name, duration from, duration to) {
    history.impairments.push_back({name, from, to});
  }

  void end_impairment(const std::string& name) {
    for (auto& impairment : history.impairments) {
      if (impairment.name == name) impairment.to = std::min(impairment.to, now());
    }
  }

  static constexpr duration no_end = duration::max() / 2;

  void make(const soak_fault::signal_entry& fault) {
    auto& state = entries_[fault.entry];
    const auto& process = system_.entries.at(state.name).process;
    if (state.start) return;  // it doesn't run
    if (fault.signal == SIGTERM || fault.signal == SIGHUP) {
      const bool repeats = fault.signal == SIGTERM && state.stop;
      history.signals.push_back({state.name, fault.signal, now(), repeats});
    }
    if (fault.signal == SIGTERM && !state.stop) state.stop = now();
    if (fault.signal == SIGKILL || fault.signal == SIGTERM) state.expected = true;
    if (fault.signal == SIGKILL || fault.signal == SIGSTOP) impair(state.name, now(), no_end);
    process->signal(fault.signal);
    if (fault.signal == SIGCONT) end_impairment(state.name);
    state.paused = fault.signal == SIGSTOP || (state.paused && fault.signal != SIGCONT);
  }

  void make(const soak_fault::signal_upstream& fault) {
    auto& state = upstreams_[fault.upstream];
    if (state.start || state.replaced) return;
    if (fault.signal == SIGKILL || fault.signal == SIGTERM) {
      state.expected = true;
      state.stop = now();
      state.absent = fault.absent;
    }
    if (fault.signal == SIGKILL || fault.signal == SIGSTOP) impair(state.name, now(), no_end);
    system_.upstreams.at(state.name).process->signal(fault.signal);
    if (fault.signal == SIGCONT) end_impairment(state.name);
    state.paused = fault.signal == SIGSTOP || (state.paused && fault.signal != SIGCONT);
  }

  void make(const soak_fault::reuse_address& fault) {
    auto& state = upstreams_[fault.upstream];
    if (state.start || state.replaced) return;
    impair(state.name, now(), no_end);
    system_.upstreams.at(state.name).process->kill();
    note_end(state.name);
    state.replaced = true;
    state.paused = false;
    state.start = now() + fault.absent;
  }

  // One that is stopped or has ended doesn't hear of it.
  void make(const soak_fault::set_upstream& fault) {
    const auto& state = upstreams_[fault.upstream];
    if (state.start || state.paused || state.replaced) return;
    const bool leaves = fault.settings.find("\"drain\":true") != std::string::npos;
    if (!set(state.name, fault.settings) || !leaves) return;
    history.notices.push_back({state.name, now(), no_end});
  }

  void make(const soak_fault::cut_entry& fault) {
    const std::string name = upstreams_[fault.former].name + std::string(successor_suffix);
    if (!system_.upstreams.contains(name)) return;
    set(name, fault.cut ? R"({"registers":false})" : R"({"registers":true})");
  }

  bool set(const std::string& upstream, const std::string& settings) {
    const http_request request{"POST", "/control/settings", {}, settings, ""};
    const auto answer =
        web_call(system_.upstreams.at(upstream).address, request, milliseconds(200));
    return answer.has_value() && answer->status == 200;
  }

  void make(const soak_fault::set_platform& fault) {
    if (system_.set_platform_fault(fault.fault)) return;
    const bool ends = fault.fault.find("\"no\"") != std::string::npos ||
                      fault.fault.ends_with(":0}") ||
                      fault.fault.find("restore") != std::string::npos;
    if (ends) {
      for (auto& impairment : history.store_impairments) {
        impairment.to = std::min(impairment.to, now());
      }
    }
    history.store_impairments.push_back({"store", now(), ends ? now() : no_end});
  }

  void make(const soak_fault::set_relay& fault) {
    const std::string route =
        fault.to_platform ? entries_[fault.index].name + "-platform" : upstreams_[fault.index].name;
    system_.set_relay_fault(R"({"route":")" + route + "\"," + fault.fault + "}");
    if (fault.ends) {
      end_impairment("link " + route);
    } else {
      impair("link " + route, now(), no_end);
    }
  }

  void make(const soak_fault::change_settings& fault) {
    const auto& state = entries_[fault.entry];
    const std::string& file = system_.entries.at(state.name).settings_file;
    const std::string changed = std::regex_replace(read_file(file), std::regex("\"(debug|info)\""),
                                                   "\"" + fault.log_level + "\"");
    std::ofstream(file) << changed;
    make(soak_fault::signal_entry{fault.entry, SIGHUP});
  }

  void make(const soak_fault::change_state& fault) {
    state_ = next_state(std::move(state_), fault);
    system_.write_desired(state_);
    history.state_changes.push_back(now());
  }

  cluster& system_;
  desired_state state_;
  std::string settings_;
  std::vector<process_state> entries_;
  std::vector<process_state> upstreams_;
};

void write_plan(const soak_plan& plan, const std::string& file) {
  std::ofstream out(file);
  out << "seed " << plan.options.seed << ", " << plan.entries_per_domain << " instances and "
      << plan.upstreams_per_domain << " upstreams of each service in each of 3 failure domains, "
      << (plan.unplanned ? "all faults" : "planned work") << ", " << plan.upstream_settings << '\n';
  for (const auto& event : plan.events) out << describe(event) << '\n';
}

}  // namespace

result<soak_verdict> play_soak(const soak_plan& plan, const std::string& bin,
                               const std::string& folder) {
  const cluster_layout layout = make_soak_layout(plan);
  auto started = cluster::start(layout, bin, folder);
  if (!started) return started.error();
  cluster& system = **started;
  write_plan(plan, folder + "/plan.txt");
  const soak_load load{.instances = system.targets(),
                       .clients_per_instance = plan.clients_per_entry,
                       .seed = plan.options.seed,
                       .length = plan.options.length};
  auto clients = std::async(std::launch::async, [&load] { return run_clients(load); });
  fault_maker faults(system, plan, *layout.desired);
  faults.play(plan.events, plan.options.length);
  faults.calm();
  const auto requests = clients.get();
  std::vector<load_record> records;
  records.reserve(requests.size());
  for (const auto& request : requests) records.push_back(request.seen);
  std::ofstream(folder + "/records.jsonl") << format_load_records(records);
  const bool served = system.wait_until_served(recovery_time);
  const auto runs = system.runs();
  if (!runs) return runs.error();
  const auto holds = system.holds();
  if (!holds) return holds.error();
  soak_verdict verdict = check_soak(requests, *runs, faults.history);
  check_holds(*holds, faults.history, verdict);
  if (!served) verdict.add("RECOVER", "not all keys are served again in time");
  std::ofstream out(folder + "/findings.txt");
  for (const auto& finding : verdict.findings) out << finding << '\n';
  return verdict;
}

}  // namespace plantainpaddle
