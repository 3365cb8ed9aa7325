// The stand-ins of the review and the drivers of its cases.
//
//   lab store IP:port
//   lab server listen=IP:port id=ID service=NAME store=IP:port log=FILE [...]
//   lab CASE ENTRY RECORD     plays a case against the program ENTRY and writes RECORD; exits with
//                             1 if the rule was broken, 0 if it held, 2 if it couldn't run
#include <boost/json/src.hpp>

#include "cases.h"

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.size() == 2 && words[0] == "store") {
    lab::store().run(words[1]);
    return 2;
  }
  if (!words.empty() && words[0] == "server") {
    lab::server_options options;
    for (std::size_t i = 1; i < words.size(); ++i) {
      const auto equals = words[i].find('=');
      const auto name = words[i].substr(0, equals);
      const auto value = words[i].substr(equals + 1);
      if (name == "listen") options.listen = value;
      if (name == "id") options.id = value;
      if (name == "service") options.service = value;
      if (name == "zone") options.zone = value;
      if (name == "store") options.store = value;
      if (name == "log") options.log = value;
      if (name == "heartbeat") options.heartbeat = std::stoll(value);
      if (name == "work") options.work = std::stoll(value);
      if (name == "body") options.body = std::stoll(value);
      if (name == "pause_after") options.pause_after = std::stoll(value);
      if (name == "pause_ms") options.pause_ms = std::stoll(value);
      if (name == "cut") options.cut = std::stod(value);
      if (name == "slots") options.slots = std::stoi(value);
      if (name == "sharded") options.sharded = value == "1";
      if (name == "registers") options.registers = value == "1";
    }
    // Its key states are too large for a stack.
    std::make_unique<lab::server>(options)->run();
    return 2;
  }
  if (words.size() != 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  const auto cases = lab::all_cases();
  const auto chosen = cases.find(words[0]);
  if (chosen == cases.end() || ::access(words[1].c_str(), X_OK) != 0) return 2;
  return chosen->second(argv[0], words[1], words[2], with_trouble);
}
