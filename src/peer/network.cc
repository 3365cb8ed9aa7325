#include "peer/network.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "peer/codec.h"

namespace plantainpaddle {
namespace {

error peer_error(errc code, const std::string& address, const kj::Exception& e) {
  return error{code, step::peer, address, std::string(e.getDescription().cStr())};
}

}  // namespace

// All members but queue, mutex and wake_fd belong to the network's thread.
struct peer_network::impl {
  peer_settings settings;
  serve_handler serve;
  std::thread thread;
  std::mutex mutex;
  std::vector<std::function<void()>> queue;
  int wake_fd = -1;
  bool stopping = false;

  struct outgoing {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> rpc;
    kj::Own<kj::ForkedPromise<void>> ready;
    wire::Peer::Client peer = nullptr;
    peer_identity identity;
    std::uint64_t number = 0;
  };
  kj::AsyncIoContext* io = nullptr;
  kj::TaskSet* tasks = nullptr;
  std::map<std::string, std::shared_ptr<outgoing>> connections;
  std::uint64_t last_connection = 0;
  traffic_counter traffic;

  void post(std::function<void()> work) {
    {
      const std::lock_guard lock(mutex);
      queue.push_back(std::move(work));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_fd, &one, sizeof one);
  }

  void run(std::promise<result<std::string>> started);
  kj::Promise<void> drain_queue(kj::AsyncInputStream& wake);
  kj::Promise<void> accept_loop(kj::ConnectionReceiver& receiver);
  std::shared_ptr<outgoing> connect(const std::string& address);
  void call_here(const std::string& address, peer_request request, duration timeout,
                 done_handler done);
};

namespace {

class logging_error_handler final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&&) override {}  // a lost connection; each call has its own error
};

template <class Message>
std::uint64_t bytes_of(const Message& message) {
  return message.totalSize().wordCount * sizeof(capnp::word);
}

// Serves one connection's requests after its identity has been accepted.
class peer_server final : public wire::Peer::Server {
 public:
  peer_server(peer_identity from, peer_network::serve_handler serve,
              std::function<void(std::function<void()>)> post, traffic_counter& traffic)
      : from_(std::move(from)),
        serve_(std::move(serve)),
        post_(std::move(post)),
        traffic_(traffic) {}

  kj::Promise<void> call(CallContext context) override {
    traffic_.received(bytes_of(context.getParams().getRequest()));
    auto request = read_request(context.getParams().getRequest());
    if (!request) return KJ_EXCEPTION(FAILED, to_string(request.error()).c_str());
    auto pair = kj::newPromiseAndFulfiller<peer_reply>();
    // The fulfiller belongs to this thread: a reply from another thread is posted here.
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<peer_reply>>>(kj::mv(pair.fulfiller));
    serve_(from_, std::move(*request), [post = post_, fulfiller](peer_reply reply) {
      post([fulfiller, reply = std::move(reply)]() mutable {
        (*fulfiller)->fulfill(std::move(reply));
      });
    });
    return pair.promise.then([this, context](peer_reply reply) mutable {
      auto to = context.getResults().initReply();
      write_reply(reply, to);
      traffic_.sent(bytes_of(to.asReader()));
    });
  }

 private:
  peer_identity from_;
  peer_network::serve_handler serve_;
  std::function<void(std::function<void()>)> post_;
  traffic_counter& traffic_;
};

class gate_server final : public wire::Gate::Server {
 public:
  gate_server(peer_identity own, peer_network::serve_handler serve,
              std::function<void(std::function<void()>)> post, traffic_counter& traffic)
      : own_(std::move(own)), serve_(std::move(serve)), post_(std::move(post)), traffic_(traffic) {}

  kj::Promise<void> open(OpenContext context) override {
    const peer_identity from = read_identity(context.getParams().getIdentity());
    if (from.cluster != own_.cluster) {
      return KJ_EXCEPTION(FAILED, "cluster is not ours", from.cluster.c_str(),
                          own_.cluster.c_str());
    }
    if (from.version != own_.version) {
      return KJ_EXCEPTION(FAILED, "protocol version is not ours", from.version, own_.version);
    }
    if (from.region != own_.region) {
      return KJ_EXCEPTION(FAILED, "region is not ours", from.region.c_str(), own_.region.c_str());
    }
    auto results = context.getResults();
    write_identity(own_, results.initIdentity());
    results.setPeer(kj::heap<peer_server>(from, serve_, post_, traffic_));
    return kj::READY_NOW;
  }

 private:
  peer_identity own_;
  peer_network::serve_handler serve_;
  std::function<void(std::function<void()>)> post_;
  traffic_counter& traffic_;
};

// One accepted connection with its own limits.
struct incoming {
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;

  incoming(kj::Own<kj::AsyncIoStream>&& s, capnp::ReaderOptions options,
           capnp::Capability::Client bootstrap)
      : stream(kj::mv(s)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, options),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
};

}  // namespace

peer_network::peer_network(peer_settings settings, serve_handler serve)
    : impl_(std::make_unique<impl>()) {
  impl_->settings = std::move(settings);
  impl_->serve = std::move(serve);
  impl_->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
}

peer_network::~peer_network() {
  if (impl_->thread.joinable()) {
    impl_->post([this] { impl_->stopping = true; });
    impl_->thread.join();
  }
  ::close(impl_->wake_fd);
}

result<std::string> peer_network::start() {
  std::promise<result<std::string>> started;
  auto outcome = started.get_future();
  impl_->thread = std::thread(
      [this, promise = std::move(started)]() mutable { impl_->run(std::move(promise)); });
  return outcome.get();
}

traffic_totals peer_network::traffic() const { return impl_->traffic.totals(); }

duration peer_network::cpu_time() const { return thread_cpu_time(impl_->thread); }

void peer_network::call(const std::string& address, peer_request request, duration timeout,
                        done_handler done) {
  impl_->post(
      [this, address, request = std::move(request), timeout, done = std::move(done)]() mutable {
        impl_->call_here(address, std::move(request), timeout, std::move(done));
      });
}

void peer_network::impl::run(std::promise<result<std::string>> started) {
  auto context = kj::setupAsyncIo();
  logging_error_handler errors;
  kj::TaskSet task_set(errors);
  io = &context;
  tasks = &task_set;
  kj::Own<kj::ConnectionReceiver> receiver;
  try {
    auto address =
        context.provider->getNetwork().parseAddress(settings.listen).wait(context.waitScope);
    receiver = address->listen();
  } catch (const kj::Exception& e) {
    started.set_value(peer_error(errc::unavailable, settings.listen, e));
    return;
  }
  const auto colon = settings.listen.rfind(':');
  started.set_value(settings.listen.substr(0, colon) + ":" + std::to_string(receiver->getPort()));
  task_set.add(accept_loop(*receiver));
  auto wake = context.lowLevelProvider->wrapInputFd(wake_fd, 0);
  drain_queue(*wake).wait(context.waitScope);
  connections.clear();
  tasks = nullptr;
}

kj::Promise<void> peer_network::impl::drain_queue(kj::AsyncInputStream& wake) {
  auto counter = kj::heap<std::uint64_t>();
  auto* target = counter.get();
  return wake.read(target, sizeof *target)
      .attach(kj::mv(counter))
      .then([this, &wake]() -> kj::Promise<void> {
        std::vector<std::function<void()>> work;
        {
          const std::lock_guard lock(mutex);
          work.swap(queue);
        }
        for (auto& item : work) item();
        if (stopping) return kj::READY_NOW;
        return drain_queue(wake);
      });
}

kj::Promise<void> peer_network::impl::accept_loop(kj::ConnectionReceiver& receiver) {
  return receiver.accept().then([this, &receiver](kj::Own<kj::AsyncIoStream>&& stream) {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = settings.max_message_bytes / sizeof(capnp::word);
    auto gate = kj::heap<gate_server>(
        settings.identity, serve, [this](std::function<void()> work) { post(std::move(work)); },
        traffic);
    auto connection = kj::heap<incoming>(kj::mv(stream), options, kj::mv(gate));
    auto gone = connection->network.onDisconnect();
    tasks->add(gone.attach(kj::mv(connection)));
    return accept_loop(receiver);
  });
}

std::shared_ptr<peer_network::impl::outgoing> peer_network::impl::connect(
    const std::string& address) {
  const auto known = connections.find(address);
  if (known != connections.end()) return known->second;
  auto made = std::make_shared<outgoing>();
  made->number = ++last_connection;
  // Weak: the connection owns the promise, and the promise must not own the connection.
  const std::weak_ptr<outgoing> weak = made;
  auto ready =
      io->provider->getNetwork()
          .parseAddress(address)
          .then([](kj::Own<kj::NetworkAddress>&& to) {
            auto connecting = to->connect();
            return connecting.attach(kj::mv(to));
          })
          .then([this, weak](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void> {
            const auto self = weak.lock();
            if (!self) return kj::READY_NOW;
            capnp::ReaderOptions options;
            options.traversalLimitInWords = settings.max_message_bytes / sizeof(capnp::word);
            self->stream = kj::mv(stream);
            self->rpc = kj::heap<capnp::TwoPartyClient>(*self->stream);
            auto request = self->rpc->bootstrap().castAs<wire::Gate>().openRequest();
            write_identity(settings.identity, request.initIdentity());
            return request.send().then([weak](capnp::Response<wire::Gate::OpenResults>&& opened) {
              const auto held = weak.lock();
              if (!held) return;
              held->identity = read_identity(opened.getIdentity());
              held->peer = opened.getPeer();
            });
          });
  made->ready = kj::heap(ready.fork());
  connections[address] = made;
  return made;
}

void peer_network::impl::call_here(const std::string& address, peer_request request,
                                   duration timeout, done_handler done) {
  auto connection = connect(address);
  auto shared_done = std::make_shared<done_handler>(std::move(done));
  auto work = connection->ready->addBranch().then(
      [this, connection, request = std::move(request)]() -> kj::Promise<result<peer_answer>> {
        auto call = connection->peer.callRequest();
        auto to = call.initRequest();
        write_request(request, to);
        traffic.sent(bytes_of(to.asReader()));
        return call.send().then(
            [this, connection](
                capnp::Response<wire::Peer::CallResults>&& answered) -> result<peer_answer> {
              traffic.received(bytes_of(answered.getReply()));
              auto reply = read_reply(answered.getReply());
              if (!reply) return reply.error();
              return peer_answer{connection->identity, std::move(*reply)};
            });
      });
  auto limited =
      io->provider->getTimer().timeoutAfter(timeout.count() * kj::MICROSECONDS, kj::mv(work));
  tasks->add(
      limited.then([shared_done](result<peer_answer> answer) { (*shared_done)(std::move(answer)); },
                   [this, address, number = connection->number, shared_done](kj::Exception&& e) {
                     const auto known = connections.find(address);
                     const bool refused = e.getType() == kj::Exception::Type::FAILED;
                     if (known != connections.end() && known->second->number == number) {
                       connections.erase(known);
                     }
                     const bool late = e.getType() == kj::Exception::Type::OVERLOADED;
                     (*shared_done)(peer_error(late      ? errc::timed_out
                                               : refused ? errc::refused
                                                         : errc::unavailable,
                                               address, e));
                   }));
}

}  // namespace plantainpaddle
