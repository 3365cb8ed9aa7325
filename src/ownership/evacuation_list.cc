#include "ownership/evacuation_list.h"

namespace plantainpaddle {

bool evacuation_list::on_order(const domain_id& domain, monotonic_time known_at) {
  const auto [it, added] = orders_.try_emplace(domain, order{known_at, {}});
  it->second.unconfirmed_until.reset();
  ended_.erase(domain);
  return added;
}

bool evacuation_list::on_removed(const domain_id& domain, monotonic_time now) {
  if (orders_.erase(domain) == 0) return false;
  ended_[domain] = now;
  return true;
}

void evacuation_list::on_store_restored(monotonic_time now) {
  for (auto& [domain, known] : orders_) {
    if (!known.unconfirmed_until) known.unconfirmed_until = now + timing_.unconfirmed_life;
  }
}

bool evacuation_list::expire(monotonic_time now) {
  std::erase_if(ended_,
                [&](const auto& entry) { return now - entry.second >= timing_.ended_memory; });
  return std::erase_if(orders_, [&](const auto& entry) {
           const auto& until = entry.second.unconfirmed_until;
           const bool lapsed = until && now >= *until;
           if (lapsed) ended_[entry.first] = now;
           return lapsed;
         }) != 0;
}

}  // namespace plantainpaddle
