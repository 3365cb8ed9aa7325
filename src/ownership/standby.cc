#include "ownership/standby.h"

#include <algorithm>

namespace plantainpaddle {

term_answer standby_memory::handle(const term_question& question, monotonic_time now) {
  auto& cell = cells_[question.cell];
  if (question.term >= cell.highest) {
    cell.highest = question.term;
    cell.heard = now;
  }
  return {cell.highest};
}

void standby_memory::remember(const term_question& question, monotonic_time now) {
  auto& cell = cells_[question.cell];
  cell.highest = std::max(cell.highest, question.term);
  cell.acted = std::max(cell.acted, question.term);
  cell.heard = now;
}

bool standby_memory::accept(const cell_id& name, term_number term, monotonic_time now) {
  const auto& cell = cells_[name];
  if (term < cell.highest || term <= cell.acted) return false;
  remember({name, term, {}}, now);
  return true;
}

bool standby_memory::should_take_over(const cell_record& record, const instance_id& self,
                                      const ownership_timing& timing, monotonic_time now) {
  const auto it = std::find(record.standbys.begin(), record.standbys.end(), self);
  if (it == record.standbys.end() && self != record.assigner) return false;
  auto [cell, added] = cells_.try_emplace(record.cell, cell_terms{record.term, {}, now});
  if (record.term > cell->second.highest) {
    cell->second.highest = record.term;
    cell->second.heard = now;
  }
  const auto rank = it - record.standbys.begin();
  return now > cell->second.heard + timing.suspicion + rank * timing.takeover_stagger;
}

}  // namespace plantainpaddle
