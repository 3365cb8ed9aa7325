// A stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each entry process gets
// an address of its own.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/net.h"

namespace review {

class store {
 public:
  ~store() { stop(); }

  // Returns the address for one more caller.
  std::string add_caller();

  // What operators and servers write; lifetime_ms 0: for good.
  void write(const std::string& key, const std::string& value, std::int64_t lifetime_ms = 0);
  void stop();

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::string key;
    bool removed = false;
    item state;
  };
  struct lease {
    std::int64_t ttl = 0;
    std::int64_t until = 0;
  };
  void serve(connection& link);
  std::string answer(const message& request);
  std::string range(const std::string& prefix, const std::string& after);
  std::string watch(const std::string& prefix, std::uint64_t after, std::int64_t wait,
                    std::unique_lock<std::mutex>& lock);
  std::string transact(const std::string& body);
  void put(const std::string& key, const std::string& value, std::uint64_t lease_id,
           std::uint64_t revision);
  void remove(const std::string& key, std::uint64_t revision);
  void expire();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::map<std::string, std::uint64_t> entry_leases_;
  std::deque<event> events_;
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 7000;
  std::vector<std::unique_ptr<acceptor>> listeners_;
  bool stopped_ = false;
};

}  // namespace review
