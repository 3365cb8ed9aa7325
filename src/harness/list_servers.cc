#include "harness/list_servers.h"

#include <boost/asio/post.hpp>
#include <future>

namespace plantainpaddle {

namespace {
constexpr std::string_view empty_list = R"({"instances":[]})";
}

list_servers::list_servers()
    : work_(boost::asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}

list_servers::~list_servers() {
  io_.stop();
  thread_.join();
}

result<std::string> list_servers::listen(const std::string& instance) {
  std::promise<result<std::string>> promise;
  boost::asio::post(io_, [&] {
    auto& server = servers_[instance];
    server = std::make_unique<http_server>(io_.get_executor());
    promise.set_value(server->listen(
        "127.0.0.1:0", [this, instance](const http_request&) { return show(instance); }));
  });
  return promise.get_future().get();
}

boost::asio::awaitable<http_response> list_servers::show(std::string instance) {
  const std::lock_guard lock(mutex_);
  const auto place = lists_.find(instance);
  co_return json_response(200, place == lists_.end() ? std::string(empty_list) : place->second);
}

void list_servers::set(const std::string& instance, const std::string& list) {
  const std::lock_guard lock(mutex_);
  lists_[instance] = list;
}

}  // namespace plantainpaddle
