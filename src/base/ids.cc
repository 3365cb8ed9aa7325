#include "base/ids.h"

#include <array>
#include <charconv>
#include <random>

namespace plantainpaddle {

std::string instance_name(const instance_id& id) { return id.value.substr(0, id.value.find('@')); }

instance_id make_instance_id(const std::string& name, std::uint64_t life) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), life, 16).ptr;
  return instance_id{name + "@" + std::string(digits.data(), end)};
}

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace plantainpaddle
