// Tests that the data path passes complete requests and answers between a caller and an upstream.
#include <boost/test/unit_test.hpp>

#include "entry/testing/proxy_fixture.h"

namespace plantainpaddle::testing {

BOOST_AUTO_TEST_SUITE(proxy_messages)

BOOST_AUTO_TEST_CASE(answers_many_requests_on_one_connection) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 50; ++i) {
    const auto target = "/stock/" + std::to_string(i);
    const auto got = caller.get(target);
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.body == "GET " + target + " ");
    BOOST_TEST(got.has("Plantainpaddle-Outcome: complete\r\n"));
  }
  BOOST_TEST(upstream.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(passes_on_bodies_of_both_framings) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (const std::size_t size : {0U, 1U, 1000U, 40'000U, 300'000U}) {
    const std::string body(size, 'x');
    const auto head = "POST /stock/1 HTTP/1.1\r\nHost: h\r\n";
    const auto plain = caller.ask(head + std::string("Content-Length: ") + std::to_string(size) +
                                  "\r\n\r\n" + body);
    BOOST_TEST(plain.whole);
    BOOST_TEST((plain.body == "POST /stock/1 " + body));
    std::string chunks;
    for (std::size_t at = 0; at < size; at += 7001) {
      const auto piece = body.substr(at, 7001);
      std::ostringstream line;
      line << std::hex << piece.size() << ";ext=1\r\n" << piece << "\r\n";
      chunks += line.str();
    }
    const auto chunked = caller.ask(head + std::string("Transfer-Encoding: chunked\r\n\r\n") +
                                    chunks + "0\r\nTrailer-Field: t\r\n\r\n");
    BOOST_TEST(chunked.whole);
    BOOST_TEST((chunked.body == "POST /stock/1 " + body));
  }
}

BOOST_AUTO_TEST_CASE(relays_complete_chunked_answers) {
  const std::string piece(10'000, 'y');
  scripted_upstream upstream([&](scripted_connection& connection) {
    while (!connection.read_request().empty()) {
      connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < 20; ++i) connection.send("2710\r\n" + piece + "\r\n");
      connection.send("0\r\n\r\n");
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 3; ++i) {
    const auto got = caller.get("/stock/1");
    BOOST_TEST(got.whole);
    BOOST_TEST(got.body.size() == 200'000U);
  }
}

BOOST_AUTO_TEST_CASE(head_answers_have_the_length_and_no_body) {
  scripted_upstream upstream([](scripted_connection& connection) {
    while (!connection.read_request().empty()) {
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n");
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 3; ++i) {
    const auto got = caller.ask("HEAD /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n", true);
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.has("Content-Length: 12345\r\n"));
  }
}

BOOST_AUTO_TEST_CASE(adds_its_own_fields_and_drops_hop_by_hop_fields) {
  std::string seen;
  scripted_upstream upstream([&](scripted_connection& connection) {
    seen = connection.read_request();
    connection.answer("", "Connection: X-Secret\r\nX-Secret: 1\r\nX-Kept: 2\r\n");
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  const auto got = caller.ask(
      "GET /stock/7 HTTP/1.1\r\nHost: h\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\n"
      "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\nX-Other: 2\r\nForwarded: for=1.2.3.4\r\n"
      "Plantainpaddle-Fence: 99\r\nPlantainpaddle-Tenant: t1\r\nPlantainpaddle-Hop: e9\r\n"
      "Plantainpaddle-Deadline-Ms: 900\r\nPlantainpaddle-Request-Id: abc\r\n\r\n");
  const auto has = [&](const std::string& text) { return seen.find(text) != std::string::npos; };
  for (const auto* gone :
       {"X-Hop", "Keep-Alive", "TE:", "Upgrade", "Connection", "Fence: 99", "Plantainpaddle-Hop"}) {
    BOOST_TEST(!has(gone), gone);
  }
  BOOST_TEST(has("X-Other: 2\r\n"));
  BOOST_TEST(has("Forwarded: for=1.2.3.4, for=127.0.0.1;proto=http;host=\"h\"\r\n"));
  BOOST_TEST(has("Plantainpaddle-Shard: " + std::to_string(proxy.shard("7").value) + "\r\n"));
  BOOST_TEST(has("Plantainpaddle-Fence: 7\r\n"));
  BOOST_TEST(has("Plantainpaddle-Tenant: t1\r\n"));
  BOOST_TEST(has("Plantainpaddle-Request-Id: abc\r\n"));
  const auto place = seen.find("Plantainpaddle-Deadline-Ms: ");
  BOOST_REQUIRE(place != std::string::npos);
  BOOST_TEST(std::stoi(seen.substr(place + 28)) <= 900);
  BOOST_TEST(!got.has("X-Secret"));
  BOOST_TEST(got.has("X-Kept: 2\r\n"));
  BOOST_TEST(got.has("Plantainpaddle-Request-Id: abc\r\n"));
}

BOOST_AUTO_TEST_CASE(sends_100_continue_when_the_caller_expects_it) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  caller.send(
      "POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  BOOST_TEST(caller.read_head() == "HTTP/1.1 100 Continue\r\n\r\n");
  const auto got = caller.ask("abc");
  BOOST_TEST(got.body == "POST /stock/1 abc");
}

BOOST_AUTO_TEST_CASE(drops_interim_answers) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_request();
    connection.send("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
    connection.answer("done");
  });
  proxy_fixture proxy({upstream.address()});
  BOOST_TEST(proxy.caller().get("/stock/1").body == "done");
}

BOOST_AUTO_TEST_CASE(refuses_bodies_beyond_the_limit) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  proxy.service.routes[0].body_limit = 50'000;
  proxy.publish();
  const auto by_length =
      proxy.caller().ask("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 50001\r\n\r\n");
  BOOST_TEST(by_length.status() == 413);
  BOOST_TEST(by_length.has("Plantainpaddle-Outcome: not-run\r\n"));
  BOOST_TEST(upstream.connections() == 0U);
  // A body kept in memory was not passed on; the upstream may have acted on one that is streamed.
  for (const bool held : {true, false}) {
    proxy_settings settings;
    if (!held) settings.limits.held_body = 10'000;
    proxy_fixture limited({upstream.address()}, settings);
    limited.service.routes[0].body_limit = 50'000;
    limited.publish();
    auto caller = limited.caller();
    std::string request = "POST /stock/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 6; ++i) request += "2710\r\n" + std::string(10'000, 'z') + "\r\n";
    const auto by_count = caller.ask(request);
    BOOST_TEST(by_count.status() == 413);
    BOOST_TEST(
        by_count.has("Plantainpaddle-Outcome: " + std::string(held ? "not-run" : "unknown")));
    BOOST_TEST(by_count.has("Connection: close\r\n"));
    if (held) BOOST_TEST(upstream.connections() == 0U);
  }
}

// The upstream answers the first request last; the caller must get that answer first.
BOOST_AUTO_TEST_CASE(answers_pipelined_requests_in_their_order) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    for (auto head = connection.read_request(); !head.empty(); head = connection.read_request()) {
      ++received;
      while (head.find("/stock/0 ") != std::string::npos && received < 5) {
        std::this_thread::yield();
      }
      connection.answer(head.substr(4, head.find(" HTTP") - 4));
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  std::string requests;
  for (int i = 0; i < 5; ++i) {
    requests += "GET /stock/" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  caller.send(requests);
  for (int i = 0; i < 5; ++i) {
    const auto got = caller.read_answer();
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.body == "/stock/" + std::to_string(i));
  }
}

// A caller repeats a request that it sent behind one that closes the connection, so the proxy must
// not have passed it on: a POST would run twice.
BOOST_AUTO_TEST_CASE(a_pipelined_post_waits_for_earlier_answers) {
  std::atomic<int> posts{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    for (auto head = connection.read_request(); !head.empty(); head = connection.read_request()) {
      if (head.starts_with("POST")) ++posts;
      connection.answer("ok");
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  caller.send(
      "GET /stock/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
      "POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
  BOOST_TEST(caller.read_answer().has("Connection: close\r\n"));
  BOOST_TEST(caller.at_end());
  BOOST_TEST(posts == 0);
}

BOOST_AUTO_TEST_CASE(an_invalid_head_is_refused_after_earlier_answers) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  caller.send("GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /stock/2 HTTP/1.1\nHost: h\r\n\r\n");
  BOOST_TEST(caller.read_answer().status() == 200);
  BOOST_TEST(caller.read_answer().status() == 400);
  BOOST_TEST(caller.at_end());
}

BOOST_AUTO_TEST_CASE(reports_why_a_request_has_no_route) {
  proxy_fixture proxy({});
  auto caller = proxy.caller();
  const auto no_key = caller.get("/stock");
  BOOST_TEST(no_key.status() == 400);
  BOOST_TEST(no_key.has("Plantainpaddle-Outcome: not-run\r\n"));
  BOOST_TEST(no_key.body.find(R"("code":"bad-input","step":"route")") != std::string::npos);
  proxy.service.routes[0].path_prefix = "/other";
  proxy.publish();
  BOOST_TEST(proxy.caller().get("/stock/1").status() == 404);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
