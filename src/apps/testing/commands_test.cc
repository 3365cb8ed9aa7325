// plantainpaddle-table against a platform in this process.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "apps/exit_codes.h"
#include "standin/platform.h"

using namespace plantainpaddle;

namespace {

struct outcome {
  int code = 0;
  std::string out;
  std::string err;
};

std::string read_text(const std::string& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

// Runs plantainpaddle-table; scratch names the files for what it prints.
outcome run_program(const std::vector<std::string>& words, const std::string& scratch) {
  std::string line =
      "env -u PLANTAINPADDLE_SETTINGS " PLANTAINPADDLE_BIN_DIR "/plantainpaddle-table";
  for (const auto& word : words) line += " '" + word + "'";
  line += " >" + scratch + ".out 2>" + scratch + ".err";
  const int status = std::system(line.c_str());
  outcome made{WEXITSTATUS(status), read_text(scratch + ".out"), read_text(scratch + ".err")};
  std::filesystem::remove(scratch + ".out");
  std::filesystem::remove(scratch + ".err");
  return made;
}

struct running_platform {
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
  platform_standin platform{io.get_executor()};
  std::string address;
  std::thread thread;
  std::string file;

  running_platform() {
    address = *platform.listen("127.0.0.1:0");
    thread = std::thread([this] { io.run(); });
    const auto port = address.substr(address.rfind(':') + 1);
    file = (std::filesystem::temp_directory_path() / ("plantainpaddle-table-" + port)).string();
  }

  ~running_platform() {
    io.stop();
    thread.join();
    std::filesystem::remove(file);
  }

  running_platform(const running_platform&) = delete;
  running_platform& operator=(const running_platform&) = delete;

  outcome run(std::vector<std::string> words) const {
    for (const std::string& option :
         {std::string("--store"), address, std::string("--cluster"), std::string("test")}) {
      words.push_back(option);
    }
    return run_program(words, file);
  }

  outcome change(std::vector<std::string> words, const std::string& author = "ana") const {
    words.push_back("--author");
    words.push_back(author);
    return run(std::move(words));
  }

  void write_file(const std::string& text) const { std::ofstream(file) << text; }
  std::string read_file() const { return read_text(file); }

  void add_service() const {
    write_file(R"({"services": [{"service": {"name": "desk", "shards": 64},
      "upstreams": [{"name": "u1", "address": "127.0.0.1:1", "domain": "n"},
                    {"name": "u2", "address": "127.0.0.1:2", "domain": "n"}],
      "routes": [{"name": "all", "path_prefix": "/"}]}]})");
    BOOST_TEST(change({"apply", file}).code == exit_ok);
  }

  std::string cell(const std::string& row, const std::string& column) const {
    return run({"get", row, column}).out;
  }
};

void replace(std::string& text, const std::string& from, const std::string& to) {
  const auto place = text.find(from);
  BOOST_REQUIRE(place != std::string::npos);
  text.replace(place, from.size(), to);
}

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(apps_commands)

BOOST_AUTO_TEST_CASE(a_cell_is_set_and_noted) {
  const running_platform p;
  p.add_service();
  const auto set = p.change({"set", "desk/upstream/u1", "weight", "2.5", "state", "drain"}, "ben");
  BOOST_TEST(set.code == exit_ok, set.err);
  BOOST_TEST(has(set.out, "desk: accepted as revision 2, by ben, "));
  BOOST_TEST(p.cell("desk/upstream/u1", "weight") == "2.5\n");
  BOOST_TEST(p.cell("desk/upstream/u1", "state") == "drain\n");
  BOOST_TEST(has(p.run({"history"}).out, "ben     upstream/u1"));
  BOOST_TEST(has(p.run({"show"}).out, "revision 2, in force on 0 of 0 instances"));
  BOOST_TEST(has(p.run({"show", "--json"}).out, R"("weight":2.5)"));
}

BOOST_AUTO_TEST_CASE(what_is_refused_says_where) {
  const running_platform p;
  p.add_service();
  const auto code = [&](std::vector<std::string> words) { return p.change(std::move(words)).code; };
  BOOST_TEST(code({"set", "desk/upstream/u1", "weight", "heavy"}) == exit_bad_input);
  BOOST_TEST(code({"set", "desk/upstream/u1", "weight"}) == exit_bad_input);
  BOOST_TEST(code({"set", "desk-u1", "weight", "1"}) == exit_bad_input);
  BOOST_TEST(code({"set", "desk/upstream/u9", "weight", "1"}) == exit_failed);
  BOOST_TEST(code({"add", "desk/upstream/u3", "domain", "n"}) == exit_bad_input);
  BOOST_TEST(code({"add", "other/upstream/u3", "domain", "n"}) == exit_bad_input);
  BOOST_TEST(code({"remove", "desk/service/desk"}) == exit_bad_input);
  BOOST_TEST(p.run({"set", "desk/upstream/u1"}).code == exit_usage);
  BOOST_TEST(p.change({"set", "desk/upstream/u1", "weight", "2"}, "").code == exit_usage);
  const auto error = p.change({"set", "desk/upstream/u1", "weight", "-1"}).err;
  BOOST_TEST(has(error, "desk/upstream/u1.weight: found -1, expected a number in [0, 1000]"));
  BOOST_TEST(has(p.run({"get"}).out, "\"revision\": 1,"));
}

BOOST_AUTO_TEST_CASE(rows_are_added_and_removed) {
  const running_platform p;
  BOOST_TEST(p.change({"add", "desk/service/desk", "shards", "32"}).code == exit_ok);
  BOOST_TEST(p.change({"add", "desk/upstream/u1", "address", "1.1.1.1:1", "domain", "n"}).code ==
             exit_ok);
  BOOST_TEST(p.change({"add", "desk/upstream/u1", "address", "1.1.1.1:1", "domain", "n"}).code ==
             exit_bad_input);
  BOOST_TEST(p.change({"add", "desk/limit/all"}).code == exit_ok);
  BOOST_TEST(p.change({"remove", "desk/limit/all"}).code == exit_ok);
  const auto last = p.change({"remove", "desk/upstream/u1"});
  BOOST_TEST(last.code == exit_needs_yes);
  BOOST_TEST(has(last.err, "takes away the last active upstream"));
  BOOST_TEST(p.change({"remove", "desk/upstream/u1", "--yes"}).code == exit_ok);
}

BOOST_AUTO_TEST_CASE(a_file_merges_with_what_others_changed) {
  const running_platform p;
  p.add_service();
  p.write_file(p.run({"get"}).out);
  BOOST_TEST(p.change({"set", "desk/upstream/u1", "weight", "2"}, "ben").code == exit_ok);
  std::string text = p.read_file();
  replace(text, R"("name": "u2", "address": "127.0.0.1:2", "domain": "n", "weight": 1)",
          R"("name": "u2", "address": "127.0.0.1:2", "domain": "n", "weight": 3)");
  p.write_file(text);
  BOOST_TEST(p.run({"diff", p.file}).out == "~ desk/upstream/u2  weight: 1 -> 3\n");
  BOOST_TEST(p.change({"apply", p.file, "--write-back"}).code == exit_ok);
  BOOST_TEST(p.cell("desk/upstream/u1", "weight") == "2\n");
  BOOST_TEST(p.cell("desk/upstream/u2", "weight") == "3\n");
  BOOST_TEST(has(p.read_file(), "\"revision\": 3,"));
}

BOOST_AUTO_TEST_CASE(a_file_that_edits_the_same_row_is_refused) {
  const running_platform p;
  p.add_service();
  std::string text = p.run({"get"}).out;
  BOOST_TEST(p.change({"set", "desk/upstream/u1", "weight", "2"}, "ben").code == exit_ok);
  replace(text, "\"weight\": 1,", "\"weight\": 3,");
  p.write_file(text);
  const auto refused = p.change({"apply", p.file});
  BOOST_TEST(refused.code == exit_conflict);
  BOOST_TEST(has(refused.err,
                 "conflict: desk/upstream/u1\n  yours:  weight=3\n"
                 "  theirs: weight=2 (by ben at revision 2"));
  BOOST_TEST(p.cell("desk/upstream/u1", "weight") == "2\n");
  BOOST_TEST(p.change({"apply", p.file, "--overwrite"}).code == exit_needs_yes);
  BOOST_TEST(p.change({"apply", p.file, "--overwrite", "--yes"}).code == exit_ok);
  BOOST_TEST(p.cell("desk/upstream/u1", "weight") == "3\n");
}

// However their reads and writes interleave: different rows all hold.
BOOST_AUTO_TEST_CASE(operators_at_the_same_time_lose_nothing) {
  const running_platform p;
  p.add_service();
  constexpr int operators = 6;
  for (int i = 0; i < operators; ++i) {
    p.change({"add", "desk/limit/l" + std::to_string(i)});
  }
  std::vector<outcome> outcomes(operators);
  std::vector<std::thread> threads;
  threads.reserve(operators);
  for (int i = 0; i < operators; ++i) {
    threads.emplace_back([&p, &outcomes, i] {
      const std::string row = "desk/limit/l" + std::to_string(i);
      outcomes[i] = run_program({"set", row, "rate", std::to_string(i + 1), "--store", p.address,
                                 "--cluster", "test", "--author", "op" + std::to_string(i)},
                                p.file + "-" + std::to_string(i));
    });
  }
  for (auto& thread : threads) thread.join();
  for (int i = 0; i < operators; ++i) {
    BOOST_TEST(outcomes[i].code == exit_ok, outcomes[i].err);
    BOOST_TEST(p.cell("desk/limit/l" + std::to_string(i), "rate") == std::to_string(i + 1) + "\n");
  }
  BOOST_TEST(has(p.run({"get"}).out, "\"revision\": " + std::to_string(1 + 2 * operators) + ","));
}

BOOST_AUTO_TEST_CASE(a_file_that_takes_much_away_wants_yes) {
  const running_platform p;
  p.add_service();
  std::string text = p.run({"get"}).out;
  replace(text, "\"moves_per_minute\": 60", "\"moves_per_minute\": 8");
  replace(text, "\"state\": \"active\"", "\"state\": \"drain\"");
  p.write_file(text);
  const auto many = p.change({"apply", p.file});
  BOOST_TEST(many.code == exit_needs_yes);
  BOOST_TEST(has(many.err, "moves about 32 of 64 shards"));
  BOOST_TEST(p.change({"apply", p.file, "--yes"}).code == exit_ok);
  replace(text, "\"state\": \"active\"", "\"state\": \"drain\"");
  p.write_file(text);
  BOOST_TEST(p.change({"apply", p.file}).code == exit_needs_yes);
}

BOOST_AUTO_TEST_CASE(a_wrong_file_names_itself) {
  const running_platform p;
  p.write_file(R"({"services": [{"service": {"name": "desk", "shrads": 64}}]})");
  const auto applied = p.change({"apply", p.file});
  BOOST_TEST(applied.code == exit_bad_input);
  BOOST_TEST(has(applied.err, p.file + ": $.services[0].service.shrads: unknown name"));
  p.write_file(R"({"services": [{"revision": 9, "service": {"name": "desk"}}]})");
  BOOST_TEST(p.change({"apply", p.file}).code == exit_conflict);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down) {
  const auto scratch = (std::filesystem::temp_directory_path() / "plantainpaddle-down").string();
  const auto down = run_program({"show", "--store", "127.0.0.1:1", "--cluster", "test"}, scratch);
  BOOST_TEST(down.code == exit_unavailable);
  BOOST_TEST(run_program({"show"}, scratch).code == exit_usage);
  BOOST_TEST(run_program({"shwo"}, scratch).code == exit_usage);
  BOOST_TEST(run_program({"set", "--help"}, scratch).code == exit_ok);
  BOOST_TEST(run_program({"--version"}, scratch).code == exit_ok);
}

BOOST_AUTO_TEST_SUITE_END()
