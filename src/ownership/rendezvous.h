// Rendezvous hashing (highest random weight): every instance computes the same order from the same
// names, and removing a name leaves the order of the others unchanged.
//
//   auto order = rendezvous_order(cell.value, instances);   // order[0] is the first choice
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace plantainpaddle {

// Returns the names in descending order of hash64(key, name), and in ascending order of the names
// where two hashes are equal. Takes O(n log n) hashes for n names.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> names);

}  // namespace plantainpaddle
