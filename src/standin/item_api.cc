#include "standin/item_api.h"

#include <algorithm>

#include "platform/etcd_codec.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t page_items = 500;
constexpr unsigned status_absent = 404;
constexpr unsigned status_forbidden = 403;
constexpr unsigned status_too_large = 413;

served_item to_served(const kv_entry& entry) {
  return {{entry.key, entry.value, entry.modified}, entry.created, entry.lease};
}

// Operators and upstreams write these; instances may not.
bool is_foreign(const std::string& key) {
  const auto folder = std::string_view(key).substr(0, key.find('/') + 1);
  return folder == desired_state_key.substr(0, desired_state_key.find('/') + 1) ||
         folder == upstream_key_prefix;
}

class answerer {
 public:
  answerer(kv_store& store, monotonic_time now) : store_(store), now_(now) {}

  std::optional<http_response> operator()(const item_call::get& call) const {
    const auto* found = store_.find(call.key);
    if (found == nullptr) return absent();
    return format_item(to_served(*found));
  }

  std::optional<http_response> operator()(const item_call::range& call) const {
    std::vector<served_item> page;
    for (const auto& entry : store_.range(call.prefix, prefix_end(call.prefix))) {
      if (entry.key <= call.after_key) continue;
      if (page.size() == page_items) return format_item_page(page, store_.revision(), true);
      page.push_back(to_served(entry));
    }
    return format_item_page(page, store_.revision(), false);
  }

  std::optional<http_response> operator()(const item_call::watch& call) const {
    if (call.after_revision > store_.revision()) return format_compacted();
    const auto changes =
        store_.events(call.prefix, prefix_end(call.prefix), call.after_revision + 1);
    if (!changes) return format_compacted();
    if (changes->empty()) return std::nullopt;
    std::vector<watch_event> events;
    for (const auto& change : *changes) {
      events.push_back(
          {change.removed, {change.entry.key, change.entry.value, change.entry.modified}});
    }
    return format_item_events(events, store_.revision());
  }

  std::optional<http_response> operator()(const store_transaction& call) const {
    std::vector<kv_put> puts;
    for (const auto& put : call.puts) puts.push_back({put.key, put.value, put.lease});
    const auto foreign = [](const kv_put& put) { return is_foreign(put.key); };
    if (std::any_of(puts.begin(), puts.end(), foreign) ||
        std::any_of(call.removals.begin(), call.removals.end(), is_foreign)) {
      return format_item_error(status_forbidden, "the key is not the system's to write");
    }
    std::vector<served_item> current;
    bool holds = true;
    for (const auto& condition : call.conditions) {
      const auto* found = store_.find(condition.key);
      if (found != nullptr) current.push_back(to_served(*found));
      holds = holds && condition.version == (found == nullptr ? 0 : found->modified);
    }
    if (!holds) return format_conflict(current);
    for (const auto& put : puts) {
      if (put.lease != 0 && !store_.has_lease(put.lease)) return absent();
    }
    if (!store_.commit(puts, call.removals)) {
      return format_item_error(status_too_large, "no room for the values");
    }
    return format_written(store_.revision());
  }

  std::optional<http_response> operator()(const item_call::create_lease& call) const {
    return format_lease({store_.grant_lease(0, call.ttl, now_), call.ttl});
  }

  std::optional<http_response> operator()(const item_call::renew_lease& call) const {
    const auto length = store_.keep_alive(call.lease, now_);
    if (!length) return absent();
    return format_lease({call.lease, *length});
  }

  std::optional<http_response> operator()(const item_call::end_lease& call) const {
    if (!store_.revoke_lease(call.lease)) return absent();
    return format_written(store_.revision());
  }

 private:
  static http_response absent() { return format_item_error(status_absent, "there is none"); }

  kv_store& store_;
  monotonic_time now_;
};

}  // namespace

bool is_write(const any_item_call& call) {
  return std::holds_alternative<store_transaction>(call) ||
         std::holds_alternative<item_call::create_lease>(call);
}

std::optional<http_response> answer_item_call(kv_store& store, const any_item_call& call,
                                              monotonic_time now) {
  return std::visit(answerer(store, now), call);
}

http_response answer_no_events(const kv_store& store) {
  return format_item_events({}, store.revision());
}

}  // namespace plantainpaddle
