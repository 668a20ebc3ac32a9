# Messages between chervilturn processes. Each message is sent in one length-prefixed frame.
@0xc1b7a4f0d2e93a51;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chervilturn::wire");

struct Frame {
  union {
    hello @0 :Hello;
    call @1 :Call;
    answer @2 :Answer;
    cancel @3 :AttemptId;
    inquire @4 :AttemptId;
    pending @5 :AttemptId;
    ping @6 :UInt64;
    pong @7 :UInt64;
    subscribe @8 :Digest;
    update @9 :Update;
    keyInquiry @10 :KeyInquiry;
    keyReport @11 :KeyReport;
    updatePart @12 :UpdatePart;
    partReceipt @13 :PartReceipt;
    crashReport @14 :CrashReport;
    comparison @15 :Comparison;
    bodyRequest @16 :BodyRequest;
    callBody @17 :CallBody;
  }
}

# First frame in each direction of a connection, identifies the sending node.
struct Hello {
  protocol @0 :UInt32;
  host @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  peerAddress @4 :Text;
  acceptsReports @5 :Bool;  # the node understands CrashReport
  acceptsComparisons @6 :Bool;  # the node understands Comparison
  requestsBodies @7 :Bool;  # the node takes a Call without its body and sends BodyRequest for it
}

# Unique in the fleet: the entry's random incarnation number and a counter within that incarnation.
struct AttemptId {
  entry @0 :UInt64;
  sequence @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  attempt @0 :AttemptId;
  team @1 :Text;
  workspace @2 :Text;
  service @3 :Text;
  route @4 :Text;
  urgent @5 :Bool;
  idempotent @6 :Bool;
  remainingMicros @7 :UInt64;
  extraAttempts @8 :UInt32;
  depth @9 :UInt32;
  key @10 :Text;
  keyCreatedMillis @11 :Int64;
  method @12 :Text;
  target @13 :Text;
  headers @14 :List(Header);
  body @15 :Data;
  requestId @16 :Text;
  origin @17 :Text;
  lastResort @18 :Bool;
  untilLateMicros @19 :UInt64;
  usualServiceMicros @20 :UInt64;
  # Bytes of the body when it is not in this message. The owner requests it once it has room for the call. Only to
  # nodes that request bodies.
  withheldBytes @21 :UInt64;
}

# The body of a call that was sent without it, on request of the owner.
# The first two members are those of AttemptId, which nodes of older versions send and read here.
struct BodyRequest {
  entry @0 :UInt64;
  sequence @1 :UInt64;
  offset @2 :UInt64;  # of the requested part
  length @3 :UInt64;  # of the requested part; 0 from nodes of older versions, which request the whole body
}

struct CallBody {
  attempt @0 :AttemptId;
  body @1 :Data;
  offset @2 :UInt64;  # of these bytes in the body
}

struct Load {
  inUse @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  slowdownPercent @3 :UInt32 = 100;
  rateLimited @4 :Bool;
  callsPerSecond @5 :Float64;  # only with rateLimited
  rateWaitMicros @6 :UInt64;
  leaving @7 :Bool;
}

struct Answer {
  attempt @0 :AttemptId;
  outcome @1 :UInt16;
  reason @2 :UInt16;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
  load @6 :Load;
  serviceMicros @7 :UInt64;
  backendServer @8 :Text;
  ownerHost @9 :Text;
  keyNeverRan @10 :Bool;
  retryAfterMicros @11 :UInt64;
  # The reason, when older nodes do not know it: reason then holds one that they know. Otherwise 0.
  newerReason @12 :UInt16;
}

struct SubtreeRevision {
  subtree @0 :Text;
  revision @1 :UInt64;
  version @2 :UInt64;  # highest of the accepted leaves
  content @3 :UInt64;  # hash of the accepted leaves that exist; 0 from older nodes
}

# Requests all leaves newer than the listed revisions: once, or also on every later change if follow is set.
# The direct reply carries the same nonce.
struct Digest {
  subtrees @0 :List(SubtreeRevision);
  nonce @1 :UInt64;
  follow @2 :Bool;
  acceptsParts @3 :Bool;  # the receiver of a large update may get it as a series of UpdatePart
  ends @4 :Bool;  # the sender follows no longer; older nodes answer it as a request without follow
}

struct Leaf {
  path @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  value @3 :Text;
  version @4 :UInt64;  # of the publisher; 0 when it has none
}

struct SubtreeUpdate {
  subtree @0 :Text;
  revision @1 :UInt64;
  leaves @2 :List(Leaf);
  complete @3 :Bool;
}

# Leaves newer than the receiver's digest. An empty list confirms that the receiver is up to date.
# The nonce is 0 in an unsolicited update.
# Tells a peer which settings the sender has. A peer with others exchanges them.
struct Comparison {
  state @0 :UInt64;  # hash of the sender's digest
  readsPlatform @1 :Bool;
  readInstead @2 :Bool;  # asks the receiver to read the platform, which the sender cannot reach
}

struct Update {
  subtrees @0 :List(SubtreeUpdate);
  nonce @1 :UInt64;
}

# Evidence that a request (by the first 128 bits of a hash) ran at a crash of a backend server, or is cleared of it.
# Only to nodes that accept reports, and only to the listed data centres, if there are any.
struct CrashEvidence {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  crash @2 :UInt64;
  ageMicros @3 :UInt64;
  dataCentres @4 :List(Text);
  cleared @5 :Bool;
}

struct CrashReport {
  evidence @0 :List(CrashEvidence);
}

# A part of a large update: of the bytes that a zlib stream of the Update's frame has in all. Only to subscribers
# that accept parts.
struct UpdatePart {
  transfer @0 :UInt64;  # number of the series on this connection
  offset @1 :UInt64;    # of the first byte
  total @2 :UInt64;     # bytes of all parts
  bytes @3 :Data;
}

# All bytes of a series before this number arrived; the next parts may be sent.
struct PartReceipt {
  transfer @0 :UInt64;
  received @1 :UInt64;
}

# Sent by the current home of an idempotency key to an earlier home, which does not run the key afterwards.
struct KeyInquiry {
  number @0 :UInt64;
  key @1 :Text;
  createdMillis @2 :Int64;
  home @3 :Text;
}

struct KeyReport {
  number @0 :UInt64;
  finding @1 :UInt16;
  answer @2 :Answer;
}
