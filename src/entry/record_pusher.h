// Sends the records that an assigner has written to the other instances. Each instance has one push
// under way at a time; records that are written meanwhile are covered by the next one, so that a
// slow link carries the latest record instead of all of them. An instance that answered which
// version it has gets only the changes from there.
//
//   record_pusher pusher(client, "/record");
//   pusher.push(service, record, version, addresses);
//   pusher.on_report(service, address, version);  // an instance said which version it has
//
// Everything runs on the client's thread. Calls under way refer to the pusher.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "http/client.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

class record_pusher {
 public:
  record_pusher(http_client& client, std::string target)
      : client_(client), target_(std::move(target)) {}

  void push(const service_id& service, const range_record& record, std::uint64_t version,
            const std::vector<std::string>& addresses);

  // Sends the latest record to an instance that lacks it. A push to it may have been lost.
  void on_report(const service_id& service, const std::string& address,
                 const record_position& known);

 private:
  struct written_record {
    std::uint64_t version = 0;
    range_record record;
  };
  struct service_state {
    std::deque<written_record> written;               // the latest ones, oldest first
    std::map<record_position, std::string> messages;  // of the latest, by the record they change
    record_position latest() const { return position_of(written.back().record); }
  };
  struct receiver {
    bool under_way = false;
    record_position known;  // of the record that it said it has
  };
  using receiver_key = std::pair<service_id, std::string>;  // and its address

  const std::string& message_for(const service_id& service, const record_position& known);
  void send(const receiver_key& to);
  void on_answer(const receiver_key& to, const result<http_response>& answer);

  http_client& client_;
  std::string target_;
  std::map<service_id, service_state> services_;
  std::map<receiver_key, receiver> receivers_;
};

}  // namespace plantainpaddle
