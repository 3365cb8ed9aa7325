// Grant orders and answers as JSON, for POST /plantainpaddle/v1/grant of an upstream.
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "ownership/messages.h"

namespace plantainpaddle {

inline constexpr std::string_view grant_target = "/plantainpaddle/v1/grant";
inline constexpr std::string_view fence_header = "Plantainpaddle-Fence";
inline constexpr std::string_view shard_header = "Plantainpaddle-Shard";
inline constexpr std::string_view deadline_header = "Plantainpaddle-Deadline-Ms";
inline constexpr std::string_view outcome_header = "Plantainpaddle-Outcome";
inline constexpr std::string_view request_id_header = "Plantainpaddle-Request-Id";
inline constexpr std::string_view tenant_header = "Plantainpaddle-Tenant";

std::string format_grant_order(const grant_order& order);
std::string format_grant_answer(const grant_answer& answer);
result<grant_order> parse_grant_order(std::string_view text);
result<grant_answer> parse_grant_answer(std::string_view text);

}  // namespace plantainpaddle
