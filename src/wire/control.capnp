@0xe95d1b7c20f4a638;
# Messages between an entry and a control process. Enumerations are numbers in
# the order of the C++ enumeration; the decoder checks their range.

using Cxx = import "/capnp/c++.capnp";
using Cell = import "cell.capnp";
$Cxx.namespace("mangoplank::wire::schema");

struct TaskState {
  id @0 :Cell.TaskId;
  attempt @1 :UInt32;
  phase @2 :UInt8;
  used @3 :Cell.Resources;
  detail @4 :Text;
}

struct Announcement {
  worker @0 :Cell.WorkerRecord;
  sequence @1 :UInt64;
  tasks @2 :List(TaskState);
  leaving @3 :Bool;
}

struct StartOrder {
  id @0 :Cell.TaskId;
  attempt @1 :UInt32;
  isService @2 :Bool;
  need @3 :Cell.Resources;
  program @4 :Data;
  name @5 :Text;
  department @6 :Text;
}

struct StopOrder {
  id @0 :Cell.TaskId;
  attempt @1 :UInt32;
  checkpoint @2 :Bool;
}

struct ThrottleOrder {
  id @0 :Cell.TaskId;
  attempt @1 :UInt32;
  limit @2 :Cell.Resources;
}

struct Order {
  union {
    start @0 :StartOrder;
    stop @1 :StopOrder;
    throttle @2 :ThrottleOrder;
  }
}

struct AnnouncementReply {
  worker @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  term @3 :UInt64;
  leaseMs @4 :Int64;
  orders @5 :List(Order);
  superseded @6 :Bool;
}

struct SlotDemand {
  service @0 :Cell.ObjectKey;
  wanted @1 :Int64;
}

struct SlotGrant {
  worker @0 :Text;
  incarnation @1 :UInt64;
  slots @2 :Int64;
}

struct SlotGrants {
  term @0 :UInt64;
  sequence @1 :UInt64;
  leaseMs @2 :Int64;
  grants @3 :List(SlotGrant);
  report @4 :UInt64;
}

struct SlotReport {
  term @0 :UInt64;
  keptSequence @1 :UInt64;
  demand @2 :List(SlotDemand);
  number @3 :UInt64;
  held @4 :List(SlotGrant);
}

struct ProposeRequest {
  command @0 :Cell.Command;
  dryRun @1 :Bool;
}

struct ListRequest {
  department @0 :Text;
  hasKind @1 :Bool;
  kind @2 :UInt8;
  limit @3 :UInt32;
  name @4 :Text;
  after @5 :Text;
}

struct Request {
  union {
    propose @0 :ProposeRequest;
    list @1 :ListRequest;
    explain @2 :Cell.ObjectKey;
    call @3 :Cell.CallKey;
    status @4 :Void;
  }
}

struct ObjectView {
  object @0 :Cell.Object;
  status @1 :Cell.JobStatus;
  worker @2 :Cell.WorkerRecord;  # null if none
  committed @3 :Cell.Resources;
}

struct ListAnswer {
  at @0 :UInt64;
  objects @1 :List(ObjectView);
  more @2 :Bool;
}

struct ExplainAnswer {
  at @0 :UInt64;
  lines @1 :List(Text);
  tasks @2 :List(Cell.TaskRecord);
}

struct CallAnswer {
  call @0 :Cell.CallRecord;  # null if none
}

struct EntryStatus {
  id @0 :Text;
  region @1 :Text;
  inForce @2 :UInt64;
  lastHeardMs @3 :Int64;
}

struct ControlStatus {
  id @0 :Text;
  leads @1 :Bool;
  voter @2 :Bool;
}

struct DepartmentShare {
  department @0 :Text;
  share @1 :Float64;
  entitled @2 :Float64;
  average @3 :Float64;
  waitingTasks @4 :Int64;
  runningTasks @5 :Int64;
}

struct StatusAnswer {
  at @0 :UInt64;
  term @1 :UInt64;
  entries @2 :List(EntryStatus);
  members @3 :List(ControlStatus);
  shares @4 :List(DepartmentShare);
}

struct Answer {
  union {
    accepted @0 :Cell.Accepted;
    list @1 :ListAnswer;
    explain @2 :ExplainAnswer;
    call @3 :CallAnswer;
    status @4 :StatusAnswer;
  }
}

struct Hello {
  cell @0 :Text;
  entry @1 :Text;
  incarnation @2 :UInt64;
  region @3 :Text;
  version @4 :UInt32;
}

struct NumberedRequest {
  number @0 :UInt64;
  deadlineMs @1 :Int64;
  request @2 :Request;
}

struct NumberedAnswer {
  number @0 :UInt64;
  union {
    answer @1 :Answer;
    failure @2 :Cell.Failure;
  }
}

struct FollowRequest {
  feed @0 :UInt64;
  topic @1 :UInt8;
  department @2 :Text;
  from @3 :UInt64;
}

struct FeedBatch {
  feed @0 :UInt64;
  to @1 :UInt64;
  at @2 :Int64;
  reset @3 :Bool;
  changes @4 :List(Cell.Change);
}

struct ControlMessage {
  union {
    hello @0 :Hello;
    request @1 :NumberedRequest;
    answer @2 :NumberedAnswer;
    follow @3 :FollowRequest;
    unfollow @4 :UInt64;
    feed @5 :FeedBatch;
    announcements @6 :List(Announcement);
    replies @7 :List(AnnouncementReply);
    slotReport @8 :SlotReport;
    slotGrants @9 :SlotGrants;
    heartbeat @10 :UInt64;
    goodbye @11 :Int64;  # milliseconds
  }
}
