// The instances of a domain are ranked the same way by all that list the same ones: by processor
// time, since the reader works for the others, then by a hash of the name, so that no machine's
// name makes it the reader of every deployment.
#include "ownership/news_source.h"

#include <algorithm>
#include <tuple>

#include "base/durations.h"
#include "base/hash.h"

namespace plantainpaddle {

news_source::news_source(instance_registration self, news_source_timing timing)
    : self_(std::move(self)), timing_(timing) {
  set_instances({});
}

void news_source::set_instances(const std::vector<instance_registration>& instances) {
  ranked_ = {self_};
  for (const auto& instance : instances) {
    if (instance.domain == self_.domain && instance.name != self_.name) ranked_.push_back(instance);
  }
  std::sort(ranked_.begin(), ranked_.end(), [](const auto& a, const auto& b) {
    return std::tuple(-a.cores, hash64(a.name), a.name) <
           std::tuple(-b.cores, hash64(b.name), b.name);
  });
  std::erase_if(suspected_, [&](const auto& suspect) {
    return std::none_of(ranked_.begin(), ranked_.end(),
                        [&](const auto& instance) { return instance.name == suspect.first; });
  });
}

std::optional<instance_registration> news_source::reader(monotonic_time now) const {
  for (const auto& instance : ranked_) {
    if (instance.name == self_.name) return std::nullopt;
    const auto suspect = suspected_.find(instance.name);
    if (suspect == suspected_.end() || now >= suspect->second.until) return instance;
  }
  return std::nullopt;
}

void news_source::on_answer(const std::string& name) { suspected_.erase(name); }

void news_source::on_failure(const std::string& name, monotonic_time now) {
  auto& suspect = suspected_[name];
  suspect.until = now + doubled(timing_.suspicion, suspect.failures, timing_.max_suspicion);
  ++suspect.failures;
}

feed_role news_source::role(monotonic_time now) const {
  if (now < asked_until_) return feed_role::reader;
  return reader(now) ? feed_role::follower : feed_role::alone;
}

}  // namespace plantainpaddle
