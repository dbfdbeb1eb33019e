@0xd1a3c0f64b8e2a71;
# Values of core and cell. Enumerations are numbers in the order of the C++
# enumeration; the decoder checks their range.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mangoplank::wire::schema");

struct Resources {
  cpuMilli @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct Location {
  region @0 :Text;
  dataCentre @1 :Text;
  rack @2 :Text;
}

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct FieldError {
  field @0 :Text;
  reason @1 :Text;
}

struct Failure {
  union {
    invalidRequest @0 :List(FieldError);
    notFound @1 :Text;
    versionConflict @2 :UInt64;
    alreadyExists @3 :Text;
    unauthenticated @4 :Void;
    forbidden @5 :Text;
    notLeader @6 :Text;  # null if no leader is known
    commitUnknown @7 :Void;
    unavailable :group {
      reason @8 :Text;
      retryAfterMs @9 :Int64;
    }
    deadlineExceeded @10 :Void;
    connectionFailed :group {
      kind @11 :UInt8;
      peer @12 :Text;
    }
    storageFailed :group {
      kind @13 :UInt8;
      path @14 :Text;
      detail @15 :Text;
    }
    revisionCompacted @16 :UInt64;
    invalidSetting :group {
      file @17 :Text;
      line @18 :Int32;
      key @19 :Text;
      reason @20 :Text;
    }
    shuttingDown @21 :Void;
  }
}

struct ObjectKey {
  kind @0 :UInt8;
  department @1 :Text;
  name @2 :Text;
}

struct Constraints {
  region @0 :Text;  # null for any
  spread @1 :UInt8;
  oneRegion @2 :Bool;
}

struct Operation {
  name @0 :Text;
  idempotent @1 :Bool;
  deadlineMs @2 :Int64;
}

struct ServiceSpec {
  replicas @0 :Int64;
  need @1 :Resources;
  urgency @2 :UInt8;
  where @3 :Constraints;
  operations @4 :List(Operation);
  program @5 :Data;
  maxUnavailable @6 :Int64;
}

struct BatchJobSpec {
  tasks @0 :Int64;
  need @1 :Resources;
  urgency @2 :UInt8;
  where @3 :Constraints;
  runTimeMs @4 :Int64;
  maxRetries @5 :Int64;
  idempotent @6 :Bool;
  checkpoint @7 :Bool;
  program @8 :Data;
}

struct GangJobSpec {
  tasks @0 :Int64;
  need @1 :Resources;
  urgency @2 :UInt8;
  where @3 :Constraints;
  runTimeMs @4 :Int64;
  maxRetries @5 :Int64;
  idempotent @6 :Bool;
  program @7 :Data;
}

struct TokenGrant {
  name @0 :Text;
  sha256 @1 :Text;
  role @2 :UInt8;
}

struct DepartmentSpec {
  weight @0 :Int64;
  quota @1 :Resources;
  parent @2 :Text;
  tokens @3 :List(TokenGrant);
}

struct ConfigurationSpec {
  values @0 :List(Value);
  struct Value {
    key @0 :Text;
    value @1 :Text;
  }
}

struct ObjectSpec {
  union {
    service @0 :ServiceSpec;
    batchJob @1 :BatchJobSpec;
    gangJob @2 :GangJobSpec;
    department @3 :DepartmentSpec;
    workerDrain @4 :Bool;
    configuration @5 :ConfigurationSpec;
  }
}

struct Object {
  key @0 :ObjectKey;
  uid @1 :UInt64;
  generation @2 :UInt64;
  version @3 :UInt64;
  created @4 :Int64;
  spec @5 :ObjectSpec;
}

struct WorkerRecord {
  id @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Endpoint;
  where @3 :Location;
  capacity @4 :Resources;
  slots @5 :Int64;
  drain @6 :Bool;
}

struct TaskId {
  job @0 :UInt64;
  index @1 :UInt32;
}

struct TaskRecord {
  id @0 :TaskId;
  job @1 :ObjectKey;
  need @2 :Resources;
  phase @3 :UInt8;
  stopping @4 :Bool;
  attempt @5 :UInt32;
  failures @6 :UInt32;
  worker @7 :Text;
  workerIncarnation @8 :UInt64;
  generation @9 :UInt64;
  since @10 :Int64;
  detail @11 :Text;
  evicting @12 :Bool;
}

struct JobStatus {
  waiting @0 :Int64;
  assigned @1 :Int64;
  running @2 :Int64;
  succeeded @3 :Int64;
  failed @4 :Int64;
  notRun @5 :Int64;
  stopped @6 :Int64;
  unknown @7 :Int64;
}

struct CallKey {
  department @0 :Text;
  service @1 :Text;
  idempotencyKey @2 :Text;
}

struct CallOutcome {
  ending @0 :UInt8;
  body @1 :Data;
}

struct CallRecord {
  key @0 :CallKey;
  operationName @1 :Text;
  digest @2 :Text;
  entry @3 :Text;
  entryIncarnation @4 :UInt64;
  worker @5 :Text;
  workerIncarnation @6 :UInt64;
  id @7 :UInt64;
  created @8 :Int64;
  outcome @9 :CallOutcome;  # null until known
}

struct PutObject {
  key @0 :ObjectKey;
  spec @1 :ObjectSpec;
  hasExpected @2 :Bool;
  createOnly @3 :Bool;
  replaceOnly @4 :Bool;
  expected @5 :UInt64;
}

struct DeleteObject {
  key @0 :ObjectKey;
  hasExpected @1 :Bool;
  expected @2 :UInt64;
}

struct RemoveWorker {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct TaskPlacement {
  id @0 :TaskId;
  worker @1 :Text;
  workerIncarnation @2 :UInt64;
}

struct TaskReport {
  id @0 :TaskId;
  attempt @1 :UInt32;
  phase @2 :UInt8;
  detail @3 :Text;
}

struct RecordIntent {
  key @0 :CallKey;
  operationName @1 :Text;
  digest @2 :Text;
  entry @3 :Text;
  entryIncarnation @4 :UInt64;
  worker @5 :Text;
  workerIncarnation @6 :UInt64;
  replaces @7 :UInt64;
  refused @8 :Bool;
}

struct RecordOutcome {
  key @0 :CallKey;
  id @1 :UInt64;
  outcome @2 :CallOutcome;
}

struct CompactRecords {
  before @0 :Int64;
  jobsBefore @1 :Int64;
}

struct Command {
  at @0 :Int64;
  request @1 :Text;
  caller @2 :Text;
  union {
    putObject @3 :PutObject;
    deleteObject @4 :DeleteObject;
    cancelJob @5 :ObjectKey;
    registerWorker @6 :WorkerRecord;
    removeWorker @7 :RemoveWorker;
    placeTasks @8 :List(List(TaskPlacement));
    reportTasks @9 :List(TaskReport);
    evictTasks @10 :List(TaskId);
    recordIntent @11 :RecordIntent;
    recordOutcome @12 :RecordOutcome;
    compactRecords @13 :CompactRecords;
  }
}

struct Change {
  union {
    objectChanged @0 :Object;
    objectDeleted @1 :ObjectKey;
    workerChanged @2 :WorkerRecord;
    workerRemoved @3 :RemoveWorker;
    taskChanged @4 :TaskRecord;
    taskRemoved @5 :TaskId;
    callChanged @6 :CallRecord;
    callRemoved @7 :CallKey;
  }
}

struct Accepted {
  at @0 :UInt64;
  now @1 :Object;  # null if none
  call @2 :CallRecord;  # null if none
  refused @3 :List(UInt32);
}

struct AnsweredRequest {
  caller @0 :Text;
  id @1 :Text;
  digest @2 :UInt64;
  at @3 :Int64;
  union {
    accepted @4 :Accepted;
    failure @5 :Failure;
  }
}

struct StateImage {
  at @0 :UInt64;
  objects @1 :List(Object);
  workers @2 :List(WorkerRecord);
  tasks @3 :List(TaskRecord);
  calls @4 :List(CallRecord);
  requests @5 :List(AnsweredRequest);
}
