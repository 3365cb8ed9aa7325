#include "entry/deadlines.h"

namespace plantainpaddle {

// Callbacks must not add or remove entries. They only cancel I/O, whose handlers run later.
void deadline_sweeper::check(list& entries, monotonic_time now) {
  for (auto* entry : entries) {
    if (entry->due_ > now) continue;
    entry->expired_ = true;
    entry->on_due_();
  }
}

void deadline_sweeper::sweep(monotonic_time now) {
  check(active_, now);
  if (now < next_idle_sweep_) return;
  next_idle_sweep_ = now + idle_sweep_period;
  check(idle_, now);
}

deadline_entry::deadline_entry(deadline_sweeper& sweeper, std::function<void()> on_due)
    : sweeper_(sweeper), on_due_(std::move(on_due)) {
  insert();
}

deadline_entry::~deadline_entry() { remove(); }

void deadline_entry::set_idle(bool idle) {
  if (idle == idle_) return;
  remove();
  idle_ = idle;
  insert();
}

void deadline_entry::insert() {
  index_ = current_list().size();
  current_list().push_back(this);
}

void deadline_entry::remove() {
  auto& entries = current_list();
  entries[index_] = entries.back();
  entries[index_]->index_ = index_;
  entries.pop_back();
}

}  // namespace plantainpaddle
