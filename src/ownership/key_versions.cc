#include "ownership/key_versions.h"

#include <algorithm>

namespace plantainpaddle {

bool key_versions::advance(const std::string& key, std::uint64_t version) {
  auto& known = versions_[key];
  if (version != 0 && version <= known) return false;
  known = std::max(known, version);
  return true;
}

void key_versions::restart() { versions_.clear(); }

std::uint64_t key_versions::version_of(std::string_view key) const {
  const auto found = versions_.find(key);
  return found == versions_.end() ? 0 : found->second;
}

std::map<std::string, std::uint64_t> key_versions::under(std::string_view prefix) const {
  std::map<std::string, std::uint64_t> found;
  for (auto it = versions_.lower_bound(prefix); it != versions_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    found.insert(*it);
  }
  return found;
}

std::vector<std::string> key_versions::missing(
    std::string_view prefix, const std::set<std::string, std::less<>>& present) const {
  std::vector<std::string> found;
  for (const auto& [key, version] : under(prefix)) {
    if (!present.contains(key)) found.push_back(key);
  }
  return found;
}

void key_versions::forget_missing(std::string_view prefix,
                                  const std::set<std::string, std::less<>>& present,
                                  std::uint64_t revision) {
  std::erase_if(versions_, [&](const auto& known) {
    return known.first.starts_with(prefix) && !present.contains(known.first) &&
           known.second <= revision;
  });
}

}  // namespace plantainpaddle
