// Carries out what the assigner of a service decides, if this instance is it, and tries to become
// it where nobody is. Runs on the io_context's thread.
//
//   range_runner runner(service, context, timing, spread);
//   runner.set_upstreams(upstreams);          // as often as they change
//   runner.on_view();                         // the store was looked at
//   runner.tick();                            // some times a second
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/store_view.h"
#include "http/client.h"
#include "ownership/candidacy.h"
#include "ownership/range_assigner.h"
#include "platform/store_client.h"
#include "upstream/order_link.h"

namespace plantainpaddle {

struct range_runner_context {
  boost::asio::io_context& io;
  store_client& store;
  store_view& view;
  http_client& orders;  // releases, which may go over any connection
  instance_id self;
  std::string address;  // of this instance, for the others
  // Tells the other instances of a record that was written.
  std::function<void(const service_id&, const range_record&, std::uint64_t version)> push;
};

class range_runner {
 public:
  range_runner(service_id service, range_runner_context context, range_timing timing,
               candidacy_timing candidacy, duration spread);

  struct upstream {
    range_upstream facts;
    std::string address;
    bool operator==(const upstream&) const = default;
  };
  void set_upstreams(std::vector<upstream> listed);
  void on_view();
  void tick();
  // Requests by key, own ones or those of other instances.
  void count(std::uint32_t key, double requests) { load_.add(key, requests); }
  // Gives up the right to assign, if it is this instance's.
  void leave();

  bool assigns() const { return assigner_.has_value(); }
  std::string_view assigner_address() const;

 private:
  struct link_state {
    std::string address;
    std::shared_ptr<order_link> link;
    link_number number = 0;  // 0: not open yet
    monotonic_time next_try{};
  };

  void step_candidacy();
  void create_lease();
  void campaign();
  void renew_lease();
  void become_assigner(const range_record& record, std::uint64_t version,
                       range_predecessor predecessor);
  void step_down(std::string_view why);
  void resign();
  void give_up(std::string_view why);
  void write_concession(const range_record& record, std::uint64_t version, int tries);
  void act();
  void log_balance(monotonic_time now);
  std::vector<range_upstream> listed_facts() const;
  // The record stands in the store: for the view here and on the other instances.
  void publish(const range_record& record, std::uint64_t version);
  void perform(const range_action::write& order);
  void perform(const range_action::grant& order);
  void perform(const range_action::release& order);
  order_link* link_of(const range_action::grant& order) const;
  void on_grant_answer(const range_action::grant& order, const result<http_response>& answer);
  void read_record();
  void on_record_read(const result<std::optional<stored_value>>& read);
  void keep_links();
  void open_link(const upstream_id& name, link_state& state);
  void close_link(const upstream_id& name, std::string_view why);

  service_id service_;
  range_runner_context context_;
  range_timing timing_;
  candidacy candidacy_;
  std::optional<range_assigner> assigner_;
  // Of the calls under way, so that those of an earlier time as the assigner are told apart.
  std::uint64_t term_ = 0;
  std::map<upstream_id, upstream> listed_;
  std::map<upstream_id, link_state> links_;
  std::map<upstream_id, std::string> addresses_;  // last known, also of upstreams that are gone
  link_number last_link_ = 0;
  key_load load_;
  monotonic_time next_rebalance_{};
  monotonic_time next_balance_line_{};
  bool reading_ = false;
  bool leaving_ = false;
};

}  // namespace plantainpaddle
