#include "entry/observation_messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace plantainpaddle {

namespace {

constexpr std::size_t observation_bytes = 8;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_line_bytes = 512;
constexpr std::size_t max_fields = 6;
constexpr std::uint32_t byte_bits = 8;
constexpr std::uint32_t max_byte = 255;
constexpr double usual_slowdown = 64;  // the byte for a slowdown of 1
constexpr double slowdown_steps = 16;  // bytes for a factor of 2
constexpr double age_divisor = 16;
constexpr std::uint64_t max_time_us = 3'600'000'000;

error malformed(const std::string& detail) {
  return {errc::bad_input, step::peer, "", "observations: " + detail};
}

char byte(double value) {
  return static_cast<char>(static_cast<unsigned char>(std::clamp<double>(value, 0, max_byte)));
}

void append_observations(std::string& text, const std::vector<shared_observation>& observations) {
  for (const auto& [key, seen] : observations) {
    const double age_ms =
        std::chrono::duration<double, std::milli>(std::max(duration::zero(), seen.age)).count();
    const double age = std::ceil(std::sqrt(age_ms * age_divisor));
    if (age > max_byte) continue;
    for (std::uint32_t i = 0; i < sizeof key; ++i) {
      text += static_cast<char>(key >> (byte_bits * (sizeof key - 1 - i)));
    }
    text += byte(seen.load.running);
    text += byte(seen.load.waiting);
    const auto slowdown = seen.load.slowdown.value_or(0);
    text +=
        slowdown > 0
            ? byte(std::max(1.0, std::round(usual_slowdown + slowdown_steps * std::log2(slowdown))))
            : '\0';
    text += byte(age);
  }
}

result<std::vector<shared_observation>> read_observations(std::string_view bytes,
                                                          std::size_t limit) {
  if (bytes.size() % observation_bytes != 0) return malformed("the last one isn't whole");
  if (bytes.size() > limit * observation_bytes) return malformed("too many");
  std::vector<shared_observation> observations;
  observations.reserve(bytes.size() / observation_bytes);
  const auto at = [&](std::size_t i) -> std::uint32_t {
    return static_cast<unsigned char>(bytes[i]);
  };
  for (std::size_t i = 0; i < bytes.size(); i += observation_bytes) {
    shared_observation read;
    std::size_t place = i;
    for (; place < i + sizeof read.key; ++place) read.key = (read.key << byte_bits) | at(place);
    read.seen.load.running = at(place++);
    read.seen.load.waiting = at(place++);
    const auto slowdown = at(place++);
    if (slowdown != 0) {
      read.seen.load.slowdown = std::exp2((slowdown - usual_slowdown) / slowdown_steps);
    }
    const double age = at(place);
    read.seen.age = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(age * age / age_divisor));
    observations.push_back(read);
  }
  return observations;
}

// The fields of a message's line, and what follows it.
struct split_message {
  std::array<std::string_view, max_fields> fields;
  std::string_view rest;
};

std::optional<split_message> split(std::string_view text, std::size_t count) {
  const auto end = text.substr(0, max_line_bytes).find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  split_message parts{.rest = text.substr(end + 1)};
  auto line = text.substr(0, end);
  for (std::size_t i = 0; i < count; ++i) {
    const auto space = line.find(' ');
    const bool last = i + 1 == count;
    if (last != (space == std::string_view::npos)) return std::nullopt;
    parts.fields[i] = line.substr(0, space);
    if (parts.fields[i].empty()) return std::nullopt;
    if (!last) line.remove_prefix(space + 1);
  }
  return parts;
}

std::optional<std::uint64_t> read_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace

std::string format_observation_request(const observation_request& request) {
  std::string text =
      request.sender + ' ' + request.domain.value + ' ' + std::to_string(request.token) + ' ' +
      std::to_string(request.position) + ' ' + std::to_string(request.answer) + ' ' +
      std::to_string(std::clamp<std::int64_t>(request.since_answer.count(), 0, max_time_us)) + '\n';
  append_observations(text, request.observations);
  return text;
}

std::string format_observation_answer(const observation_answer& answer) {
  std::string text = std::to_string(answer.token) + ' ' + std::to_string(answer.position) + ' ' +
                     std::to_string(answer.answer) + '\n';
  append_observations(text, answer.observations);
  return text;
}

result<observation_request> parse_observation_request(std::string_view text) {
  const auto parts = split(text, max_fields);
  if (!parts) return malformed("the line of the request is malformed");
  const auto& fields = parts->fields;
  if (fields[0].size() > max_name_bytes || fields[1].size() > max_name_bytes) {
    return malformed("a name is too long");
  }
  const auto token = read_number(fields[2]);
  const auto position = read_number(fields[3]);
  const auto answer = read_number(fields[4]);
  const auto since = read_number(fields[5]);
  if (!token || !position || !answer || !since || *since > max_time_us) {
    return malformed("a number is malformed");
  }
  auto observations = read_observations(parts->rest, max_sent_observations);
  if (!observations) return observations.error();
  return observation_request{
      std::string(fields[0]), {std::string(fields[1])}, *token, *position, *answer,
      duration(*since),       std::move(*observations)};
}

result<observation_answer> parse_observation_answer(std::string_view text) {
  constexpr std::size_t fields = 3;
  const auto parts = split(text, fields);
  if (!parts) return malformed("the line of the answer is malformed");
  const auto token = read_number(parts->fields[0]);
  const auto position = read_number(parts->fields[1]);
  const auto answer = read_number(parts->fields[2]);
  if (!token || !position || !answer) return malformed("a number is malformed");
  auto observations = read_observations(parts->rest, max_answered_observations);
  if (!observations) return observations.error();
  return observation_answer{*token, *position, *answer, std::move(*observations)};
}

}  // namespace plantainpaddle
