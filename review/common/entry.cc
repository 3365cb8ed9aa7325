#include "common/entry.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace review {
namespace {

namespace json = boost::json;
namespace fs = std::filesystem;

fs::path scratch_folder;
std::set<pid_t> started;

void remove_scratch() {
  std::error_code ignored;
  if (!scratch_folder.empty() && std::getenv("KEEP") == nullptr) {
    fs::remove_all(scratch_folder, ignored);
  }
}

std::string read_file(const std::string& name) {
  std::ifstream in(name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void replace(std::string& text, const std::string& name, const std::string& value) {
  for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at)) {
    text.replace(at, name.size(), value);
    at += value.size();
  }
}

}  // namespace

case_setup read_setup(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s ROOT FOLDER [NUMBER]\n", argv[0]);
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  case_setup setup;
  setup.root = argv[1];
  setup.folder = argv[2];
  if (argc > 3) setup.argument = std::atoi(argv[3]);
  const char* trouble = std::getenv("TROUBLE");
  setup.troubled = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  std::string pattern = (fs::temp_directory_path() / "case-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) std::exit(2);
  setup.scratch = pattern;
  scratch_folder = pattern;
  return setup;
}

void end_case(int code) {
  for (const auto pid : started) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  remove_scratch();
  std::fflush(nullptr);
  std::_Exit(code);
}

entry::entry(const case_setup& setup, entry_options options, const std::string& store_address)
    : options_(std::move(options)),
      front_(free_address("127.0.0.1")),
      ready_(free_address("127.0.0.1")) {
  const auto peers = free_address("127.0.0.1");
  const auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
  auto text = read_file(setup.root + "/deploy/entry.json.in");
  replace(text, "{{node-name|json}}", quoted(options_.name));
  replace(text, "{{region|json}}", quoted("home"));
  replace(text, "{{zone|json}}", quoted(options_.zone));
  replace(text, "{{listen.front|json}}", quoted(front_));
  replace(text, "{{listen.ready|json}}", quoted(ready_));
  replace(text, "{{ip}}", "127.0.0.1");
  replace(text, "{{internal-ports.0}}", peers.substr(peers.find(':') + 1));
  replace(text, "{{platform.address|json}}", quoted(store_address));
  replace(text, "{{bounds.drain|json}}", quoted("2000ms"));
  replace(text, "{{bounds.config-apply|json}}", quoted("2000ms"));
  replace(text, "{{bounds.grace|json}}", quoted("6s"));
  replace(text, "{{bounds.hold-max|json}}", quoted("10000ms"));
  replace(text, "{{platform.ttl-min|json}}", quoted("1000ms"));
  replace(text, "{{bounds.retry-budget-ratio|json}}", "0.2");
  replace(text, "{{bounds.budget-slack|json}}", "60");
  replace(text, "{{limits.memory-mb|json}}", "260");
  replace(text, "{{limits.max-fds|json}}", "4100");
  replace(text, "{{limits.cpu-share|json}}", "0.2");
  const auto settings = setup.scratch + "/" + options_.name + ".json";
  std::ofstream(settings) << text;
  const auto program = setup.root + "/target/bin/plantainpaddle-entry";
  if (text.find("{{") != std::string::npos || !fs::exists(program)) {
    std::fprintf(stderr, "the settings or the program are missing; run the deploy file's build\n");
    std::exit(2);
  }
  const std::string variable = "PLANTAINPADDLE_SETTINGS=" + settings;
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ > 0) started.insert(pid_);
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
  if (::getppid() != parent) ::_exit(1);
  const auto log_file = setup.scratch + "/" + options_.name + ".log";
  const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(log, 1);
  ::dup2(log, 2);
  if (::chdir(setup.root.c_str()) != 0) ::_exit(1);
  std::string name = "target/bin/plantainpaddle-entry";
  char* arguments[] = {name.data(), nullptr};
  std::string set = variable;
  char* environment[] = {set.data(), nullptr};
  ::execve(name.c_str(), arguments, environment);
  ::_exit(1);
}

entry::~entry() {
  if (pid_ <= 0) return;
  started.erase(pid_);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void entry::signal(int number) const { ::kill(pid_, number); }

bool entry::has_ended() {
  if (pid_ <= 0) return true;
  if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  started.erase(pid_);
  pid_ = -1;
  return true;
}

bool entry::is_ready() const {
  const auto answer = call(ready_, "GET", "/api/readyz", {{"Host", ready_}}, "", 500);
  return answer && answer->status == 200;
}

bool entry::wait_until_ready(std::int64_t timeout_ms) const {
  const auto until = now_ms() + timeout_ms;
  while (!is_ready()) {
    if (now_ms() > until) return false;
    sleep_ms(50);
  }
  return true;
}

std::string desired_state(int version, const std::vector<route>& routes,
                          const std::vector<service>& services) {
  json::array route_rows;
  for (const auto& each : routes) {
    route_rows.push_back(json::object{{"name", each.name},
                                      {"host", client_host},
                                      {"prefix", each.prefix},
                                      {"route-type", each.type},
                                      {"timeout", std::to_string(each.timeout_ms) + "ms"},
                                      {"target-latency", "500ms"},
                                      {"priority", 1},
                                      {"service", each.service},
                                      {"max-attempts", each.max_attempts}});
  }
  json::array service_rows;
  for (const auto& each : services) {
    json::object row{{"name", each.name},
                     {"health-path", "/healthz"},
                     {"max-connections", 120},
                     {"protocol", "h1"},
                     {"tls", false}};
    if (each.sharded) {
      row["sharded"] = true;
      row["warm"] = "5s";
      row["grants"] = "direct";
    }
    service_rows.push_back(std::move(row));
  }
  return json::serialize(json::object{{"version", version},
                                      {"routes", route_rows},
                                      {"services", service_rows},
                                      {"limits",
                                       {{"max-header-bytes", 16384},
                                        {"max-body-bytes", 67108864},
                                        {"header-timeout", "3000ms"},
                                        {"idle-timeout", "15000ms"}}}});
}

heartbeats::heartbeats(store& to, std::vector<server*> servers,
                       std::function<bool(const server&)> reaches)
    : thread_([this, &to, servers = std::move(servers), reaches = std::move(reaches)] {
        for (std::uint64_t sequence = 1; !stopped_; ++sequence) {
          for (const auto* each : servers) {
            if (reaches && !reaches(*each)) continue;
            to.write("servers/" + each->id(), each->entry(sequence), 3 * 870);
          }
          for (int i = 0; i < 87 && !stopped_; ++i) sleep_ms(10);
        }
      }) {}

heartbeats::~heartbeats() {
  stopped_ = true;
  thread_.join();
}

std::vector<field> request_fields(const std::string& id, std::int64_t budget_ms, std::int64_t key) {
  std::vector<field> fields{{"Host", client_host},
                            {"X-Plantainpaddle-Request-Id", id},
                            {"X-Plantainpaddle-Deadline-Ms", std::to_string(budget_ms)}};
  if (key >= 0) fields.push_back({"X-Plantainpaddle-Shard-Key", std::to_string(key)});
  return fields;
}

std::optional<message> request(const std::string& front, const std::string& method,
                               const std::string& target, const std::string& id,
                               std::int64_t budget_ms, std::int64_t key, const std::string& body) {
  return call(front, method, target, request_fields(id, budget_ms, key), body, budget_ms + 1000);
}

}  // namespace review
