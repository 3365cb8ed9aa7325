#include "metrics/metrics.h"

#include <sstream>

#include "metrics/labels.h"

namespace plantainpaddle {
namespace {

std::string series_name(const std::string& name, const metric_labels& labels) {
  std::string text = "plantainpaddle_" + name;
  if (labels.empty()) return text;
  text += '{';
  for (std::size_t i = 0; i < labels.size(); ++i) {
    if (i != 0) text += ',';
    text += labels[i].first + "=\"" + escape_label(labels[i].second) + '"';
  }
  return text + '}';
}

}  // namespace

double* metrics::series(const std::string& name, const metric_labels& labels) {
  const std::string full = series_name(name, labels);
  const auto found = values_.find(full);
  if (found != values_.end()) return &found->second;
  if (values_.size() >= max_series) {
    ++dropped_;
    return nullptr;
  }
  return &values_.emplace(full, 0).first->second;
}

void metrics::add(const std::string& name, const metric_labels& labels, double amount) {
  const std::lock_guard lock(mutex_);
  if (auto* value = series(name, labels)) *value += amount;
}

void metrics::set(const std::string& name, const metric_labels& labels, double value) {
  const std::lock_guard lock(mutex_);
  if (auto* stored = series(name, labels)) *stored = value;
}

std::uint64_t metrics::add_source(source text) {
  const std::lock_guard lock(mutex_);
  sources_.emplace(++last_source_, std::move(text));
  return last_source_;
}

void metrics::remove_source(std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  sources_.erase(id);
}

std::string metrics::prometheus_text() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, value] : values_) out << name << ' ' << value << '\n';
  out << "plantainpaddle_series_dropped_total " << dropped_ << '\n';
  for (const auto& [id, text] : sources_) out << text();
  return out.str();
}

}  // namespace plantainpaddle
