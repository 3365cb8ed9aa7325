// News of the store that instances hand on: what a log says that others miss, how old news are, who
// is asked for them, and when the store is read all the same.
#include "ownership/news.h"

#include <boost/test/unit_test.hpp>

#include "ownership/news_source.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

constexpr std::size_t desired_feed = store_reader::desired_feed;
constexpr std::size_t upstream_feed = store_reader::upstream_feed;
constexpr std::uint64_t own_token = 77;

store_reader make_feeds() {
  return {{.desired = "desired", .upstreams = "up/", .own = "own/", .assigners = "own/a/"},
          {.desired = milliseconds(2000), .leaving = milliseconds(2000)}};
}

news_log make_log(std::uint64_t token = own_token) {
  return {token, {"desired", "up/", "own/", "own/a/"}};
}

// Answers the reads that are due, with this revision; returns how many were. A feed that waits at
// the store would be due again at once.
int read_all(store_reader& feeds, std::uint64_t revision, monotonic_time now) {
  std::vector<store_reader::due_read> reads;
  while (const auto due = feeds.next(now)) reads.push_back(*due);
  for (const auto& due : reads) {
    feeds[due.feed].on_answer(due.read, {.revision = revision, .changed = true}, now);
  }
  return static_cast<int>(reads.size());
}

// Feeds that have been read completely at the revision.
store_reader read_feeds(std::uint64_t revision, monotonic_time now) {
  auto feeds = make_feeds();
  read_all(feeds, revision, now);
  BOOST_REQUIRE(feeds.is_read());
  return feeds;
}

news_position position(std::uint64_t token, std::uint64_t sequence, std::uint64_t revision) {
  return {token, sequence, std::vector<std::uint64_t>(4, revision)};
}

std::vector<std::string> keys_of(const missed_news& missed) {
  std::vector<std::string> keys;
  for (const auto& item : missed.items) keys.push_back(item.key);
  return keys;
}

using key_list = std::vector<std::string>;

// An answer that says that all feeds are known at the revision, as of `age` ago.
news_answer complete_answer(std::uint64_t revision, duration age) {
  news_answer answer{.token = 1, .sequence = 1, .era = 1};
  answer.feeds.assign(4, {.complete = true, .revision = revision, .age = age});
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(handed_on_news)

BOOST_AUTO_TEST_CASE(a_log_tells_what_came_after_its_last_answer) {
  auto log = make_log();
  for (std::size_t feed = 0; feed < 4; ++feed) log.on_complete(feed, 5);
  log.on_value("up/a", 3, "a", true);
  log.on_value("up/b", 4, "b", true);
  const auto known = position(own_token, log.sequence(), 5);
  BOOST_TEST(log.since(known).items.empty());
  log.on_value("up/a", 6, "a, later", false);  // a heartbeat
  BOOST_TEST(log.since(known).items.empty());
  log.on_value("up/b", 7, "b leaves", true);
  log.on_removed("up/a", 8);
  const auto missed = log.since(known);
  BOOST_TEST(keys_of(missed) == (key_list{"up/a", "up/b"}), boost::test_tools::per_element());
  BOOST_TEST(missed.items[0].removed);
  BOOST_TEST(*missed.items[1].value == "b leaves");
  BOOST_TEST(missed.complete == std::vector<bool>(4, true), boost::test_tools::per_element());
}

// Guards against a receiver that changes from one log to another and loses what came between: its
// sequence means nothing there.
BOOST_AUTO_TEST_CASE(a_receiver_of_another_log_is_told_what_changed_after_its_revisions) {
  auto log = make_log();
  for (std::size_t feed = 0; feed < 4; ++feed) log.on_complete(feed, 5);
  log.on_value("up/a", 4, "a", true);
  log.on_value("up/b", 9, "b", true);
  const auto missed = log.since(position(own_token + 1, 1000, 8));
  BOOST_TEST(keys_of(missed) == key_list{"up/b"}, boost::test_tools::per_element());
  BOOST_TEST(missed.complete[upstream_feed]);
}

// Guards against keys that were removed before the log began and stay known.
BOOST_AUTO_TEST_CASE(a_log_does_not_vouch_for_what_was_before_it) {
  auto log = make_log();
  const auto known = position(own_token + 1, 1, 8);
  BOOST_TEST(!log.since(known).complete[upstream_feed]);
  log.on_complete(upstream_feed, 20);
  BOOST_TEST(!log.since(known).complete[upstream_feed]);
  BOOST_TEST(!log.since(position(own_token, log.sequence(), 8)).complete[upstream_feed]);
  BOOST_TEST(log.since(position(own_token + 1, 1, 20)).complete[upstream_feed]);
  BOOST_TEST(!log.since({own_token + 1, 1, {20}}).complete[upstream_feed]);
  log.restart();
  BOOST_TEST(!log.since(position(own_token + 1, 1, 30)).complete[upstream_feed]);
}

BOOST_AUTO_TEST_CASE(a_log_forgets_removed_keys_and_then_vouches_from_there_on) {
  auto log = make_log();
  log.on_complete(upstream_feed, 1);
  std::uint64_t version = 1;
  for (int i = 0; i < 5000; ++i) {
    const std::string key = "up/" + std::to_string(i);
    log.on_value(key, ++version, "x", true);
    log.on_removed(key, ++version);
  }
  BOOST_TEST(!log.since(position(own_token + 1, 1, 2)).complete[upstream_feed]);
  BOOST_TEST(log.since(position(own_token + 1, 1, version)).complete[upstream_feed]);
  BOOST_TEST(log.since(position(own_token + 1, 1, 2)).items.size() < 5000U);
}

// Guards against a view that seems young because it was handed on just now.
BOOST_AUTO_TEST_CASE(news_are_as_old_as_what_they_were_read_from) {
  const auto there = read_feeds(9, at(0));
  auto log = make_log();
  for (std::size_t feed = 0; feed < 4; ++feed) log.on_complete(feed, 5);
  const news_request request{1, position(own_token, log.sequence(), 9)};
  suspensions suspended;
  const auto answer = make_news(request, at(300), log, there, 1, suspended, at(700));
  auto here = read_feeds(8, at(-1000));
  BOOST_TEST(take_news(answer, at(250), here, {}, at(710)).has_value());
  // Asked at 250, held for 400, and 700 old when sent.
  BOOST_TEST((here.upstreams().known_at() == at(-50)));
  BOOST_TEST(here.upstreams().revision() == 9U);
}

// Guards against an instance that was frozen, whose clock didn't count it, and hands on old news.
BOOST_AUTO_TEST_CASE(a_suspension_of_the_reader_makes_its_news_older) {
  const auto there = read_feeds(9, at(0));
  const auto log = make_log();
  suspensions suspended;
  suspended.observe(at(100), milliseconds(5000));
  suspended.observe(at(200), milliseconds(15'100));
  const auto answer = make_news({1, position(0, 0, 9)}, at(300), log, there, 1, suspended, at(300));
  BOOST_TEST((answer.feeds[upstream_feed].age == milliseconds(10'300)));
}

BOOST_AUTO_TEST_CASE(a_request_is_answered_once_there_is_news_or_the_store_was_read_again) {
  auto feeds = read_feeds(9, at(0));
  auto log = make_log();
  log.on_value("up/a", 3, "a", true);
  const news_request request{1, position(own_token, log.sequence(), 9)};
  BOOST_TEST(!is_news_due(request, at(100), log, feeds, 1));
  BOOST_TEST(is_news_due(request, at(100), log, feeds, 2));
  auto other = request;
  other.known.token = own_token + 1;
  BOOST_TEST(is_news_due(other, at(100), log, feeds, 1));
  read_all(feeds, 10, at(3000));
  BOOST_TEST(is_news_due(request, at(100), log, feeds, 1));
  BOOST_TEST(!is_news_due(request, at(3001), log, feeds, 1));
  log.on_value("up/b", 11, "b", true);
  BOOST_TEST(is_news_due(request, at(3001), log, feeds, 1));
}

BOOST_AUTO_TEST_CASE(a_follower_reads_the_store_only_when_its_news_are_old) {
  auto feeds = read_feeds(9, at(0));
  feeds.set_role(feed_role::follower);
  for (int ms = 300; ms <= 3000; ms += 300) {
    take_news(complete_answer(9, milliseconds(100)), at(ms), feeds, {}, at(ms));
    BOOST_TEST(read_all(feeds, 9, at(ms)) == 0);
  }
  BOOST_TEST(read_all(feeds, 9, at(3500)) == 0);
  BOOST_TEST(read_all(feeds, 9, at(4200)) == 2);  // the desired state and the upstreams
  // The news are older than the bound allows however often they come.
  for (int ms = 4300; ms <= 6300; ms += 100) {
    take_news(complete_answer(9, seconds(5)), at(ms), feeds, {}, at(ms));
  }
  BOOST_TEST(read_all(feeds, 9, at(6300)) == 2);
}

// Guards against a value that is never taken in: it is too large to be handed on, the news say that
// it is there, and each later answer says that all is known.
BOOST_AUTO_TEST_CASE(a_value_that_was_not_handed_on_is_read_before_further_news_count) {
  auto feeds = read_feeds(9, at(0));
  feeds.set_role(feed_role::follower);
  auto mentions = complete_answer(20, milliseconds(10));
  mentions.items.push_back({.key = "desired", .version = 15, .value = std::nullopt});
  key_versions versions;
  versions.advance("desired", 9);
  BOOST_TEST(take_news(mentions, at(100), feeds, versions, at(100))->empty());
  const auto due = feeds.next(at(100));
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->feed == desired_feed);
  BOOST_TEST(due->read.after == 9U);
  take_news(complete_answer(30, milliseconds(10)), at(200), feeds, versions, at(200));
  BOOST_TEST(feeds[desired_feed].revision() == 9U);
  BOOST_TEST(feeds.upstreams().revision() == 30U);
  feeds[desired_feed].on_answer(due->read, {.revision = 31, .changed = true}, at(300));
  take_news(complete_answer(40, milliseconds(10)), at(400), feeds, versions, at(400));
  BOOST_TEST(feeds[desired_feed].revision() == 40U);
  // A value that is known already isn't read.
  versions.advance("desired", 15);
  take_news(mentions, at(500), feeds, versions, at(500));
  BOOST_TEST(!feeds.next(at(500)).has_value());
}

// Guards against a follower that goes on asking a store that refuses it for a value that its reader
// has, and against one that doesn't take the news up again once it has got the value.
BOOST_AUTO_TEST_CASE(a_value_that_the_store_refuses_is_handed_on_on_request) {
  auto feeds = read_feeds(9, at(0));
  feeds.set_role(feed_role::follower);
  auto mentions = complete_answer(20, milliseconds(10));
  mentions.items.push_back({.key = "desired", .version = 15, .value = std::nullopt});
  take_news(mentions, at(100), feeds, {}, at(100));
  BOOST_TEST(!feeds.wanted().has_value());  // the store isn't known to fail
  const auto due = feeds.next(at(100));
  BOOST_REQUIRE((due.has_value() && due->feed == desired_feed));
  feeds[desired_feed].on_failure(due->read, at(110));
  BOOST_TEST(feeds.wanted().value_or("") == "desired");
  BOOST_TEST(!feeds.next(at(400)).has_value());  // the reader gets time to hand it on

  auto log = make_log();
  log.on_value("desired", 15, std::string(max_news_value + 1, 'x'), true);
  const news_request request{1, position(own_token, log.sequence(), 9), "desired"};
  auto answer = complete_answer(20, milliseconds(10));
  add_wanted(answer, request, log.with_value("desired").value());
  const auto items = take_news(answer, at(400), feeds, {}, at(410));
  BOOST_REQUIRE(items->size() == 1U);
  BOOST_TEST(items->front().value->size() == max_news_value + 1);
  BOOST_TEST(feeds[desired_feed].revision() == 20U);
  BOOST_TEST(!feeds.wanted().has_value());
  BOOST_TEST(!feeds.next(at(1200)).has_value());
}

// Guards against a reader whose link is taken up by large values, and a value of another era.
BOOST_AUTO_TEST_CASE(large_values_are_handed_on_at_a_bounded_rate) {
  value_pace pace;
  BOOST_TEST(pace.allows(at(0)));
  pace.on_sent(256 << 10, at(0));
  BOOST_TEST(!pace.allows(at(1900)));
  BOOST_TEST(pace.allows(at(2000)));
  auto answer = complete_answer(20, milliseconds(10));
  add_wanted(answer, {.era = 2, .wanted = "desired"}, {.key = "desired", .version = 15});
  BOOST_TEST(answer.items.empty());
}

// Guards against an upstream that is gone and is listed again for good: a full read has confirmed
// its removal, so that its key's version is forgotten, and then a log that is behind hands it on.
BOOST_AUTO_TEST_CASE(an_item_that_is_older_than_the_feed_is_not_taken_in) {
  auto feeds = read_feeds(20, at(0));
  auto behind = complete_answer(18, seconds(1));
  behind.items = {{.key = "up/gone", .version = 9, .value = "x"},
                  {.key = "up/new", .version = 21, .value = "y"},
                  {.key = "desired", .version = 20, .value = std::nullopt}};
  const auto items = take_news(behind, at(100), feeds, {}, at(100));
  BOOST_REQUIRE(items->size() == 1U);
  BOOST_TEST(items->front().key == "up/new");
  feeds.set_role(feed_role::follower);
  BOOST_TEST(!feeds.next(at(100)).has_value());
}

// Guards against a feed that is never read again: another one failed, and gets news since.
BOOST_AUTO_TEST_CASE(a_failed_feed_that_gets_news_does_not_keep_the_others_from_reading) {
  auto feeds = read_feeds(9, at(0));
  feeds.set_role(feed_role::follower);
  const auto upstreams = feeds.next(at(1000));
  BOOST_REQUIRE((upstreams.has_value() && upstreams->feed == upstream_feed));
  feeds[upstream_feed].on_failure(upstreams->read, at(1000));
  const auto desired = feeds[desired_feed].next(at(1500));
  BOOST_REQUIRE(desired.has_value());
  feeds[desired_feed].on_failure(*desired, at(1500));
  take_news(complete_answer(9, milliseconds(10)), at(2000), feeds, {}, at(2000));
  feeds[desired_feed].require_read(at(2100));
  feeds.set_role(feed_role::follower);
  const auto due = feeds.next(at(2700));
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->feed == desired_feed);
}

// Guards against reads of the store by every instance each time that a large record is written,
// although the record is pushed to them.
BOOST_AUTO_TEST_CASE(a_follower_waits_for_a_pushed_record_before_it_reads_the_store) {
  constexpr std::size_t own_feed = store_reader::own_feed;
  const std::string record = "own/record";
  auto feeds = read_feeds(9, at(0));
  feeds.set_role(feed_role::follower);
  feeds[own_feed].require_read(at(100), record, 12);
  BOOST_TEST(!feeds.next(at(350)).has_value());
  feeds[own_feed].on_handed_on(record, 12);
  BOOST_TEST(!feeds.next(at(500)).has_value());
  feeds[own_feed].require_read(at(510), record, 13);
  feeds[own_feed].on_handed_on(record, 12);  // an older one
  BOOST_TEST(!feeds.next(at(800)).has_value());
  const auto due = feeds.next(at(820));
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->feed == own_feed);
}

// Guards against a full read that was answered before the latest news were known to the store, and
// lacks what they brought.
BOOST_AUTO_TEST_CASE(a_full_read_that_is_older_than_the_news_is_not_taken_in) {
  auto feeds = make_feeds();
  const auto due = feeds.next(at(0));
  BOOST_REQUIRE((due.has_value() && due->read.after == 0));
  feeds[due->feed].on_news(20, at(10));
  BOOST_TEST(!feeds[due->feed].on_answer(due->read, {.revision = 15, .changed = true}, at(20)));
  const auto again = feeds[due->feed].next(at(20));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(feeds[due->feed].on_answer(*again, {.revision = 21, .changed = true}, at(30)));
}

BOOST_AUTO_TEST_CASE(a_reader_that_knows_less_than_the_asker_has_lost_the_store) {
  const auto feeds = read_feeds(9, at(5000));
  BOOST_TEST(is_ahead_of(complete_answer(8, seconds(3)), at(5100), feeds, seconds(1)));
  BOOST_TEST(!is_ahead_of(complete_answer(9, milliseconds(200)), at(5100), feeds, seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_answer_about_other_feeds_is_refused) {
  auto feeds = make_feeds();
  BOOST_TEST(!take_news({.token = 1, .era = 1}, at(0), feeds, {}, at(0)).has_value());
}

BOOST_AUTO_TEST_CASE(the_instances_of_a_domain_agree_on_who_reads) {
  constexpr std::size_t instances = 12;
  std::vector<instance_registration> all;
  all.reserve(instances);
  for (std::size_t i = 0; i < instances; ++i) {
    all.push_back({.name = "i" + std::to_string(i),
                   .address = "a" + std::to_string(i),
                   .domain = {"d" + std::to_string(i % 2)},
                   .cores = i == 6 || i == 7 ? 0.5 : 0.1});
  }
  for (const auto& self : all) {
    news_source source(self);
    BOOST_TEST(!source.reader(at(0)).has_value());  // it knows of no other
    BOOST_TEST((source.role(at(0)) == feed_role::alone));
    source.set_instances(all);
    const std::string largest = self.domain.value == "d0" ? "i6" : "i7";
    const auto reader = source.reader(at(0));
    BOOST_TEST(reader.has_value() == (self.name != largest));
    if (reader) BOOST_TEST(reader->name == largest);
  }
}

BOOST_AUTO_TEST_CASE(an_instance_that_does_not_answer_is_not_asked_for_a_while) {
  const instance_registration self{"c", "c", {"d"}, 0.1};
  news_source source(self);
  source.set_instances({{"a", "a", {"d"}, 0.3}, {"b", "b", {"d"}, 0.2}, self});
  BOOST_TEST(source.reader(at(0))->name == "a");
  source.on_failure("a", at(0));
  BOOST_TEST(source.reader(at(100))->name == "b");
  source.on_failure("b", at(100));
  BOOST_TEST(!source.reader(at(200)).has_value());
  BOOST_TEST((source.role(at(200)) == feed_role::alone));
  BOOST_TEST(source.reader(at(3001))->name == "a");
  source.on_failure("a", at(3001));
  BOOST_TEST(source.reader(at(6002))->name == "b");  // twice as long
  source.on_answer("a");
  BOOST_TEST(source.reader(at(6002))->name == "a");
}

// Guards against a domain that nobody reads for, as its instances disagree on who does.
BOOST_AUTO_TEST_CASE(an_instance_that_is_asked_reads) {
  const instance_registration self{"c", "c", {"d"}, 0.1};
  news_source source(self);
  source.set_instances({{"a", "a", {"d"}, 0.3}, self});
  BOOST_TEST((source.role(at(0)) == feed_role::follower));
  source.on_asked(at(0));
  BOOST_TEST((source.role(at(4000)) == feed_role::reader));
  BOOST_TEST((source.role(at(6000)) == feed_role::follower));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
