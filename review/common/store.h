// A stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each entry process gets
// an address of its own, so that the store can turn one away or lose one's answers.
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
  explicit store(record& log) : log_(log) {}
  ~store() { stop(); }

  // Returns the address for one more caller.
  std::string add_caller(const std::string& name);
  // While set, the caller's calls get 503 and nothing is done; watches that wait are cut.
  void turn_away(const std::string& name, bool away);
  // The answer of the caller's next transaction that puts a key which contains `part` is lost: it
  // is carried out, and its connection returns nothing further.
  void lose_answer(const std::string& name, const std::string& part);
  bool has_lost_answer(const std::string& name);

  // What operators and servers write; lifetime_ms 0: for good.
  void write(const std::string& key, const std::string& value, std::int64_t lifetime_ms = 0);
  std::string value_of(const std::string& key);
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
  struct caller {
    std::string name;
    bool away = false;
    std::string lose_part;
    bool lost = false;
    std::unique_ptr<acceptor> listener;
  };

  void serve(caller& from, connection& link);
  std::string answer(caller& from, const message& request, bool& lost);
  std::string range(const std::string& prefix, const std::string& after);
  std::string watch(caller& from, const std::string& prefix, std::uint64_t after,
                    std::int64_t wait, std::unique_lock<std::mutex>& lock);
  std::string transact(caller& from, const std::string& body, bool& lost);
  void put(const std::string& key, const std::string& value, std::uint64_t lease_id,
           std::uint64_t revision);
  void remove(const std::string& key, std::uint64_t revision);
  void expire();

  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::map<std::string, std::uint64_t> entry_leases_;
  std::deque<event> events_;
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 7000;
  std::map<std::string, std::unique_ptr<caller>> callers_;
  bool stopped_ = false;
};

}  // namespace review
