// Runs the assigners that this instance is, and answers as standby for the cells of others: starts
// them when it is this instance's turn, carries out their actions, hands them over on leave.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry/instance_directory.h"
#include "entry/state_cache.h"
#include "http/client.h"
#include "ownership/assigner.h"
#include "ownership/shard_load.h"
#include "ownership/standby.h"
#include "peer/network.h"
#include "platform/store_client.h"

namespace plantainpaddle {

class cell_runner {
 public:
  struct context {
    const state_cache& cache;
    const instance_directory& directory;
    store_client& store;
    http_client& http;
    peer_network& network;
    std::function<void(std::function<void()>)> post;    // to the control thread, from any thread
    std::function<void(const state_item&)> on_written;  // a value now stands in the store
    std::function<void(const std::string&)> on_unreachable;  // an instance, by name
    std::function<void(const instance_id&)> on_heard;        // an instance answered in this life
    std::function<grant_answer(const upstream_id&, const grant_order&)> handle_order;
  };

  static constexpr duration load_window = seconds(60);

  cell_runner(instance_id self, context given, std::uint64_t seed);

  void tick(monotonic_time now);
  term_answer answer(const term_question& question, monotonic_time now);
  // Another instance leaves and hands a cell over. False: this one can't take it.
  bool take_over(const term_handover& handover, monotonic_time now);

  // Starts and takes over no cell any more.
  void set_leaving() { leaving_ = true; }
  // Requests of shards that one instance has seen. Nothing happens if the cell isn't assigned here.
  void add_load(const shard_requests& requests, monotonic_time now);
  // Hands over all cells, starts none any more. True once none is left.
  bool leave(monotonic_time now);

  struct cell_state {
    assigner_phase phase;
    bool has_right = false;
    std::size_t moves = 0;
    std::vector<upstream_id> suspected;
  };
  std::map<cell_id, cell_state> describe(monotonic_time now) const;

 private:
  // What a cell's inputs were made from: as long as it is the same, so are they.
  struct inputs_source {
    std::uint64_t state = 0;      // state_cache::summary
    std::uint64_t directory = 0;  // instance_directory::generation
    monotonic_time rates;         // when they were last read
    bool operator==(const inputs_source&) const = default;
  };

  // A new assigner of the same cell has another number, so that it takes no answers meant for an
  // old one.
  struct running {
    std::uint64_t number = 0;
    assigner decisions;
    cell_inputs inputs;
    bool has_inputs = false;
    inputs_source made_from;
    shard_load load{load_window};
    std::map<shard_id, double> rates;  // as last given to the planner
    monotonic_time next_rates{};
  };
  struct cell_ref {
    cell_id cell;
    std::uint64_t number = 0;
  };

  void update_role(const service_table& declared, const service_layout& layout, const cell_id& cell,
                   monotonic_time now);
  const std::vector<std::string>& order_of(const service_table& declared, const cell_id& cell);
  bool should_start(const cell_id& cell, const std::vector<std::string>& order, monotonic_time now);
  running& start(const service_table& declared, const cell_id& cell, monotonic_time now);
  void update_inputs(running& role, const service_table& declared, const service_layout& layout,
                     const cell_id& cell, const std::vector<std::string>& order);
  cell_inputs inputs_of(const service_table& declared, const service_layout& layout,
                        const cell_id& cell, const std::vector<std::string>& order) const;
  std::optional<instance_id> choose_dispatcher(const upstream_row& row) const;
  void send_to_dispatcher(const cell_ref& from, const send_order& action,
                          const instance_id& dispatcher);
  void update_rates(running& role, monotonic_time now);
  void probe_candidates(const std::vector<std::string>& order, monotonic_time now);
  void feed(const cell_ref& to, const assigner_event& event);
  void feed_later(const cell_ref& to, assigner_event event);
  void carry_out(const cell_ref& from, const send_order& action);
  void carry_out(const cell_ref& from, const ask_standby& action);
  void carry_out(const cell_ref& from, const read_record& action);
  void carry_out(const cell_ref& from, const write_record& action);
  void carry_out(const cell_ref& from, const publish_record& action);
  void carry_out(const cell_ref& from, const remember_term& action);
  void carry_out(const cell_ref& from, const publish_moving& action);
  void carry_out(const cell_ref& from, const retire& action);
  void send_handover(const cell_id& cell, const handover_received& handover);
  const upstream_row* find_upstream(const cell_id& cell, const upstream_id& name) const;

  instance_id self_;
  context context_;
  std::mt19937_64 random_;
  standby_memory standbys_;
  std::map<cell_id, running> running_;
  struct kept_order {
    std::uint64_t generation = ~std::uint64_t{0};  // of the directory's list
    isolation_mode isolation = isolation_mode::stay;
    std::vector<std::string> names;
  };
  std::map<cell_id, kept_order> orders_;
  std::map<cell_id, monotonic_time> not_before_;      // no new start of a cell before
  std::map<std::string, monotonic_time> next_probe_;  // by instance name
  std::size_t handovers_under_way_ = 0;
  std::uint64_t last_number_ = 0;
  bool leaving_ = false;
};

}  // namespace plantainpaddle
