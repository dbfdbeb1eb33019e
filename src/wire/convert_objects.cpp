#include "wire/convert.h"

/// Conversions of the objects and records of a cell.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteConstraints(const cell::constraints& v,
                      schema::Constraints::Builder b) {
  if (v.region) b.setRegion(Text(v.region->v));
  b.setSpread(Number(v.spread));
  b.setOneRegion(v.one_region);
}

cell::constraints ReadConstraints(schema::Constraints::Reader r) {
  cell::constraints v;
  if (r.hasRegion()) v.region = core::region_id{String(r.getRegion())};
  v.spread = Enumerator(r.getSpread(), cell::spread::kRegions);
  v.one_region = r.getOneRegion();
  return v;
}

void WriteService(const cell::service_spec& v, schema::ServiceSpec::Builder b) {
  b.setReplicas(v.replicas);
  Write(v.need, b.initNeed());
  b.setUrgency(Number(v.urgency));
  WriteConstraints(v.where, b.initWhere());
  WriteList(v.operations, b.initOperations(v.operations.size()));
  b.setProgram(Data(v.program));
  b.setMaxUnavailable(v.max_unavailable);
}

void ReadService(schema::ServiceSpec::Reader r, cell::service_spec& v,
                 budget& left) {
  v.replicas = r.getReplicas();
  Read(r.getNeed(), v.need, left);
  v.urgency = Enumerator(r.getUrgency(), cell::urgency::kUrgent);
  v.where = ReadConstraints(r.getWhere());
  ReadList(r.getOperations(), v.operations, left);
  v.program = String(r.getProgram());
  v.max_unavailable = r.getMaxUnavailable();
}

/// Fills the fields that batch and gang jobs share.
template <class Spec, class Builder>
void WriteJob(const Spec& v, Builder b) {
  b.setTasks(v.tasks);
  Write(v.need, b.initNeed());
  b.setUrgency(Number(v.urgency));
  WriteConstraints(v.where, b.initWhere());
  b.setRunTimeMs(v.run_time.count());
  b.setMaxRetries(v.max_retries);
  b.setIdempotent(v.idempotent);
  b.setProgram(Data(v.program));
}

template <class Spec, class Reader>
void ReadJob(Reader r, Spec& v, budget& left) {
  v.tasks = r.getTasks();
  Read(r.getNeed(), v.need, left);
  v.urgency = Enumerator(r.getUrgency(), cell::urgency::kUrgent);
  v.where = ReadConstraints(r.getWhere());
  v.run_time = core::milliseconds(r.getRunTimeMs());
  v.max_retries = r.getMaxRetries();
  v.idempotent = r.getIdempotent();
  v.program = String(r.getProgram());
}

void WriteDepartment(const cell::department_spec& v,
                     schema::DepartmentSpec::Builder b) {
  b.setWeight(v.weight);
  Write(v.quota, b.initQuota());
  b.setParent(Text(v.parent.v));
  WriteList(v.tokens, b.initTokens(v.tokens.size()));
}

void ReadDepartment(schema::DepartmentSpec::Reader r, cell::department_spec& v,
                    budget& left) {
  v.weight = r.getWeight();
  Read(r.getQuota(), v.quota, left);
  v.parent.v = String(r.getParent());
  ReadList(r.getTokens(), v.tokens, left);
}

void WriteConfiguration(const cell::configuration_spec& v,
                        schema::ConfigurationSpec::Builder b) {
  auto list = b.initValues(v.values.size());
  unsigned i = 0;
  for (const auto& [key, value] : v.values) {
    list[i].setKey(Text(key));
    list[i].setValue(Text(value));
    ++i;
  }
}

void ReadConfiguration(schema::ConfigurationSpec::Reader r,
                       cell::configuration_spec& v, budget& left) {
  const auto list = r.getValues();
  left.Take(list.size(), sizeof(std::pair<std::string, std::string>));
  for (const auto item : list) {
    const bool first =
        v.values.emplace(String(item.getKey()), String(item.getValue())).second;
    KJ_REQUIRE(first, "key given twice");
  }
}

}  // namespace

void Write(const cell::object_key& v, schema::ObjectKey::Builder b) {
  b.setKind(Number(v.kind));
  b.setDepartment(Text(v.department.v));
  b.setName(Text(v.name));
}

void Read(schema::ObjectKey::Reader r, cell::object_key& v, budget&) {
  v.kind = Enumerator(r.getKind(), cell::object_kind::kConfiguration);
  v.department.v = String(r.getDepartment());
  v.name = String(r.getName());
}

void Write(const cell::operation& v, schema::Operation::Builder b) {
  b.setName(Text(v.name));
  b.setIdempotent(v.idempotent);
  b.setDeadlineMs(v.deadline.count());
}

void Read(schema::Operation::Reader r, cell::operation& v, budget&) {
  v.name = String(r.getName());
  v.idempotent = r.getIdempotent();
  v.deadline = core::milliseconds(r.getDeadlineMs());
}

void Write(const cell::token_grant& v, schema::TokenGrant::Builder b) {
  b.setName(Text(v.name));
  b.setSha256(Text(v.sha256));
  b.setRole(Number(v.role));
}

void Read(schema::TokenGrant::Reader r, cell::token_grant& v, budget&) {
  v.name = String(r.getName());
  v.sha256 = String(r.getSha256());
  v.role = Enumerator(r.getRole(), cell::role::kAdmin);
}

void Write(const cell::object_spec& v, schema::ObjectSpec::Builder b) {
  std::visit(
      overloaded{
          [&](const cell::service_spec& s) {
            WriteService(s, b.initService());
          },
          [&](const cell::batch_job_spec& s) {
            WriteJob(s, b.initBatchJob());
            b.getBatchJob().setCheckpoint(s.checkpoint);
          },
          [&](const cell::gang_job_spec& s) { WriteJob(s, b.initGangJob()); },
          [&](const cell::department_spec& s) {
            WriteDepartment(s, b.initDepartment());
          },
          [&](const cell::worker_spec& s) { b.setWorkerDrain(s.drain); },
          [&](const cell::configuration_spec& s) {
            WriteConfiguration(s, b.initConfiguration());
          }},
      v);
}

void Read(schema::ObjectSpec::Reader r, cell::object_spec& v, budget& left) {
  using schema::ObjectSpec;
  switch (r.which()) {
    case ObjectSpec::SERVICE:
      ReadService(r.getService(), v.emplace<cell::service_spec>(), left);
      return;
    case ObjectSpec::BATCH_JOB: {
      auto& job = v.emplace<cell::batch_job_spec>();
      ReadJob(r.getBatchJob(), job, left);
      job.checkpoint = r.getBatchJob().getCheckpoint();
      return;
    }
    case ObjectSpec::GANG_JOB:
      ReadJob(r.getGangJob(), v.emplace<cell::gang_job_spec>(), left);
      return;
    case ObjectSpec::DEPARTMENT:
      ReadDepartment(r.getDepartment(), v.emplace<cell::department_spec>(),
                     left);
      return;
    case ObjectSpec::WORKER_DRAIN:
      v = cell::worker_spec{r.getWorkerDrain()};
      return;
    case ObjectSpec::CONFIGURATION:
      ReadConfiguration(r.getConfiguration(),
                        v.emplace<cell::configuration_spec>(), left);
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of object spec");
}

void Write(const cell::object& v, schema::Object::Builder b) {
  Write(v.key, b.initKey());
  b.setUid(v.uid);
  b.setGeneration(v.generation);
  b.setVersion(v.version);
  b.setCreated(v.created);
  Write(v.spec, b.initSpec());
}

void Read(schema::Object::Reader r, cell::object& v, budget& left) {
  Read(r.getKey(), v.key, left);
  v.uid = r.getUid();
  v.generation = r.getGeneration();
  v.version = r.getVersion();
  v.created = r.getCreated();
  Read(r.getSpec(), v.spec, left);
}

void Write(const cell::worker_record& v, schema::WorkerRecord::Builder b) {
  b.setId(Text(v.id.v));
  b.setIncarnation(v.incarnation);
  Write(v.address, b.initAddress());
  Write(v.location, b.initWhere());
  Write(v.capacity, b.initCapacity());
  b.setSlots(v.slots);
  b.setDrain(v.drain);
}

void Read(schema::WorkerRecord::Reader r, cell::worker_record& v,
          budget& left) {
  v.id.v = String(r.getId());
  v.incarnation = r.getIncarnation();
  Read(r.getAddress(), v.address, left);
  Read(r.getWhere(), v.location, left);
  Read(r.getCapacity(), v.capacity, left);
  v.slots = r.getSlots();
  v.drain = r.getDrain();
}

void Write(const cell::task_id& v, schema::TaskId::Builder b) {
  b.setJob(v.job);
  b.setIndex(v.index);
}

void Read(schema::TaskId::Reader r, cell::task_id& v, budget&) {
  v.job = r.getJob();
  v.index = r.getIndex();
}

void Write(const cell::task_record& v, schema::TaskRecord::Builder b) {
  Write(v.id, b.initId());
  Write(v.job, b.initJob());
  Write(v.need, b.initNeed());
  b.setPhase(Number(v.phase));
  b.setStopping(v.stopping);
  b.setEvicting(v.evicting);
  b.setAttempt(v.attempt);
  b.setFailures(v.failures);
  b.setWorker(Text(v.worker.v));
  b.setWorkerIncarnation(v.worker_incarnation);
  b.setGeneration(v.generation);
  b.setSince(v.since);
  b.setDetail(Text(v.detail));
}

void Read(schema::TaskRecord::Reader r, cell::task_record& v, budget& left) {
  Read(r.getId(), v.id, left);
  Read(r.getJob(), v.job, left);
  Read(r.getNeed(), v.need, left);
  v.phase = Enumerator(r.getPhase(), cell::task_phase::kUnknown);
  v.stopping = r.getStopping();
  v.evicting = r.getEvicting();
  v.attempt = r.getAttempt();
  v.failures = r.getFailures();
  v.worker.v = String(r.getWorker());
  v.worker_incarnation = r.getWorkerIncarnation();
  v.generation = r.getGeneration();
  v.since = r.getSince();
  v.detail = String(r.getDetail());
}

void Write(const cell::job_status& v, schema::JobStatus::Builder b) {
  b.setWaiting(v.waiting);
  b.setAssigned(v.assigned);
  b.setRunning(v.running);
  b.setSucceeded(v.succeeded);
  b.setFailed(v.failed);
  b.setNotRun(v.not_run);
  b.setStopped(v.stopped);
  b.setUnknown(v.unknown);
}

void Read(schema::JobStatus::Reader r, cell::job_status& v, budget&) {
  v.waiting = r.getWaiting();
  v.assigned = r.getAssigned();
  v.running = r.getRunning();
  v.succeeded = r.getSucceeded();
  v.failed = r.getFailed();
  v.not_run = r.getNotRun();
  v.stopped = r.getStopped();
  v.unknown = r.getUnknown();
}

void Write(const cell::call_key& v, schema::CallKey::Builder b) {
  b.setDepartment(Text(v.department.v));
  b.setService(Text(v.service));
  b.setIdempotencyKey(Text(v.idempotency_key));
}

void Read(schema::CallKey::Reader r, cell::call_key& v, budget&) {
  v.department.v = String(r.getDepartment());
  v.service = String(r.getService());
  v.idempotency_key = String(r.getIdempotencyKey());
}

void Write(const cell::call_outcome& v, schema::CallOutcome::Builder b) {
  b.setEnding(Number(v.ending));
  b.setBody(Data(v.body));
}

void Read(schema::CallOutcome::Reader r, cell::call_outcome& v, budget&) {
  v.ending = Enumerator(r.getEnding(), cell::ending::kOutcomeUnknown);
  v.body = String(r.getBody());
}

void Write(const cell::call_record& v, schema::CallRecord::Builder b) {
  Write(v.key, b.initKey());
  b.setOperationName(Text(v.operation_name));
  b.setDigest(Text(v.digest));
  b.setEntry(Text(v.entry.v));
  b.setEntryIncarnation(v.entry_incarnation);
  b.setWorker(Text(v.worker.v));
  b.setWorkerIncarnation(v.worker_incarnation);
  b.setId(v.id);
  b.setCreated(v.created);
  if (v.outcome) Write(*v.outcome, b.initOutcome());
}

void Read(schema::CallRecord::Reader r, cell::call_record& v, budget& left) {
  Read(r.getKey(), v.key, left);
  v.operation_name = String(r.getOperationName());
  v.digest = String(r.getDigest());
  v.entry.v = String(r.getEntry());
  v.entry_incarnation = r.getEntryIncarnation();
  v.worker.v = String(r.getWorker());
  v.worker_incarnation = r.getWorkerIncarnation();
  v.id = r.getId();
  v.created = r.getCreated();
  if (r.hasOutcome()) Read(r.getOutcome(), v.outcome.emplace(), left);
}

}  // namespace mangoplank::wire
