// Exit codes of all programs.
#pragma once

namespace plantainpaddle {

enum exit_code : int {
  exit_ok = 0,
  exit_failed = 1,       // the work was tried and did not succeed
  exit_usage = 2,        // the command line
  exit_bad_input = 3,    // settings or table refused
  exit_unavailable = 4,  // a peer can't be reached
  exit_conflict = 5,     // somebody else changed the row first
  exit_needs_yes = 6,    // the change is large: repeat it with --yes
};

}  // namespace plantainpaddle
