// What the router costs on a small request: requests per second, added latency, processor time and
// memory, against the same upstream asked directly, in one run.
//
//   path_bench [--seconds N] [--quick | --memory]
//
// Everything is one process: load threads, the router's traffic threads, upstream threads.
// Processor time is that of the traffic threads alone. Saturated runs are closed loops; latency is
// taken in open loops at half of the saturated rate, counted from the scheduled time.

#include <pthread.h>
#include <sys/resource.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "entry/proxy.h"
#include "http/address.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t upstream_threads = 2;
constexpr std::size_t load_threads = 3;
constexpr std::size_t upstream_count = 4;
constexpr std::size_t upload_count = 64;
constexpr std::uint64_t upload_bytes = std::uint64_t{200} * 1000 * 1024;
// What an upload may take: two buffers and the parsers in the router, two buffers of the bench.
constexpr std::size_t parser_bytes = 32 << 10;
constexpr std::size_t bench_buffer_bytes = 64 << 10;
constexpr std::size_t upload_bound =
    2 * wire_buffer::capacity + parser_bytes + 2 * bench_buffer_bytes;
constexpr std::string_view request_text =
    "GET /stock/4711 HTTP/1.1\r\nHost: shelf.example\r\nUser-Agent: bench\r\nAccept: */*\r\n"
    "Plantainpaddle-Tenant: dealer-17\r\n\r\n";
constexpr std::string_view answer_text =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 66\r\n\r\n"
    "{\"item\":4711,\"stock\":12,\"price\":\"3.20\",\"depot\":\"lakes-2\",\"ok\":1}  ";

// Threads that run one io_context each.
class thread_group {
 public:
  thread_group(std::size_t count, const std::string& name) {
    for (std::size_t i = 0; i < count; ++i) {
      contexts_.push_back(std::make_unique<asio::io_context>(1));
      guards_.emplace_back(contexts_.back()->get_executor());
      threads_.emplace_back([io = contexts_.back().get(), name] {
        ::pthread_setname_np(::pthread_self(), name.c_str());
        io->run();
      });
    }
  }
  ~thread_group() {
    for (auto& io : contexts_) io->stop();
    for (auto& thread : threads_) thread.join();
  }
  thread_group(const thread_group&) = delete;
  thread_group& operator=(const thread_group&) = delete;
  asio::io_context& at(std::size_t i) { return *contexts_[i % contexts_.size()]; }
  std::size_t size() const { return contexts_.size(); }

 private:
  std::vector<std::unique_ptr<asio::io_context>> contexts_;
  std::vector<asio::executor_work_guard<io_executor>> guards_;
  std::vector<std::thread> threads_;
};

// Answers each head with answer_text; with `hold` set, never.
class bench_upstream {
 public:
  explicit bench_upstream(thread_group& threads, bool hold = false)
      : threads_(threads), hold_(hold), acceptor_(threads.at(0)) {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen();
    address_ = format_address(acceptor_.local_endpoint());
    accept();
  }
  const std::string& address() const { return address_; }

 private:
  void accept() {
    auto& io = threads_.at(next_++);
    acceptor_.async_accept(io, [this, &io](const auto& code, tcp_socket socket) {
      if (code) return;
      prepare_socket(socket);
      asio::co_spawn(io, serve(std::move(socket), hold_), asio::detached);
      accept();
    });
  }

  static task<void> serve(tcp_socket socket, bool hold) {
    std::array<char, 2048> bytes;
    std::size_t size = 0;
    while (true) {
      auto [code] = co_await socket.async_wait(tcp_socket::wait_read, as_task);
      if (code) co_return;
      boost::system::error_code read_code;
      size += socket.read_some(asio::buffer(bytes.data() + size, bytes.size() - size), read_code);
      if (read_code == asio::error::would_block) continue;
      if (read_code) co_return;
      if (hold || !std::string_view(bytes.data(), size).ends_with("\r\n\r\n")) continue;
      size = 0;
      socket.write_some(asio::buffer(answer_text), read_code);
    }
  }

  thread_group& threads_;
  bool hold_;
  std::size_t next_ = 0;
  asio::basic_socket_acceptor<tcp, io_executor> acceptor_;
  std::string address_;
};

// Latencies in logarithmic buckets of 2 %.
class latency_buckets {
 public:
  void add(duration latency) {
    const double us = std::max<double>(1, static_cast<double>(latency.count()));
    ++counts_[std::min(counts_.size() - 1, static_cast<std::size_t>(std::log(us) / step))];
    ++total_;
  }
  void merge(const latency_buckets& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
    total_ += other.total_;
  }
  double at(double share) const {  // microseconds
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(total_));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (seen > wanted) return std::exp(static_cast<double>(i + 1) * step);
    }
    return 0;
  }
  std::uint64_t total() const { return total_; }

 private:
  static constexpr double step = 0.02;
  std::array<std::uint64_t, 900> counts_{};
  std::uint64_t total_ = 0;
};

struct load_plan {
  std::string address;
  std::size_t connections = 64;
  double rate = 0;  // per second over all; 0: closed loop
  duration warm_up = milliseconds(300);
  duration length = seconds(2);
};

struct load_result {
  double rate = 0;
  latency_buckets latency;
  std::uint64_t failures = 0;
};

struct load_lane {
  latency_buckets latency;
  std::uint64_t failures = 0;
};

// One connection: requests one after the other, in an open loop at their scheduled times.
task<void> run_lane(asio::io_context& io, const load_plan& plan, std::size_t index,
                    monotonic_time start, load_lane& lane) {
  tcp_socket socket(io);
  auto [connect_code] = co_await socket.async_connect(*parse_address(plan.address), as_task);
  if (connect_code) {
    ++lane.failures;
    co_return;
  }
  prepare_socket(socket);
  task_timer timer(io);
  const auto counted = start + plan.warm_up;
  const auto end = counted + plan.length;
  const duration period(
      plan.rate == 0
          ? 0
          : static_cast<std::int64_t>(1e6 * static_cast<double>(plan.connections) / plan.rate));
  auto scheduled = start + period * static_cast<std::int64_t>(index) /
                               static_cast<std::int64_t>(plan.connections);
  std::array<char, 4096> bytes;
  while (true) {
    auto now = monotonic_now();
    if (plan.rate != 0) {
      scheduled += period;
      if (scheduled > now) {
        timer.expires_after(scheduled - now);
        co_await timer.async_wait(as_task);
      }
      // The timer's own lateness is the load's, not the router's.
      now = std::max(scheduled, now);
    }
    if (now >= end) co_return;
    const auto sent = plan.rate == 0 ? now : std::min(monotonic_now(), scheduled + milliseconds(1));
    boost::system::error_code code;
    socket.write_some(asio::buffer(request_text), code);
    std::size_t size = 0;
    while (!code) {
      auto [wait_code] = co_await socket.async_wait(tcp_socket::wait_read, as_task);
      size += socket.read_some(asio::buffer(bytes.data() + size, bytes.size() - size), code);
      if (code == asio::error::would_block) code.clear();
      if (std::string_view(bytes.data(), size).ends_with("\"ok\":1}  ")) break;
      if (wait_code) code = wait_code;
    }
    if (code || !std::string_view(bytes.data(), size).starts_with("HTTP/1.1 200")) {
      ++lane.failures;
      if (code) co_return;
    }
    const auto done = monotonic_now();
    if (done >= counted && done < end) lane.latency.add(done - sent);
  }
}

load_result run_load(const load_plan& plan) {
  std::vector<load_lane> lanes(plan.connections);
  {
    thread_group threads(load_threads, "load");
    const auto start = monotonic_now() + milliseconds(50);
    std::atomic<std::size_t> left{plan.connections};
    for (std::size_t i = 0; i < plan.connections; ++i) {
      auto& io = threads.at(i);
      asio::co_spawn(io, run_lane(io, plan, i, start, lanes[i]),
                     [&](const std::exception_ptr&) { --left; });
    }
    while (left != 0) std::this_thread::sleep_for(milliseconds(5));
  }
  load_result sum;
  for (const auto& lane : lanes) {
    sum.latency.merge(lane.latency);
    sum.failures += lane.failures;
  }
  sum.rate =
      static_cast<double>(sum.latency.total()) / std::chrono::duration<double>(plan.length).count();
  return sum;
}

// Processor time of the threads whose name begins so.
duration thread_time(const std::string& name) {
  std::uint64_t nanoseconds = 0;
  for (const auto& task : std::filesystem::directory_iterator("/proc/self/task")) {
    std::string comm;
    std::getline(std::ifstream(task.path() / "comm"), comm);
    std::uint64_t used = 0;
    if (comm.starts_with(name)) std::ifstream(task.path() / "schedstat") >> used;
    nanoseconds += used;
  }
  return duration(nanoseconds / 1000);
}

std::size_t resident_bytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Routers before the upstreams: one, or an entry and the dispatcher that it forwards to.
class bench_path {
 public:
  bench_path(const std::vector<std::string>& upstreams, std::uint32_t threads, bool hop) {
    service_.service.name = service_id{"shelf"};
    service_.table_revision = revision_number{1};
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      service_.upstreams.push_back({.name = upstream_id{"u" + std::to_string(i)},
                                    .address = upstreams[i],
                                    .domain = domain_id{"d"},
                                    .slots = 4096,
                                    .connections = 4096});
    }
    service_.dispatchers.resize(upstreams.size());
    service_.routes.push_back({.name = "stock",
                               .path_prefix = "/stock",
                               .key_from = key_source::path_segment,
                               .key_name = "1",
                               .timeout = seconds(30),
                               .body_limit = upload_bytes});
    for (std::uint32_t i = 0; i < service_.service.shards; ++i) {
      service_.shards.push_back(
          {i % static_cast<std::uint32_t>(upstreams.size()), fence_number{7}});
    }
    entry_ = start("entry", threads);
    if (hop) {
      dispatcher_ = start("dispatcher", threads);
      service_.service.dispatch = dispatch_mode::dispatcher;
      for (auto& address : service_.dispatchers) address = dispatcher_->forward_address();
    }
    entry_->set_snapshot(std::make_shared<routing_snapshot>(routing_snapshot{{service_}}));
  }
  const std::string& address() const { return address_; }

 private:
  std::unique_ptr<proxy> start(const std::string& name, std::uint32_t threads) {
    proxy_settings settings{.listen_callers = "127.0.0.1:0",
                            .listen_forward = "127.0.0.1:0",
                            .threads = threads,
                            .instance = name,
                            .domain = domain_id{"d"}};
    settings.limits.hop_connections = 4096;
    settings.limits.first_byte_timeout.fill(seconds(60));
    auto made = std::make_unique<proxy>(settings, counters_);
    const auto listening = made->start();
    if (address_.empty() && listening) address_ = *listening;
    made->set_snapshot(std::make_shared<routing_snapshot>(routing_snapshot{{service_}}));
    return made;
  }

  metrics counters_;
  service_snapshot service_;
  std::unique_ptr<proxy> dispatcher_;
  std::unique_ptr<proxy> entry_;
  std::string address_;
};

struct path_figures {
  std::string name;
  std::size_t threads = 0;
  std::size_t connections = 0;
  double rate = 0;
  double cpu_us = 0;  // per request
  double half_p50 = 0;
  double half_p99 = 0;
  std::uint64_t failures = 0;
};

path_figures measure(const std::string& name, const std::string& address, std::size_t threads,
                     std::size_t connections, duration length) {
  path_figures figures{name, threads, connections};
  const auto before = thread_time("traffic");
  const auto full = run_load({.address = address, .connections = connections, .length = length});
  const auto used = thread_time("traffic") - before;
  figures.rate = full.rate;
  figures.failures = full.failures;
  const double warm = std::chrono::duration<double>(length + milliseconds(300)).count() /
                      std::chrono::duration<double>(length).count();
  figures.cpu_us =
      static_cast<double>(used.count()) / (static_cast<double>(full.latency.total()) * warm);
  const auto half = run_load(
      {.address = address, .connections = connections, .rate = full.rate / 2, .length = length});
  figures.half_p50 = half.latency.at(0.5);
  figures.half_p99 = half.latency.at(0.99);
  figures.failures += half.failures;
  return figures;
}

void print(const path_figures& f) {
  std::cout << std::left << std::setw(11) << f.name << std::right << std::setw(8) << f.threads
            << std::setw(8) << f.connections << std::fixed << std::setprecision(0) << std::setw(12)
            << f.rate << std::setprecision(1) << std::setw(10) << f.cpu_us << std::setw(11)
            << f.half_p50 << std::setw(11) << f.half_p99 << std::setw(7) << f.failures << std::endl;
}

boost::json::object to_json(const path_figures& f) {
  return {{"path", f.name},
          {"threads", f.threads},
          {"connections", f.connections},
          {"rate", std::round(f.rate)},
          {"cpu_us", f.cpu_us},
          {"half_p50_us", f.half_p50},
          {"half_p99_us", f.half_p99},
          {"failures", f.failures}};
}

// Bytes of the process for each of many callers' connections, idle or with a request held.
double bytes_per_connection(const std::string& address, std::size_t count, bool active) {
  asio::io_context io;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  const auto before = resident_bytes();
  for (std::size_t i = 0; i < count; ++i) {
    auto socket = std::make_unique<tcp::socket>(io);
    boost::system::error_code code;
    socket->connect(*parse_address(address), code);
    if (code) return 0;
    asio::write(*socket, asio::buffer(request_text), code);
    std::array<char, 1024> bytes{};
    if (!active) socket->read_some(asio::buffer(bytes), code);
    sockets.push_back(std::move(socket));
  }
  std::this_thread::sleep_for(milliseconds(300));
  return static_cast<double>(resident_bytes() - before) / static_cast<double>(count);
}

boost::json::object measure_memory(thread_group& upstreams) {
  constexpr std::size_t idle_count = 4000;
  constexpr std::size_t active_count = 1000;
  bench_upstream quick(upstreams);
  bench_upstream held(upstreams, true);
  bench_path idle_path({quick.address()}, 2, false);
  bench_path active_path({held.address()}, 2, false);
  const double idle = bytes_per_connection(idle_path.address(), idle_count, false);
  const double active = bytes_per_connection(active_path.address(), active_count, true);
  std::cout << "memory per connection: idle " << idle << " bytes, active " << active << " bytes\n";
  return {{"idle_bytes", std::round(idle)}, {"active_bytes", std::round(active)}};
}

// Takes whole uploads of upload_bytes and answers each; reads slowly enough to show back-pressure.
task<void> swallow(tcp_socket socket) {
  std::vector<char> bytes(bench_buffer_bytes);
  std::uint64_t taken = 0;
  while (taken < upload_bytes) {
    auto [code, size] = co_await socket.async_read_some(asio::buffer(bytes), as_task);
    if (code) co_return;
    taken += size;
  }
  boost::system::error_code code;
  socket.write_some(asio::buffer(answer_text), code);
  co_await socket.async_wait(tcp_socket::wait_read, as_task);
}

task<void> upload(asio::io_context& io, const std::string& address,
                  std::atomic<std::size_t>& whole) {
  tcp_socket socket(io);
  auto [connect_code] = co_await socket.async_connect(*parse_address(address), as_task);
  if (connect_code) co_return;
  const std::string head =
      "PUT /stock/" + std::to_string(whole.load()) +
      " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(upload_bytes) + "\r\n\r\n";
  auto [head_code, head_size] = co_await asio::async_write(socket, asio::buffer(head), as_task);
  if (head_code) co_return;
  const std::vector<char> bytes(bench_buffer_bytes, 'u');
  for (std::uint64_t sent = 0; sent < upload_bytes; sent += bytes.size()) {
    auto [code, size] = co_await asio::async_write(socket, asio::buffer(bytes), as_task);
    if (code) co_return;
  }
  std::array<char, 1024> answer{};
  auto [code, size] = co_await socket.async_read_some(asio::buffer(answer), as_task);
  if (!code && std::string_view(answer.data(), size).starts_with("HTTP/1.1 200")) ++whole;
}

// 64 uploads of 200 MB at once: whether all come through, and how far the process grows. Its growth
// holds the buffers of load and upstream too, 128 KiB for each upload.
boost::json::object measure_uploads(thread_group& upstreams) {
  asio::basic_socket_acceptor<tcp, io_executor> acceptor(
      upstreams.at(0), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::function<void()> accept = [&] {
    auto& io = upstreams.at(0);
    acceptor.async_accept(io, [&](const auto& code, tcp_socket socket) {
      if (code) return;
      asio::co_spawn(io, swallow(std::move(socket)), asio::detached);
      accept();
    });
  };
  accept();
  const bench_path path({format_address(acceptor.local_endpoint())}, 4, false);
  const auto before = resident_bytes();
  std::size_t most = before;
  std::atomic<std::size_t> whole{0};
  std::atomic<std::size_t> left{upload_count};
  const auto start = monotonic_now();
  {
    thread_group threads(load_threads, "load");
    for (std::size_t i = 0; i < upload_count; ++i) {
      auto& io = threads.at(i);
      asio::co_spawn(io, upload(io, path.address(), whole),
                     [&](const std::exception_ptr&) { --left; });
    }
    while (left != 0) {
      std::this_thread::sleep_for(milliseconds(20));
      most = std::max(most, resident_bytes());
    }
  }
  const double length = std::chrono::duration<double>(monotonic_now() - start).count();
  const double growth = static_cast<double>(most - before) / (1 << 20);
  std::cout << "uploads: " << whole << " of " << upload_count << " whole, " << length
            << " s, the process grew by " << growth << " MiB\n";
  return {{"uploads", upload_count},
          {"whole", whole.load()},
          {"seconds", length},
          {"growth_mib", growth},
          {"bound_mib", static_cast<double>(upload_count * upload_bound) / (1 << 20)}};
}

int run(duration length, bool quick, bool rates) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  std::array<double, 1> load{};
  ::getloadavg(load.data(), 1);
  std::cout << "load average before the run: " << load[0] << " on "
            << std::thread::hardware_concurrency() << " processors\n"
            << "path        threads   conns  requests/s    cpu us    p50 us     p99 us  fails\n";
  thread_group upstreams(upstream_threads, "upstream");
  std::vector<std::unique_ptr<bench_upstream>> servers;
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < upstream_count; ++i) {
    servers.push_back(std::make_unique<bench_upstream>(upstreams));
    addresses.push_back(servers.back()->address());
  }
  boost::json::array rows;
  double best = 0;
  double worst_added = 0;
  const std::vector<std::size_t> connection_counts = !rates ? std::vector<std::size_t>{}
                                                     : quick
                                                         ? std::vector<std::size_t>{64}
                                                         : std::vector<std::size_t>{16, 64, 256};
  for (const std::size_t connections : connection_counts) {
    const auto direct = measure("direct", addresses[0], 0, connections, length);
    print(direct);
    rows.push_back(to_json(direct));
    for (const bool hop : {false, true}) {
      for (const std::uint32_t threads : {1U, 2U, 4U}) {
        if (quick && threads != 4) continue;
        const bench_path path(addresses, threads, hop);
        const auto figures =
            measure(hop ? "dispatcher" : "router", path.address(), threads, connections, length);
        print(figures);
        rows.push_back(to_json(figures));
        if (hop || threads != 4) continue;
        best = std::max(best, figures.rate);
        worst_added = std::max(worst_added, figures.half_p99 - direct.half_p99);
      }
    }
  }
  const auto uploads = quick ? boost::json::object{} : measure_uploads(upstreams);
  const auto memory = quick ? boost::json::object{} : measure_memory(upstreams);
  std::cout << boost::json::serialize(boost::json::object{{"bench", "path"},
                                                          {"load_average", load[0]},
                                                          {"best_rate_4_threads", std::round(best)},
                                                          {"worst_added_p99_us", worst_added},
                                                          {"memory", memory},
                                                          {"uploads", uploads},
                                                          {"rows", rows}})
            << std::endl;
  return 0;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  try {
    TCLAP::CmdLine command("Cost of the data path.", ' ', PLANTAINPADDLE_VERSION);
    TCLAP::ValueArg<unsigned> length("", "seconds", "length of a run", false, 2, "N", command);
    TCLAP::SwitchArg quick("", "quick", "64 connections and 4 threads only", command);
    TCLAP::SwitchArg memory("", "memory", "uploads and memory only", command);
    command.parse(argc, argv);
    return run(seconds(length.getValue()), quick.getValue(), !memory.getValue());
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return 2;
  }
}
