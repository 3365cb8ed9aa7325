// Typed ids: an id of one kind can't be passed where another kind is expected.
//
//   service_id service{"counter-desk"};
//   shard_id shard{17};
//
// String ids are names from the settings or the table; the system assigns the numeric ones.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace plantainpaddle {

template <class Tag, class Value>
struct basic_id {
  Value value{};
  auto operator<=>(const basic_id&) const = default;
};

template <class Tag, class Value>
std::ostream& operator<<(std::ostream& out, const basic_id<Tag, Value>& id) {
  return out << id.value;
}

using service_id = basic_id<struct service_tag, std::string>;
using upstream_id = basic_id<struct upstream_tag, std::string>;
using domain_id = basic_id<struct domain_tag, std::string>;  // failure domain
using cell_id = basic_id<struct cell_tag, std::string>;      // "service/failure domain/number"
using tenant_id = basic_id<struct tenant_tag, std::string>;

// One run of an entry instance, "name@life". A restarted instance keeps its name and gets a new
// life, a random number in hexadecimal.
using instance_id = basic_id<struct instance_tag, std::string>;

using shard_id = basic_id<struct shard_tag, std::uint32_t>;
using term_number = basic_id<struct term_tag, std::uint64_t>;
using fence_number = basic_id<struct fence_tag, std::uint64_t>;  // fencing token
using revision_number = basic_id<struct revision_tag, std::uint64_t>;

// Returns the part of an instance id before the '@'.
std::string instance_name(const instance_id& id);
instance_id make_instance_id(const std::string& name, std::uint64_t life);

// Returns 64 bits from the operating system's random device, for instance lives and nonces.
std::uint64_t random_number();

}  // namespace plantainpaddle

template <class Tag, class Value>
struct std::hash<plantainpaddle::basic_id<Tag, Value>> {
  std::size_t operator()(const plantainpaddle::basic_id<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};
