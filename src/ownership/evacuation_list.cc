#include "ownership/evacuation_list.h"

namespace plantainpaddle {

bool evacuation_list::on_order(const domain_id& domain, monotonic_time known_at) {
  const auto [it, added] = orders_.try_emplace(domain, order{known_at, {}});
  it->second.unconfirmed_until.reset();
  return added;
}

bool evacuation_list::on_removed(const domain_id& domain) { return orders_.erase(domain) != 0; }

void evacuation_list::on_store_restored(monotonic_time now) {
  for (auto& [domain, known] : orders_) {
    if (!known.unconfirmed_until) known.unconfirmed_until = now + timing_.unconfirmed_life;
  }
}

bool evacuation_list::expire(monotonic_time now) {
  return std::erase_if(orders_, [&](const auto& entry) {
           return entry.second.unconfirmed_until && now >= *entry.second.unconfirmed_until;
         }) != 0;
}

}  // namespace plantainpaddle
