#include "entry/deadlines.h"

namespace plantainpaddle {

// A callback only cancels input and output, whose handlers run later; so it can't change the list.
void deadline_sweeper::check(list& entries, monotonic_time now) {
  for (auto* entry : entries) {
    if (entry->due_ > now) continue;
    entry->expired_ = true;
    entry->on_due_();
  }
}

void deadline_sweeper::sweep(monotonic_time now) {
  check(near_, now);
  if (now < next_slow_) return;
  next_slow_ = now + slow_period;
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
  index_ = home().size();
  home().push_back(this);
}

void deadline_entry::remove() {
  auto& entries = home();
  entries[index_] = entries.back();
  entries[index_]->index_ = index_;
  entries.pop_back();
}

}  // namespace plantainpaddle
