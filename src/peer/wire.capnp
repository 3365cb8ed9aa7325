@0xd1c1f0a57e6b9a41;
# The inner protocol between entry instances. A caller opens a gate with its identity; the gate refuses
# another cluster, version or region, and otherwise returns the peer that takes requests.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantainpaddle::wire");

struct Identity {
  cluster @0 :Text;
  version @1 :UInt32;
  region @2 :Text;
  instance @3 :Text;
  domain @4 :Text;
}

struct ShardGrant {
  shard @0 :UInt32;
  fence @1 :UInt64;
}

struct GrantOrder {
  cell @0 :Text;
  term @1 :UInt64;
  assigner @2 :Text;
  life @3 :UInt64;
  nonce @4 :UInt64;
  lengthMicroseconds @5 :Int64;
  digest @6 :UInt64;
  hasSet @7 :Bool;
  set @8 :List(ShardGrant);
}

struct LoadReport {
  busySlots @0 :UInt32;
  queued @1 :UInt32;
  draining @2 :Bool;
  shedding @3 :Bool;
  cold @4 :Float64;
}

struct GrantAnswer {
  status @0 :UInt16;
  life @1 :UInt64;
  nonce @2 :UInt64;
  highestTerm @3 :UInt64;
  heldDigest @4 :UInt64;
  held @5 :List(ShardGrant);
  draining @6 :List(ShardGrant);
  load @7 :LoadReport;
}

struct TermQuestion {
  cell @0 :Text;
  term @1 :UInt64;
  assigner @2 :Text;
}

struct StateItem {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
}

struct DigestEntry {
  key @0 :Text;
  version @1 :UInt64;
}

struct StateDigest {
  summary @0 :UInt64;
  hasEntries @1 :Bool;
  entries @2 :List(DigestEntry);
}

struct DispatcherOrder {
  upstream @0 :Text;
  order @1 :GrantOrder;
}

struct TermHandover {
  record @0 :StateItem;
  hasUnsureWrite @1 :Bool;
  unsureWrite @2 :Data;
}

struct UsageEntry {
  limit @0 :Text;
  tenant @1 :Text;
  used @2 :Float64;
}

struct ShardCount {
  shard @0 :UInt32;
  requests @1 :UInt32;
}

struct ShardRequests {
  cell @0 :Text;
  entries @1 :List(ShardCount);
}

struct Request {
  union {
    termQuestion @0 :TermQuestion;
    statePush @1 :List(StateItem);
    stateDigest @2 :StateDigest;
    termHandover @3 :TermHandover;
    dispatcherOrder @4 :DispatcherOrder;
    limitUsage @5 :List(UsageEntry);
    shardRequests @6 :ShardRequests;
  }
}

struct Reply {
  union {
    acknowledgement @0 :Bool;
    termAnswer @1 :UInt64;
    statePush @2 :List(StateItem);
    grantAnswer @3 :GrantAnswer;
    limitUsage @4 :List(UsageEntry);
  }
}

interface Peer {
  call @0 (request :Request) -> (reply :Reply);
}

interface Gate {
  open @0 (identity :Identity) -> (identity :Identity, peer :Peer);
}
