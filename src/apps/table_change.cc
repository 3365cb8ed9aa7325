#include "apps/table_change.h"

#include <cstdlib>
#include <thread>

#include "apps/commit.h"
#include "apps/table_view.h"
#include "table/review.h"

namespace plantainpaddle {
namespace {

constexpr duration status_timeout = seconds(1);
constexpr duration wait_pause = milliseconds(100);

int exit_code_of(const error& e) {
  if (e.code == errc::bad_input || e.code == errc::limit_exceeded) return exit_bad_input;
  if (e.code == errc::conflict || e.code == errc::stale) return exit_conflict;
  if (e.code == errc::unavailable || e.code == errc::timed_out) return exit_unavailable;
  return exit_failed;
}

int wait_in_force(const platform_address& address,
                  const std::map<service_id, revision_number>& wanted, seconds limit) {
  const auto start = monotonic_now();
  while (true) {
    const auto fleet = gather_fleet(address.fleet, status_timeout);
    bool everywhere = !fleet.instances.empty();
    for (const auto& [service, revision] : wanted) {
      everywhere = everywhere && instances_at(fleet, service, revision) == fleet.instances.size();
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(monotonic_now() - start);
    if (everywhere) {
      std::cout << "in force on " << fleet.instances.size() << " instances after " << waited.count()
                << " ms\n";
      return exit_ok;
    }
    if (waited >= limit) {
      std::cerr << "written, but not in force on all instances after " << limit.count()
                << " s: see plantainpaddle-status\n";
      return exit_failed;
    }
    std::this_thread::sleep_for(wait_pause);
  }
}

}  // namespace

int fail(const error& e) {
  std::cerr << to_string(e) << '\n';
  return exit_code_of(e);
}

error refused(std::string detail) {
  return error{errc::bad_input, step::table, "", std::move(detail)};
}

std::string author_from_environment() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

service_table table_of(const table& tables, const service_id& service) {
  const auto place = tables.find(service);
  return place == tables.end() ? service_table{} : place->second;
}

bool print_conflicts(const std::vector<planned_change>& changes) {
  bool found = false;
  for (const auto& change : changes) {
    const auto merged = merge_edits(change.base, change.current, change.edits);
    std::cerr << show_conflicts(change.service, merged.conflicts);
    found = found || !merged.conflicts.empty();
  }
  return found;
}

int review(const std::vector<planned_change>& changes, const change_options& options,
           bool count_moves) {
  if (options.author.getValue().empty()) {
    std::cerr << "--author NAME or the variable USER is wanted\n";
    return exit_usage;
  }
  if (print_conflicts(changes)) {
    std::cerr << "nothing was written: read the table anew and repeat your edit\n";
    return exit_conflict;
  }
  bool risky = false;
  for (const auto& change : changes) {
    const auto merged = merge_edits(change.base, change.current, change.edits);
    const auto next = accept_edits(change.current, merged.edits, options.note());
    if (!next) return fail(next.error());
    for (const auto& risk : review_change(change.current, *next)) {
      if (risk.kind == risk_kind::many_moves && !count_moves) continue;
      std::cerr << risk.text << '\n';
      risky = true;
    }
  }
  if (risky && !options.yes.getValue()) {
    std::cerr << "nothing was written: repeat with --yes if this is meant\n";
    return exit_needs_yes;
  }
  return exit_ok;
}

int commit_all(platform_access& platform, const platform_address& address,
               const std::vector<planned_change>& changes, const change_options& options) {
  std::map<service_id, revision_number> written;
  for (const auto& change : changes) {
    const proposal wanted{change.service, change.base, change.edits, options.note()};
    const auto outcome = commit_edits(platform.access(), wanted);
    if (!outcome) {
      std::cerr << change.service.value << ": ";
      return fail(outcome.error());
    }
    if (!outcome->conflicts.empty()) {
      std::cerr << show_conflicts(change.service, outcome->conflicts) << change.service.value
                << ": not written\n";
      return exit_conflict;
    }
    const auto revision = outcome->table.revision;
    written[change.service] = revision;
    std::cout << change.service.value << ": "
              << (outcome->changed ? "accepted as revision " : "already so at revision ")
              << revision.value;
    if (outcome->changed) {
      std::cout << ", by " << wanted.by.author << ", " << show_time(wanted.by.at);
    }
    std::cout << '\n';
  }
  if (!options.wait.getValue()) return exit_ok;
  return wait_in_force(address, written, seconds(options.timeout.getValue()));
}

}  // namespace plantainpaddle
