// The cases of the review that are scripts.
#pragma once

#include "holds.h"

namespace lab {

using case_runner = int (*)(const std::string& self, const std::string& entry,
                            const std::string& record, bool trouble);

int play_reused_address(const std::string& self, const std::string& entry,
                        const std::string& record, bool trouble);
int play_incomplete_entry(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble);
int play_interim_response(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble);
int play_unread_pipelines(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble);
int play_pipeline_cut(const std::string& self, const std::string& entry, const std::string& record,
                      bool trouble);

inline std::map<std::string, case_runner> all_cases() {
  return {{"reused-address", play_reused_address},
          {"incomplete-entry", play_incomplete_entry},
          {"interim-response", play_interim_response},
          {"unread-pipelines", play_unread_pipelines},
          {"pipeline-cut", play_pipeline_cut}};
}

}  // namespace lab
