#include "harness/revision_watch.h"

#include <boost/json/parse.hpp>

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr duration poll_period = milliseconds(100);
constexpr std::size_t max_examples = 10;

std::uint64_t number_of(const json::value& value) {
  boost::system::error_code code;
  const auto number = value.to_number<std::uint64_t>(code);
  return code ? 0 : number;
}

}  // namespace

void revision_check::add(const std::string& name, std::uint64_t term, std::uint64_t revision) {
  const std::pair now{term, revision};
  auto& before = highest_[name];
  if (now < before) {
    ++seen_.reverted;
    if (seen_.examples.size() < max_examples) {
      seen_.examples.push_back(name + " went back from term " + std::to_string(before.first) +
                               " revision " + std::to_string(before.second) + " to term " +
                               std::to_string(term) + " revision " + std::to_string(revision));
    }
  }
  before = std::max(before, now);
}

void revision_check::add_page(const std::string& status) {
  boost::system::error_code code;
  const json::value page = json::parse(status, code);
  if (code || !page.is_object() || !page.as_object().contains("instance")) return;
  const json::object& object = page.as_object();
  const std::string instance(object.at("instance").is_string() ? object.at("instance").as_string()
                                                               : json::string());
  if (const auto* tables = object.if_contains("tables"); tables && tables->is_object()) {
    ++seen_.pages;
    for (const auto& table : tables->as_object()) {
      add(instance + " table " + std::string(table.key()), 0, number_of(table.value()));
    }
  }
  if (const auto* cells = object.if_contains("cells"); cells && cells->is_array()) {
    for (const auto& item : cells->as_array()) {
      const auto* cell = item.if_object();
      if (cell == nullptr || !cell->contains("cell") || !cell->at("cell").is_string()) continue;
      const std::string name(cell->at("cell").as_string());
      add(std::string(instance).append(" cell ").append(name), number_of(cell->at("term")),
          number_of(cell->at("revision")));
    }
  }
}

revision_watch::revision_watch(std::size_t entries, std::function<std::string(std::size_t)> page)
    : page_(std::move(page)), thread_([this, entries] {
        while (!stopped_) {
          for (std::size_t i = 0; i < entries && !stopped_; ++i) check_.add_page(page_(i));
          std::this_thread::sleep_for(poll_period);
        }
      }) {}

revision_watch::~revision_watch() { stop(); }

revisions_seen revision_watch::stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
  return check_.seen();
}

}  // namespace plantainpaddle
