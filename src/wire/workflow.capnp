@0xd41c6a0b7e52f983;
# Messages and state of workflows. Enumerations are numbers in the order of the
# C++ enumeration; the decoder checks their range.

using Cxx = import "/capnp/c++.capnp";
using Cell = import "cell.capnp";
$Cxx.namespace("mangoplank::wire::schema");

struct WorkflowStep {
  count @0 :UInt32;
  need @1 :Cell.Resources;
  estimateMs @2 :Int64;
  dependsOn @3 :List(UInt32);
  gang @4 :Bool;
  sameRack @5 :Bool;
  requiredLabel @6 :Text;
  preferredRack @7 :Text;
  maxPerWorker @8 :UInt32;
  checkpointing @9 :Bool;
  longRunning @10 :Bool;
  filler @11 :Bool;
}

struct JobSpec {
  id @0 :Text;
  payload @1 :Data;
  steps @2 :List(WorkflowStep);
  repeatCount @3 :UInt32;
  firstAt @4 :Int64;
  intervalMs @5 :Int64;
}

struct QueueSpec {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  timeoutMs @3 :Int64;
  targetLatencyMs @4 :Int64;
  priority @5 :Int32;
  pool @6 :Text;
  maxAttempts @7 :UInt32;
  stretchFactor @8 :Float64;
  hasEligibility @9 :Bool;
  decisionMs @10 :Float64;
  perWorkerMs @11 :Float64;
  ticketLifeMs @12 :Int64;
  anonymous @13 :Bool;
}

struct TenantTerms {
  name @0 :Text;
  weight @1 :Float64 = 1;
  cap @2 :Cell.Resources;
}

struct TenantSpec {
  terms @0 :TenantTerms;
  keys @1 :List(Data);
}

struct PoolSpec {
  name @0 :Text;
  enforcesCapacity @1 :Bool;
  standby @2 :Bool;
}

struct Catalog {
  version @0 :UInt64;
  queues @1 :List(QueueSpec);
  pools @2 :List(PoolSpec);
  document @3 :Data;
  hasTenants @4 :Bool;
  tenants @5 :List(TenantSpec);
}

struct WorkerKey {
  id @0 :Text;
  born @1 :Int64;
}

struct WorkerSpec {
  key @0 :WorkerKey;
  address @1 :Cell.Endpoint;
  pool @2 :Text;
  zone @3 :Text;
  capacity @4 :Cell.Resources;
  labels @5 :List(Text);
  draining @6 :Bool;
  reportSequence @7 :Int64;
}

struct WorkflowTaskId {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
}

struct RunId {
  task @0 :WorkflowTaskId;
  number @1 :UInt32;
}

struct WorkflowEvent {
  union {
    catalogDeclared @0 :Catalog;
    jobAccepted :group {
      spec @1 :JobSpec;
      queue @2 :QueueSpec;
      at @3 :Int64;
      tenant @15 :TenantTerms;
    }
    jobCancelled @4 :Text;
    runAssigned :group {
      run @5 :RunId;
      worker @6 :WorkerKey;
      workerConfirmed @14 :Bool;
    }
    runEnded :group {
      run @7 :RunId;
      how @8 :UInt8;
      checkpoint @9 :Text;
    }
    workerAnnounced @10 :WorkerSpec;
    workerRemoved @11 :WorkerKey;
    jobsForgotten @12 :List(Text);
    jobStarted @13 :Text;
  }
}

# One entry of the log.
struct WorkflowEvents {
  events @0 :List(WorkflowEvent);
}

struct SilentLoss {
  worker @0 :WorkerKey;
  countedAsCrash @1 :Bool;
}

struct WorkflowTask {
  phase @0 :UInt8;
  lastRun @1 :UInt32;
  failures @2 :UInt32;
  where @3 :WorkerKey;
  checkpoint @4 :Text;
  crashes @5 :UInt32;
  suspected @6 :Bool;
  losses @7 :UInt32;
  workerConfirmed @8 :Bool;
  silentLosses @9 :List(SilentLoss);
  lastFailedRun @10 :UInt32;
}

struct WorkflowJob {
  spec @0 :JobSpec;
  queue @1 :QueueSpec;
  acceptedAt @2 :Int64;
  phase @3 :UInt8;
  tasks @4 :List(WorkflowTask);
  left @5 :List(UInt32);
  failure @6 :UInt8;
  tenant @7 :TenantTerms;
}

struct WorkflowImage {
  catalog @0 :Catalog;
  jobs @1 :List(WorkflowJob);
  workers @2 :List(WorkerSpec);
}

struct JobAddress {
  host @0 :Text;
  path @1 :Text;
  # SHA-256 of the caller's key; empty if it sent none.
  key @2 :Data;
}

struct WorkflowRequest {
  id @0 :UInt64;
  union {
    submit :group {
      to @1 :JobAddress;
      spec @2 :JobSpec;
    }
    get @3 :JobAddress;
    cancel @4 :JobAddress;
    announce :group {
      worker @5 :WorkerSpec;
      clockMs @6 :Int64;
    }
    removeWorker @7 :WorkerKey;
    declare @8 :Catalog;
    readCatalog @9 :Void;
    joinMembers :group {
      id @10 :Text;
      address @11 :Cell.Endpoint;
    }
  }
  # Time for which a read of a job may wait for its end, in milliseconds.
  waitMs @12 :Int64;
}

struct WorkflowAnswer {
  id @0 :UInt64;
  union {
    accepted @1 :Void;
    job @2 :UInt8;
    queued @3 :UInt64;
    catalog :group {
      version @4 :UInt64;
      document @5 :Data;
    }
    failure @6 :Cell.Failure;
    noSuchJob @7 :Void;
  }
  # Of the job, if it has failed.
  jobFailure @8 :UInt8;
}

struct EligibleWorker {
  id @0 :Text;
  ticket @1 :Text;
}

struct RunningRun {
  run @0 :RunId;
  checkpoint @1 :Text;
  percent @2 :Int32;
}

struct EndedRun {
  number @0 :UInt64;
  run @1 :RunId;
  how @2 :UInt8;
  checkpoint @3 :Text;
}

# An order to a worker that another process sends for the leader.
struct OrderRequest {
  id @0 :UInt64;
  worker @1 :WorkerKey;
  address @2 :Cell.Endpoint;
  timeoutMs @3 :Int64;
  sentAtMs @4 :Int64;
  fencingToken @5 :UInt64;
  union {
    start :group {
      run @6 :RunId;
      payload @7 :Data;
      leaseUntilMs @8 :Int64;
      checkpoint @9 :Text;
      ticket @10 :Text;
    }
    stop @11 :RunId;
    poll :group {
      recordedEnds @12 :UInt64;
      renewsLease @13 :Bool;
      renewedUntilMs @14 :Int64;
      waitMs @15 :Int64;
    }
  }
}

struct OrderReply {
  id @0 :UInt64;
  union {
    done @1 :Int64;
    refused @2 :UInt8;
    otherIncarnation @3 :Void;
    noAnswer @4 :Void;
    notSent @5 :Void;
    report :group {
      clockMs @6 :Int64;
      running @7 :List(RunningRun);
      ended @8 :List(EndedRun);
      namesIncarnation @9 :Bool;
    }
  }
}

struct WorkflowMessage {
  union {
    hello :group {
      name @0 :Text;
      asksEligibility @1 :Bool;
      relaysOrders @16 :Bool;
      dataCentre @17 :Text;
    }
    request @2 :WorkflowRequest;
    answer @3 :WorkflowAnswer;
    askEligibility :group {
      id @4 :UInt64;
      step @5 :WorkflowTaskId;
      workers @6 :List(Text);
    }
    eligibility :group {
      id @7 :UInt64;
      known @8 :Bool;
      eligible @9 :List(EligibleWorker);
    }
    greeting :group {
      self @10 :Text;
      leader @11 :Text;
      members @12 :List(Text);
      membersRevision @13 :UInt64;
    }
    membersChanged :group {
      revision @14 :UInt64;
      members @15 :List(Text);
    }
    orderRequest @18 :OrderRequest;
    orderReply @19 :OrderReply;
  }
}
