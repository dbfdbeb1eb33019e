@0xb2f70c19d35a8e46;
# Messages between control processes. Enumerations are numbers in the order of
# the C++ enumeration; the decoder checks their range.

using Cxx = import "/capnp/c++.capnp";
using Cell = import "cell.capnp";
$Cxx.namespace("mangoplank::wire::schema");

struct Member {
  id @0 :Text;
  address @1 :Cell.Endpoint;
  voter @2 :Bool;
  disk @3 :UInt64;
}

struct Membership {
  at @0 :UInt64;
  members @1 :List(Member);
}

struct LogEntry {
  at @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  disk @2 :UInt64;
  lastAt @3 :UInt64;
  lastTerm @4 :UInt64;
  pre @5 :Bool;
  transfer @6 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  pre @2 :Bool;
  disk @3 :UInt64;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  previousAt @2 :UInt64;
  previousTerm @3 :UInt64;
  committed @4 :UInt64;
  round @5 :UInt64;
  entries @6 :List(LogEntry);
}

struct AppendReply {
  term @0 :UInt64;
  matched @1 :Bool;
  matchedAt @2 :UInt64;
  round @3 :UInt64;
  disk @4 :UInt64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :Text;
  at @2 :UInt64;
  atTerm @3 :UInt64;
  members @4 :Membership;
  offset @5 :UInt64;
  total @6 :UInt64;
  data @7 :Data;
}

struct SnapshotReply {
  term @0 :UInt64;
  at @1 :UInt64;
  nextOffset @2 :UInt64;
  disk @3 :UInt64;
}

struct TakeOver {
  term @0 :UInt64;
  leader @1 :Text;
}

struct ConsensusMessage {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    snapshotChunk @4 :SnapshotChunk;
    snapshotReply @5 :SnapshotReply;
    takeOver @6 :TakeOver;
  }
}

# First frame of a link between control processes.
struct PeerHello {
  cell @0 :Text;
  member @1 :Text;
  disk @2 :UInt64;
  version @3 :UInt32;
}
