// Responses that an upstream begins before it has read the request, and start lines that aren't
// responses.
#include <boost/test/unit_test.hpp>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

namespace {

constexpr std::size_t upload_bytes = 16 << 20;

// Resets the connection, in place of an orderly end.
void reset(scripted_connection& side) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(side.socket().native_handle(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  side.close();
}

// Responds to an upload with a 200 without length, sends a part of the body, and resets the
// connection a while later, with the upload unread.
scripted_upstream::script respond_and_reset(duration reset_after, std::size_t part) {
  return [reset_after, part](scripted_connection& side) {
    const auto head = side.read_head();
    if (head.empty()) return;
    side.send("HTTP/1.1 200 OK\r\n" + echo_id(head) + "Connection: close\r\n\r\n" +
              std::string(part, 'x'));
    std::this_thread::sleep_for(reset_after);
    reset(side);
  };
}

// Sends an upload for as long as the other side takes it, and returns the response.
answer upload(raw_caller& caller, const std::string& head) {
  std::thread sender([&caller, &head] {
    const std::string piece(64 << 10, 'x');
    bool open = caller.send(head);
    for (std::size_t sent = 0; open && sent < upload_bytes; sent += piece.size()) {
      open = caller.send(piece);
    }
  });
  auto got = caller.read_answer();
  caller.shutdown();
  sender.join();
  return got;
}

std::string upload_head(const std::string& path, const std::string& extra) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + extra +
         "Content-Length: " + std::to_string(upload_bytes) + "\r\n\r\n";
}

bool looks_complete(const answer& got) { return got.whole && got.status() == 200; }

constexpr std::array reset_delays{milliseconds(0), milliseconds(5), milliseconds(50)};

}  // namespace

BOOST_AUTO_TEST_SUITE(early_responses)

// Guards against a response that is cut off by a reset and passed on as complete: the failed write
// of the upload takes the connection's error, and the next read reports an orderly end. The longer
// part doesn't fit into the buffer, so that passing it on has begun.
BOOST_AUTO_TEST_CASE(a_response_cut_off_while_its_upload_is_sent_isnt_complete) {
  for (const auto delay : reset_delays) {
    for (const std::size_t part : {4, 100'000}) {
      scripted_upstream upstream(respond_and_reset(delay, part));
      shared_fixture shared({upstream.address()});
      shared.desired.routes[0].row.body_limit = upload_bytes;
      shared.set_idempotent(false);
      auto caller = shared.caller();
      BOOST_TEST(
          !looks_complete(upload(caller, upload_head("/desk/1", id_header + ": upload\r\n"))));
    }
  }
}

// Guards against the same where the whole upload is held and sent at once.
BOOST_AUTO_TEST_CASE(a_response_cut_off_while_a_held_upload_is_sent_isnt_complete) {
  for (const auto delay : reset_delays) {
    for (const std::size_t part : {4, 100'000}) {
      scripted_upstream upstream(respond_and_reset(delay, part));
      shared_fixture shared({upstream.address()});
      shared.set_idempotent(false);
      const auto got = shared.caller().ask(request("POST", "held", std::string(1 << 20, 'x')));
      BOOST_TEST(!looks_complete(got));
    }
  }
}

// Guards against a wait for a response after a start line whose status no response has, and against
// passing it on.
BOOST_AUTO_TEST_CASE(a_status_that_no_response_has_is_a_malformed_response) {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    scripted_upstream upstream([&](scripted_connection& side) {
      for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
        side.send("HTTP/1.1 " + status + " X\r\n" + echo_id(head) + "Content-Length: 2\r\n\r\nok");
      }
    });
    shared_fixture shared({upstream.address()});
    shared.set_idempotent(false);
    const auto got = shared.caller().ask(request("POST", "status", "x"));
    BOOST_TEST(got.status() == 502);
    BOOST_TEST(got.whole);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
