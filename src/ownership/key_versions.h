// The versions at which the keys of a store are known, so that a value that is read late, or twice,
// isn't taken for a new one.
//
//   key_versions versions;
//   if (versions.advance(key, version)) ...  // the value is new
//
// Versions can be compared within one era of the store only: one that comes back from an older copy
// gives them out again. restart() begins the next era, in which each key's first value is new.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpaddle {

class key_versions {
 public:
  // Returns whether a value or a removal of the key at this version is newer than what is known,
  // and notes it. Version 0 is newer than all.
  bool advance(const std::string& key, std::uint64_t version);
  void restart();

  bool contains(std::string_view key) const { return versions_.contains(key); }
  std::uint64_t version_of(std::string_view key) const;  // 0: not known
  // Returns the known keys under the prefix with their versions.
  std::map<std::string, std::uint64_t> under(std::string_view prefix) const;
  // Returns the known keys under the prefix that a full read lacks.
  std::vector<std::string> missing(std::string_view prefix,
                                   const std::set<std::string, std::less<>>& present) const;
  // Forgets the keys that a full read at this revision lacks, as they have been removed.
  void forget_missing(std::string_view prefix, const std::set<std::string, std::less<>>& present,
                      std::uint64_t revision);

 private:
  // Includes keys whose removal no full read has confirmed yet.
  std::map<std::string, std::uint64_t, std::less<>> versions_;
};

}  // namespace plantainpaddle
