#include "upstream/grant_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_message_bytes = 2 << 20;
constexpr std::int64_t max_length_us = 60'000'000;

json::array to_json(const std::vector<shard_grant>& grants) {
  json::array items;
  for (const auto& grant : grants) {
    items.push_back(json::array{grant.shard.value, grant.fence.value});
  }
  return items;
}

std::vector<shard_grant> read_grants(object_reader& reader, std::string_view name, bool required) {
  std::vector<shard_grant> grants;
  const auto* items = reader.array(name, required);
  if (items == nullptr) return grants;
  for (const auto& item : *items) {
    const auto* pair = item.if_array();
    boost::system::error_code code;
    if (pair == nullptr || pair->size() != 2) {
      reader.fail(name, "an entry is not [shard, fence]");
      break;
    }
    const auto shard = (*pair)[0].to_number<std::uint32_t>(code);
    const auto fence = code ? 0 : (*pair)[1].to_number<std::uint64_t>(code);
    if (code) {
      reader.fail(name, "an entry is not [shard, fence]");
      break;
    }
    grants.push_back({shard_id{shard}, fence_number{fence}});
  }
  return grants;
}

}  // namespace

std::string format_grant_order(const grant_order& order) {
  json::object out{
      {"cell", order.cell.value}, {"term", order.term.value}, {"assigner", order.assigner.value},
      {"life", order.life},       {"nonce", order.nonce},     {"length_us", order.length.count()},
      {"digest", order.digest}};
  if (order.set) out["set"] = to_json(*order.set);
  return json::serialize(out);
}

std::string format_grant_answer(const grant_answer& answer) {
  return json::serialize(json::object{{"status", static_cast<int>(answer.status)},
                                      {"life", answer.life},
                                      {"nonce", answer.nonce},
                                      {"highest_term", answer.highest_term.value},
                                      {"held_digest", answer.held_digest},
                                      {"held", to_json(answer.held)},
                                      {"draining", to_json(answer.draining)},
                                      {"load",
                                       {{"busy_slots", answer.load.busy_slots},
                                        {"queued", answer.load.queued},
                                        {"draining", answer.load.draining},
                                        {"shedding", answer.load.shedding},
                                        {"cold", answer.load.cold}}}});
}

result<grant_order> parse_grant_order(std::string_view text) {
  const auto value = parse_json(text, step::grant, max_message_bytes);
  if (!value) return value.error();
  error_list errors;
  grant_order order;
  object_reader reader(*value, "$", step::grant, errors);
  order.cell.value = reader.text("cell");
  order.term.value = reader.unsigned_integer("term");
  order.assigner.value = reader.text("assigner");
  order.life = reader.unsigned_integer("life");
  order.nonce = reader.unsigned_integer("nonce");
  order.length = duration(reader.integer("length_us", 0, max_length_us));
  order.digest = reader.unsigned_integer("digest");
  if (value->is_object() && value->as_object().contains("set")) {
    order.set = read_grants(reader, "set", true);
  }
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return order;
}

result<grant_answer> parse_grant_answer(std::string_view text) {
  const auto value = parse_json(text, step::grant, max_message_bytes);
  if (!value) return value.error();
  error_list errors;
  grant_answer answer;
  object_reader reader(*value, "$", step::grant, errors);
  answer.status = static_cast<grant_status>(reader.integer("status", 0, 3));
  answer.life = reader.unsigned_integer("life");
  answer.nonce = reader.unsigned_integer("nonce");
  answer.highest_term.value = reader.unsigned_integer("highest_term");
  answer.held_digest = reader.unsigned_integer("held_digest");
  answer.held = read_grants(reader, "held", true);
  answer.draining = read_grants(reader, "draining", true);
  if (const auto* load = reader.object("load", true)) {
    object_reader in(*load, "$.load", step::grant, errors);
    constexpr std::int64_t most = 1 << 30;
    answer.load.busy_slots = static_cast<std::uint32_t>(in.integer("busy_slots", 0, most, 0));
    answer.load.queued = static_cast<std::uint32_t>(in.integer("queued", 0, most, 0));
    answer.load.draining = in.boolean("draining", false);
    answer.load.shedding = in.boolean("shedding", false);
    answer.load.cold = in.number("cold", 0, 1, 0.0);
  }
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return answer;
}

}  // namespace plantainpaddle
