#include "apps/platform_options.h"

#include <cstdlib>

#include "http/address.h"

namespace plantainpaddle {
namespace {

constexpr const char* settings_variable = "PLANTAINPADDLE_SETTINGS";

std::string settings_from_environment() {
  const char* file = std::getenv(settings_variable);
  return file == nullptr ? "" : file;
}

std::vector<std::string>& form_names() {
  static std::vector<std::string> names{"etcd", "items"};
  return names;
}

result<void> check_address(const std::string& option, const std::string& address) {
  const auto parsed = parse_address(address);
  if (parsed) return {};
  return error{errc::bad_input, step::settings, "", option + ": " + parsed.error().detail};
}

}  // namespace

platform_options::platform_options(TCLAP::CmdLine& command)
    : settings_("s", "settings",
                "settings file of any entry instance of the cluster, for where the platform is; "
                "default: $PLANTAINPADDLE_SETTINGS",
                false, "", "FILE", command),
      store_("", "store", "address of the platform's key-value service; repeatable", false,
             "IP:port", command),
      forms_(form_names()),
      form_("", "form", "what the store is, as \"form\" of the settings; default: etcd", false,
            "etcd", &forms_, command),
      cluster_("c", "cluster", "name of the cluster", false, "", "NAME", command),
      instances_("", "instances", "address of the instance list; default: the first store's", false,
                 "", "IP:port", command),
      ask_("", "ask", "operators' address of an entry instance, for when the list can't be read",
           false, "IP:port", command) {}

result<platform_address> platform_options::address() {
  platform_address found;
  const std::string file =
      settings_.getValue().empty() ? settings_from_environment() : settings_.getValue();
  if (!file.empty()) {
    const auto settings = read_entry_settings(file);
    if (!settings) return settings.error();
    found = {settings->form,
             settings->cluster,
             settings->store,
             {settings->instances, {settings->listen_operators}}};
  }
  if (store_.isSet()) {
    found.store = store_.getValue();
    found.fleet.instance_list = found.store.front();
  }
  if (form_.isSet()) {
    found.form = form_.getValue() == "items" ? platform_form::items : platform_form::etcd;
  }
  if (cluster_.isSet()) found.cluster = cluster_.getValue();
  if (instances_.isSet()) found.fleet.instance_list = instances_.getValue();
  if (ask_.isSet()) found.fleet.operators = ask_.getValue();
  const bool items = found.form == platform_form::items;
  if ((found.cluster.empty() && !items) || found.store.empty()) {
    return error{errc::bad_input, step::settings, "",
                 "--settings FILE, or --store IP:port and --cluster NAME (or --form items), is "
                 "wanted"};
  }
  for (const auto& address : found.store) {
    if (const auto checked = check_address("--store", address); !checked) return checked.error();
  }
  if (items) return found;  // the store lists the instances
  if (const auto checked = check_address("--instances", found.fleet.instance_list); !checked) {
    return checked.error();
  }
  return found;
}

}  // namespace plantainpaddle
