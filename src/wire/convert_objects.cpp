#include "wire/convert.h"

/// Conversions of the objects and records of a cell.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteConstraints(const cell::constraints& value,
                      schema::Constraints::Builder builder) {
  if (value.region) builder.setRegion(Text(value.region->v));
  builder.setSpread(Number(value.spread));
  builder.setOneRegion(value.one_region);
}

cell::constraints ReadConstraints(schema::Constraints::Reader reader) {
  cell::constraints value;
  if (reader.hasRegion())
    value.region = core::region_id{String(reader.getRegion())};
  value.spread = Enumerator(reader.getSpread(), cell::spread::kRegions);
  value.one_region = reader.getOneRegion();
  return value;
}

void WriteService(const cell::service_spec& value,
                  schema::ServiceSpec::Builder builder) {
  builder.setReplicas(value.replicas);
  Write(value.need, builder.initNeed());
  builder.setUrgency(Number(value.urgency));
  WriteConstraints(value.where, builder.initWhere());
  WriteList(value.operations, builder.initOperations(value.operations.size()));
  builder.setProgram(Data(value.program));
  builder.setMaxUnavailable(value.max_unavailable);
}

void ReadService(schema::ServiceSpec::Reader reader, cell::service_spec& value,
                 memory_budget& budget) {
  value.replicas = reader.getReplicas();
  Read(reader.getNeed(), value.need, budget);
  value.urgency = Enumerator(reader.getUrgency(), cell::urgency::kUrgent);
  value.where = ReadConstraints(reader.getWhere());
  ReadList(reader.getOperations(), value.operations, budget);
  value.program = String(reader.getProgram());
  value.max_unavailable = reader.getMaxUnavailable();
}

/// Writes the fields that batch and gang jobs have in common.
template <class Spec, class Builder>
void WriteJob(const Spec& value, Builder builder) {
  builder.setTasks(value.tasks);
  Write(value.need, builder.initNeed());
  builder.setUrgency(Number(value.urgency));
  WriteConstraints(value.where, builder.initWhere());
  builder.setRunTimeMs(value.run_time.count());
  builder.setMaxRetries(value.max_retries);
  builder.setIdempotent(value.idempotent);
  builder.setProgram(Data(value.program));
}

template <class Spec, class Reader>
void ReadJob(Reader reader, Spec& value, memory_budget& budget) {
  value.tasks = reader.getTasks();
  Read(reader.getNeed(), value.need, budget);
  value.urgency = Enumerator(reader.getUrgency(), cell::urgency::kUrgent);
  value.where = ReadConstraints(reader.getWhere());
  value.run_time = core::milliseconds(reader.getRunTimeMs());
  value.max_retries = reader.getMaxRetries();
  value.idempotent = reader.getIdempotent();
  value.program = String(reader.getProgram());
}

void WriteDepartment(const cell::department_spec& value,
                     schema::DepartmentSpec::Builder builder) {
  builder.setWeight(value.weight);
  Write(value.quota, builder.initQuota());
  builder.setParent(Text(value.parent.v));
  WriteList(value.tokens, builder.initTokens(value.tokens.size()));
}

void ReadDepartment(schema::DepartmentSpec::Reader reader,
                    cell::department_spec& value, memory_budget& budget) {
  value.weight = reader.getWeight();
  Read(reader.getQuota(), value.quota, budget);
  value.parent.v = String(reader.getParent());
  ReadList(reader.getTokens(), value.tokens, budget);
}

void WriteConfiguration(const cell::configuration_spec& value,
                        schema::ConfigurationSpec::Builder builder) {
  auto list = builder.initValues(value.values.size());
  unsigned i = 0;
  for (const auto& [key, content] : value.values) {
    list[i].setKey(Text(key));
    list[i].setValue(Text(content));
    ++i;
  }
}

void ReadConfiguration(schema::ConfigurationSpec::Reader reader,
                       cell::configuration_spec& value, memory_budget& budget) {
  const auto list = reader.getValues();
  budget.Consume(list.size(), sizeof(std::pair<std::string, std::string>));
  for (const auto item : list) {
    const bool inserted =
        value.values.emplace(String(item.getKey()), String(item.getValue()))
            .second;
    KJ_REQUIRE(inserted, "duplicate key");
  }
}

}  // namespace

void Write(const cell::object_key& value, schema::ObjectKey::Builder builder) {
  builder.setKind(Number(value.kind));
  builder.setDepartment(Text(value.department.v));
  builder.setName(Text(value.name));
}

void Read(schema::ObjectKey::Reader reader, cell::object_key& value,
          memory_budget&) {
  value.kind = Enumerator(reader.getKind(), cell::object_kind::kConfiguration);
  value.department.v = String(reader.getDepartment());
  value.name = String(reader.getName());
}

void Write(const cell::operation& value, schema::Operation::Builder builder) {
  builder.setName(Text(value.name));
  builder.setIdempotent(value.idempotent);
  builder.setDeadlineMs(value.deadline.count());
}

void Read(schema::Operation::Reader reader, cell::operation& value,
          memory_budget&) {
  value.name = String(reader.getName());
  value.idempotent = reader.getIdempotent();
  value.deadline = core::milliseconds(reader.getDeadlineMs());
}

void Write(const cell::token_grant& value,
           schema::TokenGrant::Builder builder) {
  builder.setName(Text(value.name));
  builder.setSha256(Text(value.sha256));
  builder.setRole(Number(value.role));
}

void Read(schema::TokenGrant::Reader reader, cell::token_grant& value,
          memory_budget&) {
  value.name = String(reader.getName());
  value.sha256 = String(reader.getSha256());
  value.role = Enumerator(reader.getRole(), cell::role::kAdmin);
}

void Write(const cell::object_spec& value,
           schema::ObjectSpec::Builder builder) {
  std::visit(overloaded{[&](const cell::service_spec& s) {
                          WriteService(s, builder.initService());
                        },
                        [&](const cell::batch_job_spec& s) {
                          WriteJob(s, builder.initBatchJob());
                          builder.getBatchJob().setCheckpoint(s.checkpoint);
                        },
                        [&](const cell::gang_job_spec& s) {
                          WriteJob(s, builder.initGangJob());
                        },
                        [&](const cell::department_spec& s) {
                          WriteDepartment(s, builder.initDepartment());
                        },
                        [&](const cell::worker_spec& s) {
                          builder.setWorkerDrain(s.drain);
                        },
                        [&](const cell::configuration_spec& s) {
                          WriteConfiguration(s, builder.initConfiguration());
                        }},
             value);
}

void Read(schema::ObjectSpec::Reader reader, cell::object_spec& value,
          memory_budget& budget) {
  using schema::ObjectSpec;
  switch (reader.which()) {
    case ObjectSpec::SERVICE:
      ReadService(reader.getService(), value.emplace<cell::service_spec>(),
                  budget);
      return;
    case ObjectSpec::BATCH_JOB: {
      auto& job = value.emplace<cell::batch_job_spec>();
      ReadJob(reader.getBatchJob(), job, budget);
      job.checkpoint = reader.getBatchJob().getCheckpoint();
      return;
    }
    case ObjectSpec::GANG_JOB:
      ReadJob(reader.getGangJob(), value.emplace<cell::gang_job_spec>(),
              budget);
      return;
    case ObjectSpec::DEPARTMENT:
      ReadDepartment(reader.getDepartment(),
                     value.emplace<cell::department_spec>(), budget);
      return;
    case ObjectSpec::WORKER_DRAIN:
      value = cell::worker_spec{reader.getWorkerDrain()};
      return;
    case ObjectSpec::CONFIGURATION:
      ReadConfiguration(reader.getConfiguration(),
                        value.emplace<cell::configuration_spec>(), budget);
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of object spec");
}

void Write(const cell::object& value, schema::Object::Builder builder) {
  Write(value.key, builder.initKey());
  builder.setUid(value.uid);
  builder.setGeneration(value.generation);
  builder.setVersion(value.version);
  builder.setCreated(value.created);
  Write(value.spec, builder.initSpec());
}

void Read(schema::Object::Reader reader, cell::object& value,
          memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  value.uid = reader.getUid();
  value.generation = reader.getGeneration();
  value.version = reader.getVersion();
  value.created = reader.getCreated();
  Read(reader.getSpec(), value.spec, budget);
}

void Write(const cell::worker_record& value,
           schema::WorkerRecord::Builder builder) {
  builder.setId(Text(value.id.v));
  builder.setIncarnation(value.incarnation);
  Write(value.address, builder.initAddress());
  Write(value.location, builder.initWhere());
  Write(value.capacity, builder.initCapacity());
  builder.setSlots(value.slots);
  builder.setDrain(value.drain);
}

void Read(schema::WorkerRecord::Reader reader, cell::worker_record& value,
          memory_budget& budget) {
  value.id.v = String(reader.getId());
  value.incarnation = reader.getIncarnation();
  Read(reader.getAddress(), value.address, budget);
  Read(reader.getWhere(), value.location, budget);
  Read(reader.getCapacity(), value.capacity, budget);
  value.slots = reader.getSlots();
  value.drain = reader.getDrain();
}

void Write(const cell::task_id& value, schema::TaskId::Builder builder) {
  builder.setJob(value.job);
  builder.setIndex(value.index);
}

void Read(schema::TaskId::Reader reader, cell::task_id& value, memory_budget&) {
  value.job = reader.getJob();
  value.index = reader.getIndex();
}

void Write(const cell::task_record& value,
           schema::TaskRecord::Builder builder) {
  Write(value.id, builder.initId());
  Write(value.job, builder.initJob());
  Write(value.need, builder.initNeed());
  builder.setPhase(Number(value.phase));
  builder.setStopping(value.stopping);
  builder.setEvicting(value.evicting);
  builder.setAttempt(value.attempt);
  builder.setFailures(value.failures);
  builder.setWorker(Text(value.worker.v));
  builder.setWorkerIncarnation(value.worker_incarnation);
  builder.setGeneration(value.generation);
  builder.setSince(value.since);
  builder.setDetail(Text(value.detail));
}

void Read(schema::TaskRecord::Reader reader, cell::task_record& value,
          memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  Read(reader.getJob(), value.job, budget);
  Read(reader.getNeed(), value.need, budget);
  value.phase = Enumerator(reader.getPhase(), cell::task_phase::kUnknown);
  value.stopping = reader.getStopping();
  value.evicting = reader.getEvicting();
  value.attempt = reader.getAttempt();
  value.failures = reader.getFailures();
  value.worker.v = String(reader.getWorker());
  value.worker_incarnation = reader.getWorkerIncarnation();
  value.generation = reader.getGeneration();
  value.since = reader.getSince();
  value.detail = String(reader.getDetail());
}

void Write(const cell::job_status& value, schema::JobStatus::Builder builder) {
  builder.setWaiting(value.waiting);
  builder.setAssigned(value.assigned);
  builder.setRunning(value.running);
  builder.setSucceeded(value.succeeded);
  builder.setFailed(value.failed);
  builder.setNotRun(value.not_run);
  builder.setStopped(value.stopped);
  builder.setUnknown(value.unknown);
}

void Read(schema::JobStatus::Reader reader, cell::job_status& value,
          memory_budget&) {
  value.waiting = reader.getWaiting();
  value.assigned = reader.getAssigned();
  value.running = reader.getRunning();
  value.succeeded = reader.getSucceeded();
  value.failed = reader.getFailed();
  value.not_run = reader.getNotRun();
  value.stopped = reader.getStopped();
  value.unknown = reader.getUnknown();
}

void Write(const cell::call_key& value, schema::CallKey::Builder builder) {
  builder.setDepartment(Text(value.department.v));
  builder.setService(Text(value.service));
  builder.setIdempotencyKey(Text(value.idempotency_key));
}

void Read(schema::CallKey::Reader reader, cell::call_key& value,
          memory_budget&) {
  value.department.v = String(reader.getDepartment());
  value.service = String(reader.getService());
  value.idempotency_key = String(reader.getIdempotencyKey());
}

void Write(const cell::call_outcome& value,
           schema::CallOutcome::Builder builder) {
  builder.setEnding(Number(value.ending));
  builder.setBody(Data(value.body));
}

void Read(schema::CallOutcome::Reader reader, cell::call_outcome& value,
          memory_budget&) {
  value.ending = Enumerator(reader.getEnding(), cell::ending::kOutcomeUnknown);
  value.body = String(reader.getBody());
}

void Write(const cell::call_record& value,
           schema::CallRecord::Builder builder) {
  Write(value.key, builder.initKey());
  builder.setOperationName(Text(value.operation_name));
  builder.setDigest(Text(value.digest));
  builder.setEntry(Text(value.entry.v));
  builder.setEntryIncarnation(value.entry_incarnation);
  builder.setWorker(Text(value.worker.v));
  builder.setWorkerIncarnation(value.worker_incarnation);
  builder.setId(value.id);
  builder.setCreated(value.created);
  if (value.outcome) Write(*value.outcome, builder.initOutcome());
}

void Read(schema::CallRecord::Reader reader, cell::call_record& value,
          memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  value.operation_name = String(reader.getOperationName());
  value.digest = String(reader.getDigest());
  value.entry.v = String(reader.getEntry());
  value.entry_incarnation = reader.getEntryIncarnation();
  value.worker.v = String(reader.getWorker());
  value.worker_incarnation = reader.getWorkerIncarnation();
  value.id = reader.getId();
  value.created = reader.getCreated();
  if (reader.hasOutcome())
    Read(reader.getOutcome(), value.outcome.emplace(), budget);
}

}  // namespace mangoplank::wire
