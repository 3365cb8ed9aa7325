#include "base/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

struct pipe_ends {
  pipe_ends() { BOOST_REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0); }
  ~pipe_ends() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  pipe_ends(const pipe_ends&) = delete;
  pipe_ends& operator=(const pipe_ends&) = delete;
  std::string read_all() const {
    std::string text;
    std::array<char, 4096> bytes{};
    for (auto size = ::read(ends[0], bytes.data(), bytes.size()); size > 0;
         size = ::read(ends[0], bytes.data(), bytes.size())) {
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
  std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(log_buffers)

BOOST_AUTO_TEST_CASE(lines_come_out_whole_and_in_order) {
  const pipe_ends pipe;
  log_buffer lines({.buffered = true, .descriptor = pipe.ends[1]});
  BOOST_TEST(lines.add("one\n", log_level::info, at(0)));
  BOOST_TEST(lines.add("two\n", log_level::debug, at(1)));
  BOOST_TEST(pipe.read_all().empty());
  lines.flush(at(2));
  BOOST_TEST(pipe.read_all() == "one\ntwo\n");
}

// A reader that has stopped must not block the writer, and info lines must outlast debug lines.
BOOST_AUTO_TEST_CASE(a_full_pipe_drops_routine_lines_first_and_says_so) {
  const pipe_ends pipe;
  log_buffer lines({.buffered = false, .bytes_per_s = 100 << 20, .descriptor = pipe.ends[1]});
  const std::string line(1000, 'x');
  int debug_lines = 0;
  while (lines.add(line + "\n", log_level::debug, at(0)))
    BOOST_TEST_REQUIRE(++debug_lines < 10'000);
  BOOST_TEST(lines.add("failed\n", log_level::info, at(1)));
  BOOST_TEST(lines.dropped() == 1U);
  std::string read = pipe.read_all();
  for (int i = 0; i < 20; ++i) {
    lines.flush(at(10 + i));
    read += pipe.read_all();
  }
  BOOST_TEST(read.find("failed\n") != std::string::npos);
  BOOST_TEST(read.find(R"("message":"log lines dropped","count":1)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_rate_is_bounded) {
  const pipe_ends pipe;
  log_buffer lines({.buffered = true, .bytes_per_s = 1000, .descriptor = pipe.ends[1]});
  int kept = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    kept += lines.add(std::string(99, 'x') + "\n", log_level::info, at(ms)) ? 1 : 0;
    lines.flush(at(ms));
    pipe.read_all();
  }
  BOOST_TEST(kept >= 95);
  BOOST_TEST(kept <= 115);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
