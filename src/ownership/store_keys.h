// Names of the keys that router instances write in the platform's metadata store.
#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"

namespace plantainpaddle {

inline constexpr std::string_view own_key_prefix = "plantainpaddle/";
inline constexpr std::string_view record_key_prefix = "plantainpaddle/owner/";
inline constexpr std::string_view assigner_key_prefix = "plantainpaddle/assigner/";
inline constexpr std::string_view instance_key_prefix = "plantainpaddle/instance/";

// Written with the first record of an era of the store, and a condition of all later ones: a write
// of a former era that is carried out late doesn't find its key.
inline constexpr std::string_view era_key_prefix = "plantainpaddle/era/";

// Returns the key of the record of which upstream owns which range of the service's keys. The
// service's assigner writes it.
inline std::string record_key(const service_id& service) {
  return std::string(record_key_prefix) + service.value;
}
// Returns the key that names the instance acting as the service's assigner. It is attached to that
// instance's lease, so that it disappears when the instance fails.
inline std::string assigner_key(const service_id& service) {
  return std::string(assigner_key_prefix) + service.value;
}
// Returns the key of an era of a service's records.
inline std::string era_key(const service_id& service, std::uint64_t era) {
  return std::string(era_key_prefix) + service.value + "/" + std::to_string(era);
}
// Returns the key under which an instance registers the address for its peers. It is attached to
// the instance's lease.
inline std::string instance_key(const std::string& name) {
  return std::string(instance_key_prefix) + name;
}

}  // namespace plantainpaddle
