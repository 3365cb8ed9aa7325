#include "standin/answer_body.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/hash.h"
#include "base/json.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_head_bytes = 64 << 10;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

// The 8 bytes at one place of the pattern: splitmix64 of seed and place.
std::uint64_t pattern_word(std::uint64_t seed, std::uint64_t place) {
  std::uint64_t word = seed + (place + 1) * 0x9e3779b97f4a7c15ULL;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

}  // namespace

// FNV-1a: byte by byte, so that the borders of the pieces don't matter.
void running_checksum::add(std::string_view bytes) {
  std::uint64_t value = value_;
  for (const char byte : bytes) value = (value ^ static_cast<unsigned char>(byte)) * fnv_prime;
  value_ = value;
}

std::string format_answer_head(const answer_head& head) {
  return boost::json::serialize(boost::json::object{{"upstream", head.upstream},
                                                    {"target", head.target},
                                                    {"id", head.id},
                                                    {"received", head.received},
                                                    {"checksum", head.checksum},
                                                    {"size", head.size}}) +
         "\n";
}

result<answer_head> parse_answer_head(std::string_view line) {
  const auto value = parse_json(line, step::read_answer, max_head_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", step::read_answer, errors);
  answer_head head;
  head.upstream = reader.text("upstream");
  head.target = reader.text("target");
  head.id = reader.text("id");
  head.received = reader.unsigned_integer("received");
  head.checksum = reader.unsigned_integer("checksum");
  head.size = reader.unsigned_integer("size");
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return head;
}

std::uint64_t pattern_seed(std::string_view request_id) { return hash64(request_id, /*seed=*/7); }

void fill_pattern(std::uint64_t seed, std::uint64_t offset, char* out, std::size_t length) {
  std::uint64_t word = pattern_word(seed, offset / 8) >> (offset % 8 * 8);
  for (std::size_t i = 0; i < length; ++i) {
    const std::uint64_t place = offset + i;
    if (place % 8 == 0) word = pattern_word(seed, place / 8);
    out[i] = static_cast<char>(word);
    word >>= 8;
  }
}

}  // namespace plantainpaddle
