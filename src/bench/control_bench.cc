// Processor time, messages, bytes and memory of the control part of entry instances, as real
// processes, against the number of upstreams, cells, instances, shards and table changes. Prints a
// table and, as its last line, a JSON object with the points and the fitted slopes.
//
// Usage: control_bench [--seconds N] [--quick]

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "base/json.h"
#include "entry/state_cache.h"
#include "harness/process.h"
#include "http/client.h"
#include "platform/instance_list.h"
#include "platform/store_client.h"
#include "standin/upstream.h"
#include "table/parse.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;
namespace fs = std::filesystem;

constexpr duration call_timeout = seconds(2);
constexpr duration settle_time = seconds(60);
constexpr std::uint16_t first_port = 31000;
const std::string cluster = "bench";

struct shape {
  std::uint32_t domains = 1;
  std::uint32_t entries = 3;  // in each domain
  std::uint32_t services = 1;
  std::uint32_t upstreams = 4;  // of each service in each domain
  std::uint32_t shards = 64;    // of each service
  double changes = 0;           // table changes a second
};

struct usage {
  double cpu_percent = 0;  // of a core
  double bytes = 0;        // a second, both directions
  double messages = 0;     // a second, both directions
  double resident_mb = 0;
};

struct point {
  shape at;
  usage mean;
  usage most;
};

// One call at a time, from the bench's own thread.
class caller {
 public:
  caller() : client_(io_.get_executor()) {}

  result<http_response> send(const std::string& address, http_request request) {
    result<http_response> answer = error{errc::internal, step::connect, address, ""};
    client_.send(address, std::move(request), call_timeout,
                 [&](result<http_response> got) { answer = std::move(got); });
    io_.restart();
    io_.run();
    return answer;
  }

 private:
  boost::asio::io_context io_{1};
  http_client client_;
};

class fleet {
 public:
  explicit fleet(const shape& wanted) : shape_(wanted), folder_(make_folder()) {}
  ~fleet() {
    entries_.clear();
    upstream_io_.stop();
    if (upstream_thread_.joinable()) upstream_thread_.join();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  bool start(const std::string& programs);
  bool wait_until_served();
  point measure(duration span);

 private:
  struct sample {
    double cpu_us = 0;
    double bytes = 0;
    double messages = 0;
  };

  static std::string make_folder() {
    std::string name = (fs::temp_directory_path() / "control-bench-XXXXXX").string();
    return mkdtemp(name.data()) == nullptr ? "." : name;
  }
  std::string next_address() { return "127.0.0.1:" + std::to_string(port_++); }
  std::string domain_name(std::uint32_t number) const { return "d" + std::to_string(number); }
  void start_upstreams();
  void write_settings(const instance_info& info) const;
  bool put_table(std::uint64_t revision);
  std::optional<sample> read_sample(const instance_info& info);
  bool is_served(const instance_info& info);

  shape shape_;
  std::string folder_;
  std::uint16_t port_ = first_port;
  std::string platform_;
  std::optional<child_process> platform_process_;
  std::vector<child_process> entries_;
  std::vector<instance_info> instances_;
  boost::asio::io_context upstream_io_{1};
  std::vector<std::unique_ptr<upstream_standin>> upstreams_;
  std::vector<service_table> tables_;
  std::vector<std::uint64_t> versions_;
  std::thread upstream_thread_;
  caller calls_;
};

void fleet::start_upstreams() {
  for (std::uint32_t s = 0; s < shape_.services; ++s) {
    service_table declared;
    declared.service.name.value = "s" + std::to_string(s);
    declared.service.shards = shape_.shards;
    for (std::uint32_t d = 0; d < shape_.domains; ++d) {
      for (std::uint32_t u = 0; u < shape_.upstreams; ++u) {
        const std::string name =
            "u" + std::to_string(s) + "-" + std::to_string(d) + "-" + std::to_string(u);
        auto made = std::make_unique<upstream_standin>(upstream_io_.get_executor(),
                                                       upstream_options{.name = name});
        const auto address = made->listen("127.0.0.1:0");
        if (!address) continue;
        declared.upstreams.push_back(
            {.name = {name}, .address = *address, .domain = {domain_name(d)}});
        upstreams_.push_back(std::move(made));
      }
    }
    declared.routes.push_back({.name = "all",
                               .host = declared.service.name.value,
                               .path_prefix = "/",
                               .key_from = key_source::path_segment,
                               .key_name = "0"});
    tables_.push_back(std::move(declared));
    versions_.push_back(0);
  }
  upstream_thread_ = std::thread([this] { upstream_io_.run(); });
}

void fleet::write_settings(const instance_info& info) const {
  const json::object settings{
      {"name", info.name},
      {"cluster", cluster},
      {"region", info.region},
      {"domain", info.domain.value},
      {"listen",
       {{"callers", info.callers},
        {"forward", info.forward},
        {"operators", info.operators},
        {"peers", info.peers}}},
      {"platform", {{"store", json::array{json::string(platform_)}}, {"instances", platform_}}},
      {"threads", 1},
      {"log_level", "warning"}};
  std::ofstream(folder_ + "/" + info.name + ".json") << json::serialize(settings);
}

bool fleet::put_table(std::uint64_t revision) {
  boost::asio::io_context io(1);
  store_client store(io.get_executor(), {{platform_}});
  const state_cache cache(cluster);
  bool written = true;
  for (std::size_t i = 0; i < tables_.size(); ++i) {
    tables_[i].revision.value = revision;
    store.compare_and_swap(cache.keys().table(tables_[i].service.name), versions_[i],
                           format_service_table(tables_[i]),
                           [&, i](const result<swap_answer>& answer) {
                             written = written && answer && answer->written;
                             if (answer) versions_[i] = answer->version;
                           });
  }
  io.run();
  return written;
}

bool fleet::start(const std::string& programs) {
  platform_ = next_address();
  auto platform = child_process::start(
      {programs + "/plantainpaddle-standin", "platform", "--listen", platform_},
      folder_ + "/platform.log");
  if (!platform) return false;
  platform_process_ = std::move(*platform);
  start_upstreams();
  for (std::uint32_t d = 0; d < shape_.domains; ++d) {
    for (std::uint32_t e = 0; e < shape_.entries; ++e) {
      instance_info info;
      info.name = domain_name(d) + "-" + std::to_string(e);
      info.domain.value = domain_name(d);
      info.region = "region";
      info.callers = next_address();
      info.forward = next_address();
      info.operators = next_address();
      info.peers = next_address();
      write_settings(info);
      instances_.push_back(std::move(info));
    }
  }
  const http_request list{"PUT", "/control/instances", {}, format_instance_list(instances_)};
  for (int attempt = 0; attempt < 50; ++attempt) {
    const auto answer = calls_.send(platform_, list);
    if (answer && answer->status == 200) break;
    std::this_thread::sleep_for(milliseconds(50));
  }
  if (!put_table(1)) return false;
  for (const auto& info : instances_) {
    auto entry = child_process::start(
        {programs + "/plantainpaddle-entry", "--settings", folder_ + "/" + info.name + ".json"},
        folder_ + "/" + info.name + ".log");
    if (!entry) return false;
    entries_.push_back(std::move(*entry));
  }
  return true;
}

bool fleet::is_served(const instance_info& info) {
  const auto answer = calls_.send(info.operators, {"GET", "/status", {}, ""});
  if (!answer) return false;
  const auto status = parse_json(answer->body, step::read_answer, 8 << 20);
  if (!status) return false;
  std::uint64_t owned = 0;
  for (const auto& cell : status->at("cells").as_array()) {
    for (const auto& owner : cell.at("shards").as_object()) {
      if (owner.key() != "nobody") owned += owner.value().to_number<std::uint64_t>();
    }
  }
  return owned == std::uint64_t{shape_.shards} * shape_.services;
}

bool fleet::wait_until_served() {
  const monotonic_time end = monotonic_now() + settle_time;
  for (const auto& info : instances_) {
    while (!is_served(info)) {
      if (monotonic_now() > end) return false;
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return true;
}

std::optional<fleet::sample> fleet::read_sample(const instance_info& info) {
  const auto answer = calls_.send(info.operators, {"GET", "/status", {}, ""});
  if (!answer) return std::nullopt;
  const auto status = parse_json(answer->body, step::read_answer, 8 << 20);
  if (!status) return std::nullopt;
  const auto& control = status->at("control").as_object();
  const auto number = [&](std::string_view name) { return control.at(name).to_number<double>(); };
  return sample{number("cpu_us"), number("bytes_sent") + number("bytes_received"),
                number("messages_sent") + number("messages_received")};
}

point fleet::measure(duration span) {
  std::vector<std::optional<sample>> before;
  for (const auto& info : instances_) before.push_back(read_sample(info));
  const monotonic_time start = monotonic_now();
  std::uint64_t revision = 1;
  while (monotonic_now() < start + span) {
    const double elapsed = std::chrono::duration<double>(monotonic_now() - start).count();
    if (elapsed * shape_.changes > static_cast<double>(revision - 1)) put_table(++revision);
    std::this_thread::sleep_for(milliseconds(5));
  }
  const double elapsed = std::chrono::duration<double>(monotonic_now() - start).count();
  point made{shape_, {}, {}};
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto after = read_sample(instances_[i]);
    if (!before[i] || !after) continue;
    const usage used{(after->cpu_us - before[i]->cpu_us) / elapsed / 1e4,
                     (after->bytes - before[i]->bytes) / elapsed,
                     (after->messages - before[i]->messages) / elapsed,
                     static_cast<double>(entries_[i].resident_bytes()) / 1e6};
    const double share = 1.0 / static_cast<double>(instances_.size());
    made.mean.cpu_percent += used.cpu_percent * share;
    made.mean.bytes += used.bytes * share;
    made.mean.messages += used.messages * share;
    made.mean.resident_mb += used.resident_mb * share;
    made.most.cpu_percent = std::max(made.most.cpu_percent, used.cpu_percent);
    made.most.bytes = std::max(made.most.bytes, used.bytes);
    made.most.messages = std::max(made.most.messages, used.messages);
    made.most.resident_mb = std::max(made.most.resident_mb, used.resident_mb);
  }
  return made;
}

// What grows, with how to make a shape of that size.
struct series {
  std::string name;
  std::vector<double> sizes;
  shape (*at)(double size);
};

const std::vector<series>& all_series() {
  static const std::vector<series> all{
      {"upstreams",
       {2, 4, 8, 16},
       [](double n) { return shape{1, 3, 1, static_cast<std::uint32_t>(n), 64, 0}; }},
      {"cells",
       {1, 2, 4, 8},
       [](double n) { return shape{1, 3, static_cast<std::uint32_t>(n), 4, 64, 0}; }},
      {"instances",
       {3, 6, 12, 24},
       [](double n) { return shape{3, static_cast<std::uint32_t>(n) / 3, 1, 4, 64, 0}; }},
      {"shards",
       {64, 256, 1024, 4096},
       [](double n) { return shape{1, 3, 1, 4, static_cast<std::uint32_t>(n), 0}; }},
      {"changes", {0, 1, 2, 4}, [](double n) { return shape{1, 3, 1, 4, 64, n}; }},
  };
  return all;
}

// Least squares: value = base + slope * size.
struct line {
  double base = 0;
  double slope = 0;
};

line fit(const std::vector<double>& sizes, const std::vector<double>& values) {
  const auto n = static_cast<double>(sizes.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    sx += sizes[i];
    sy += values[i];
    sxx += sizes[i] * sizes[i];
    sxy += sizes[i] * values[i];
  }
  const double divisor = n * sxx - sx * sx;
  const double slope = divisor == 0 ? 0 : (n * sxy - sx * sy) / divisor;
  return {(sy - slope * sx) / n, slope};
}

json::object to_json(const line& l) { return {{"base", l.base}, {"slope", l.slope}}; }

json::object to_json(const usage& u) {
  return {{"cpu_percent", u.cpu_percent},
          {"bytes_per_s", u.bytes},
          {"messages_per_s", u.messages},
          {"resident_mb", u.resident_mb}};
}

json::object summarize(const series& what, const std::vector<point>& points) {
  json::object out;
  json::array listed;
  std::map<std::string, std::vector<double>> columns;
  for (std::size_t i = 0; i < points.size(); ++i) {
    listed.push_back(json::object{{"size", what.sizes[i]},
                                  {"mean", to_json(points[i].mean)},
                                  {"most", to_json(points[i].most)}});
    columns["mean_cpu_percent"].push_back(points[i].mean.cpu_percent);
    columns["mean_bytes_per_s"].push_back(points[i].mean.bytes);
    columns["mean_messages_per_s"].push_back(points[i].mean.messages);
    columns["mean_resident_mb"].push_back(points[i].mean.resident_mb);
    columns["most_cpu_percent"].push_back(points[i].most.cpu_percent);
    columns["most_bytes_per_s"].push_back(points[i].most.bytes);
    columns["most_messages_per_s"].push_back(points[i].most.messages);
    columns["most_resident_mb"].push_back(points[i].most.resident_mb);
  }
  json::object slopes;
  const std::vector<double> sizes(what.sizes.begin(),
                                  what.sizes.begin() + static_cast<std::ptrdiff_t>(points.size()));
  for (const auto& [name, values] : columns) slopes[name] = to_json(fit(sizes, values));
  out["points"] = std::move(listed);
  out["fit"] = std::move(slopes);
  return out;
}

int run(const std::string& programs, int span_seconds, std::size_t most_sizes) {
  json::object out;
  bool complete = true;
  std::cout
      << "series      size   cpu%mean  cpu%most  bytes/s mean   most    msgs/s mean  MB most\n";
  for (const auto& what : all_series()) {
    std::vector<point> points;
    for (std::size_t i = 0; i < std::min(most_sizes, what.sizes.size()); ++i) {
      fleet running(what.at(what.sizes[i]));
      if (!running.start(programs) || !running.wait_until_served()) {
        std::cout << what.name << " " << what.sizes[i] << ": not served in time\n";
        complete = false;
        break;
      }
      points.push_back(running.measure(seconds(span_seconds)));
      const auto& p = points.back();
      std::printf("%-10s %6.0f %9.3f %9.3f %12.0f %8.0f %11.1f %9.1f\n", what.name.c_str(),
                  what.sizes[i], p.mean.cpu_percent, p.most.cpu_percent, p.mean.bytes, p.most.bytes,
                  p.mean.messages, p.most.resident_mb);
      std::fflush(stdout);
    }
    out[what.name] = summarize(what, points);
  }
  out["complete"] = complete;
  std::cout << json::serialize(out) << std::endl;
  return complete ? 0 : 1;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Slopes of the control part.", ' ', PLANTAINPADDLE_VERSION);
    TCLAP::ValueArg<int> span("", "seconds", "measured time of each point", false, 6, "N", command);
    TCLAP::SwitchArg quick("", "quick", "two sizes of each series", command);
    command.parse(argc, argv);
    const auto programs = std::filesystem::path(argv[0]).parent_path().string();
    return plantainpaddle::run(programs, span.getValue(), quick.getValue() ? 2 : 4);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return 2;
  }
}
