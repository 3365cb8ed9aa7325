// Runs the assigners of the cells that this instance assigns, and answers as standby for cells that
// other instances assign. It starts an assigner when this instance is next in a cell's candidate
// order, executes the assigner's actions and hands its cells over when the instance leaves.
//
// All functions are called on the control thread. A tick looks at every cell of every service.
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
    std::function<void(std::function<void()>)> post;  // runs work on the control thread; any thread
    std::function<void(const state_item&)> on_written;       // after a write to the store
    std::function<void(const std::string&)> on_unreachable;  // by name: it didn't answer
    std::function<void(const instance_id&)> on_reachable;    // an instance answered
    std::function<grant_answer(const upstream_id&, const grant_order&)> handle_order;
  };

  // The time over which the request rates of shards are averaged.
  static constexpr duration load_window = seconds(60);

  cell_runner(instance_id self, context ctx, std::uint64_t seed);

  void tick(monotonic_time now);
  // Answers, as a standby, an assigner that asks to act under a term.
  term_answer answer(const term_question& question, monotonic_time now);
  // Takes a cell over from an instance that leaves. Returns false if this instance can't: it leaves
  // too, already runs the cell, doesn't know the service, or can't read the record.
  bool take_over(const term_handover& handover, monotonic_time now);

  // Keeps this instance from starting or taking over further cells.
  void set_leaving() { leaving_ = true; }
  // Adds the requests per shard that one instance has counted. Does nothing if this instance
  // doesn't assign the cell.
  void add_load(const shard_requests& requests, monotonic_time now);
  // Hands over all cells and starts no others. Returns true once no cell and no handover is left;
  // the caller repeats the call until then.
  bool leave(monotonic_time now);

  struct cell_state {
    assigner_phase phase;
    bool has_right = false;  // assigner::has_right
    std::size_t moves = 0;   // of shards, under way
    std::vector<upstream_id> suspected;
  };
  // The cells that this instance assigns.
  std::map<cell_id, cell_state> describe(monotonic_time now) const;

 private:
  // Versions of all data from which a cell's inputs are made. Equal versions mean equal inputs.
  struct inputs_source {
    std::uint64_t state = 0;      // state_cache::summary
    std::uint64_t directory = 0;  // instance_directory::generation
    monotonic_time rates;         // running_cell::next_rates
    bool operator==(const inputs_source&) const = default;
  };

  // Each start of an assigner has its own number, so that an answer to an earlier assigner of the
  // same cell isn't delivered to the present one.
  struct running_cell {
    std::uint64_t number = 0;
    assigner state_machine;
    cell_inputs inputs;
    bool has_inputs = false;
    inputs_source current_source;
    shard_load load{load_window};
    std::map<shard_id, double> rates;  // requests per second, as last passed to the assigner
    monotonic_time next_rates{};
  };
  struct cell_ref {
    cell_id cell;
    std::uint64_t number = 0;
  };

  void update_role(const service_table& declared, const service_layout& layout, const cell_id& cell,
                   monotonic_time now);
  const std::vector<std::string>& candidate_order(const service_table& declared,
                                                  const cell_id& cell);
  bool should_start(const cell_id& cell, const std::vector<std::string>& order, monotonic_time now);
  running_cell& start(const service_table& declared, const cell_id& cell, monotonic_time now);
  void update_inputs(running_cell& role, const service_table& declared,
                     const service_layout& layout, const cell_id& cell,
                     const std::vector<std::string>& order);
  cell_inputs inputs_of(const service_table& declared, const service_layout& layout,
                        const cell_id& cell, const std::vector<std::string>& order) const;
  std::optional<instance_id> choose_dispatcher(const upstream_row& row) const;
  void send_to_dispatcher(const cell_ref& from, const send_order& action,
                          const instance_id& dispatcher);
  void update_rates(running_cell& role, monotonic_time now);
  void probe_candidates(const std::vector<std::string>& order, monotonic_time now);
  void deliver(const cell_ref& to, const assigner_event& event);
  void deliver_later(const cell_ref& to, assigner_event event);
  void execute(const cell_ref& from, const send_order& action);
  void execute(const cell_ref& from, const ask_standby& action);
  void execute(const cell_ref& from, const read_record& action);
  void execute(const cell_ref& from, const write_record& action);
  void execute(const cell_ref& from, const publish_record& action);
  void execute(const cell_ref& from, const remember_term& action);
  void execute(const cell_ref& from, const publish_moving& action);
  void execute(const cell_ref& from, const retire& action);
  void send_handover(const cell_id& cell, const handover_received& handover);
  const upstream_row* find_upstream(const cell_id& cell, const upstream_id& name) const;

  instance_id self_;
  context context_;
  std::mt19937_64 random_;
  standby_memory standbys_;
  std::map<cell_id, running_cell> running_;
  struct cached_order {
    std::uint64_t generation = ~std::uint64_t{0};  // of the directory's list
    isolation_mode isolation = isolation_mode::stay;
    std::vector<std::string> names;
  };
  std::map<cell_id, cached_order> orders_;
  std::map<cell_id, monotonic_time> earliest_start_;  // of a cell
  std::map<std::string, monotonic_time> next_probe_;  // by instance name
  std::size_t handovers_under_way_ = 0;
  std::uint64_t last_number_ = 0;
  bool leaving_ = false;
};

}  // namespace plantainpaddle
