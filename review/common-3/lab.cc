// The cases of this review that run as scripts.
//
//   lab CASE FOLDER TROUBLE      // TROUBLE 0: without the disruption
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include <boost/json/src.hpp>
#include <cstdio>
#include <string>

#include "cases.h"

int main(int count, char** words) {
  lab::start_time();
  ::signal(SIGPIPE, SIG_IGN);
  if (count < 4) return 2;
  const std::string name = words[1];
  for (const auto& [known, run] : lab::cases()) {
    if (name != known) continue;
    int verdict = 2;
    {
      lab::setting world(words[2], std::string(words[3]) != "0");
      verdict = run(world);
      world.log.add("exit " + std::to_string(verdict));
    }
    std::fflush(stdout);
    ::_exit(verdict);
  }
  return 2;
}
