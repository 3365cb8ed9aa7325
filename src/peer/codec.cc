#include "peer/codec.h"

namespace plantainpaddle {
namespace {

std::string to_text(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

capnp::Data::Reader to_data(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string to_bytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

error bad_message(std::string detail) {
  return error{errc::protocol, step::peer, "", std::move(detail)};
}

void write_grants(const std::vector<shard_grant>& grants,
                  capnp::List<wire::ShardGrant>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    to[i].setShard(grants[i].shard.value);
    to[i].setFence(grants[i].fence.value);
  }
}

std::vector<shard_grant> read_grants(capnp::List<wire::ShardGrant>::Reader from) {
  std::vector<shard_grant> grants;
  grants.reserve(from.size());
  for (const auto grant : from) {
    grants.push_back({shard_id{grant.getShard()}, fence_number{grant.getFence()}});
  }
  return grants;
}

void write_order(const grant_order& order, wire::GrantOrder::Builder to) {
  to.setCell(order.cell.value);
  to.setTerm(order.term.value);
  to.setAssigner(order.assigner.value);
  to.setLife(order.life);
  to.setNonce(order.nonce);
  to.setLengthMicroseconds(order.length.count());
  to.setDigest(order.digest);
  to.setHasSet(order.set.has_value());
  if (order.set) write_grants(*order.set, to.initSet(static_cast<unsigned>(order.set->size())));
}

grant_order read_order(wire::GrantOrder::Reader from) {
  grant_order order;
  order.cell.value = to_text(from.getCell());
  order.term.value = from.getTerm();
  order.assigner.value = to_text(from.getAssigner());
  order.life = from.getLife();
  order.nonce = from.getNonce();
  order.length = duration(from.getLengthMicroseconds());
  order.digest = from.getDigest();
  if (from.getHasSet()) order.set = read_grants(from.getSet());
  return order;
}

void write_answer(const grant_answer& answer, wire::GrantAnswer::Builder to) {
  to.setStatus(static_cast<std::uint16_t>(answer.status));
  to.setLife(answer.life);
  to.setNonce(answer.nonce);
  to.setHighestTerm(answer.highest_term.value);
  to.setHeldDigest(answer.held_digest);
  write_grants(answer.held, to.initHeld(static_cast<unsigned>(answer.held.size())));
  write_grants(answer.draining, to.initDraining(static_cast<unsigned>(answer.draining.size())));
  auto load = to.initLoad();
  load.setBusySlots(answer.load.busy_slots);
  load.setQueued(answer.load.queued);
  load.setDraining(answer.load.draining);
  load.setShedding(answer.load.shedding);
  load.setCold(answer.load.cold);
}

result<grant_answer> read_answer(wire::GrantAnswer::Reader from) {
  grant_answer answer;
  if (from.getStatus() > static_cast<std::uint16_t>(grant_status::stale_term)) {
    return bad_message("unknown grant status " + std::to_string(from.getStatus()));
  }
  answer.status = static_cast<grant_status>(from.getStatus());
  answer.life = from.getLife();
  answer.nonce = from.getNonce();
  answer.highest_term.value = from.getHighestTerm();
  answer.held_digest = from.getHeldDigest();
  answer.held = read_grants(from.getHeld());
  answer.draining = read_grants(from.getDraining());
  const auto load = from.getLoad();
  answer.load = {load.getBusySlots(), load.getQueued(), load.getDraining(), load.getShedding(),
                 load.getCold()};
  return answer;
}

void write_item(const state_item& item, wire::StateItem::Builder to) {
  to.setKey(item.key);
  to.setVersion(item.version);
  to.setValue(
      capnp::Data::Reader(reinterpret_cast<const kj::byte*>(item.value.data()), item.value.size()));
}

state_item read_item(wire::StateItem::Reader from) {
  return {to_text(from.getKey()), from.getVersion(), to_bytes(from.getValue())};
}

void write_items(const std::vector<state_item>& items, capnp::List<wire::StateItem>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) write_item(items[i], to[i]);
}

state_push read_items(capnp::List<wire::StateItem>::Reader from) {
  state_push push;
  push.items.reserve(from.size());
  for (const auto item : from) push.items.push_back(read_item(item));
  return push;
}

void write_usage(const limit_usage& usage, capnp::List<wire::UsageEntry>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    to[i].setLimit(usage.entries[i].limit);
    to[i].setTenant(usage.entries[i].tenant);
    to[i].setUsed(usage.entries[i].used);
  }
}

limit_usage read_usage(capnp::List<wire::UsageEntry>::Reader from) {
  limit_usage usage;
  for (const auto entry : from) {
    usage.entries.push_back(
        {to_text(entry.getLimit()), to_text(entry.getTenant()), entry.getUsed()});
  }
  return usage;
}

struct request_writer {
  wire::Request::Builder to;

  void operator()(const term_question& question) {
    auto out = to.initTermQuestion();
    out.setCell(question.cell.value);
    out.setTerm(question.term.value);
    out.setAssigner(question.assigner.value);
  }
  void operator()(const state_push& push) {
    write_items(push.items, to.initStatePush(static_cast<unsigned>(push.items.size())));
  }
  void operator()(const state_digest& digest) {
    auto out = to.initStateDigest();
    out.setSummary(digest.summary);
    out.setHasEntries(digest.has_entries);
    auto entries = out.initEntries(static_cast<unsigned>(digest.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
      entries[i].setKey(digest.entries[i].key);
      entries[i].setVersion(digest.entries[i].version);
    }
  }
  void operator()(const term_handover& handover) {
    auto out = to.initTermHandover();
    write_item(handover.record, out.initRecord());
    out.setHasUnsureWrite(handover.unconfirmed_write.has_value());
    if (handover.unconfirmed_write) out.setUnsureWrite(to_data(*handover.unconfirmed_write));
  }
  void operator()(const dispatcher_order& order) {
    auto out = to.initDispatcherOrder();
    out.setUpstream(order.upstream.value);
    write_order(order.order, out.initOrder());
  }
  void operator()(const limit_usage& usage) {
    write_usage(usage, to.initLimitUsage(static_cast<unsigned>(usage.entries.size())));
  }
  void operator()(const shard_requests& requests) {
    auto out = to.initShardRequests();
    out.setCell(requests.cell.value);
    auto entries = out.initEntries(static_cast<unsigned>(requests.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
      entries[i].setShard(requests.entries[i].shard.value);
      entries[i].setRequests(requests.entries[i].requests);
    }
  }
};

struct reply_writer {
  wire::Reply::Builder to;

  void operator()(const acknowledgement& reply) { to.setAcknowledgement(reply.accepted); }
  void operator()(const term_answer& reply) { to.setTermAnswer(reply.highest_term.value); }
  void operator()(const state_push& reply) {
    write_items(reply.items, to.initStatePush(static_cast<unsigned>(reply.items.size())));
  }
  void operator()(const grant_answer& reply) { write_answer(reply, to.initGrantAnswer()); }
  void operator()(const limit_usage& reply) {
    write_usage(reply, to.initLimitUsage(static_cast<unsigned>(reply.entries.size())));
  }
};

}  // namespace

void write_request(const peer_request& request, wire::Request::Builder to) {
  std::visit(request_writer{to}, request);
}

void write_reply(const peer_reply& reply, wire::Reply::Builder to) {
  std::visit(reply_writer{to}, reply);
}

void write_identity(const peer_identity& identity, wire::Identity::Builder to) {
  to.setCluster(identity.cluster);
  to.setVersion(identity.version);
  to.setRegion(identity.region);
  to.setInstance(identity.instance.value);
  to.setDomain(identity.domain.value);
}

peer_identity read_identity(wire::Identity::Reader from) {
  return {to_text(from.getCluster()), from.getVersion(), to_text(from.getRegion()),
          instance_id{to_text(from.getInstance())}, domain_id{to_text(from.getDomain())}};
}

result<peer_request> read_request(wire::Request::Reader from) {
  switch (from.which()) {
    case wire::Request::TERM_QUESTION: {
      const auto in = from.getTermQuestion();
      return peer_request(term_question{cell_id{to_text(in.getCell())}, term_number{in.getTerm()},
                                        instance_id{to_text(in.getAssigner())}});
    }
    case wire::Request::STATE_PUSH:
      return peer_request(read_items(from.getStatePush()));
    case wire::Request::STATE_DIGEST: {
      const auto in = from.getStateDigest();
      state_digest digest;
      digest.summary = in.getSummary();
      digest.has_entries = in.getHasEntries();
      for (const auto entry : in.getEntries()) {
        digest.entries.push_back({to_text(entry.getKey()), entry.getVersion()});
      }
      return peer_request(std::move(digest));
    }
    case wire::Request::TERM_HANDOVER: {
      const auto in = from.getTermHandover();
      term_handover handover{read_item(in.getRecord()), std::nullopt};
      if (in.getHasUnsureWrite()) handover.unconfirmed_write = to_bytes(in.getUnsureWrite());
      return peer_request(std::move(handover));
    }
    case wire::Request::DISPATCHER_ORDER: {
      const auto in = from.getDispatcherOrder();
      return peer_request(
          dispatcher_order{upstream_id{to_text(in.getUpstream())}, read_order(in.getOrder())});
    }
    case wire::Request::LIMIT_USAGE:
      return peer_request(read_usage(from.getLimitUsage()));
    case wire::Request::SHARD_REQUESTS: {
      const auto in = from.getShardRequests();
      shard_requests requests{cell_id{to_text(in.getCell())}, {}};
      for (const auto entry : in.getEntries()) {
        requests.entries.push_back({shard_id{entry.getShard()}, entry.getRequests()});
      }
      return peer_request(std::move(requests));
    }
  }
  return bad_message("unknown request");
}

result<peer_reply> read_reply(wire::Reply::Reader from) {
  switch (from.which()) {
    case wire::Reply::ACKNOWLEDGEMENT:
      return peer_reply(acknowledgement{from.getAcknowledgement()});
    case wire::Reply::TERM_ANSWER:
      return peer_reply(term_answer{term_number{from.getTermAnswer()}});
    case wire::Reply::STATE_PUSH:
      return peer_reply(read_items(from.getStatePush()));
    case wire::Reply::GRANT_ANSWER: {
      auto answer = read_answer(from.getGrantAnswer());
      if (!answer) return answer.error();
      return peer_reply(std::move(*answer));
    }
    case wire::Reply::LIMIT_USAGE:
      return peer_reply(read_usage(from.getLimitUsage()));
  }
  return bad_message("unknown reply");
}

}  // namespace plantainpaddle
