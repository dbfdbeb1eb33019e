#include "wire/convert_workflow.h"

namespace mangoplank::wire {

// Functions of this file are static rather than in an unnamed namespace, where
// their names would hide those of convert.h.
static void Read(capnp::Text::Reader reader, std::string& value,
                 memory_budget&) {
  value = String(reader);
}
static void Read(std::uint32_t reader, std::uint32_t& value, memory_budget&) {
  value = reader;
}
static void Read(schema::WorkflowStep::Reader reader, workflow::step& value,
                 memory_budget& budget);
static void Read(schema::QueueSpec::Reader reader, workflow::queue& value,
                 memory_budget& budget);
static void Read(schema::PoolSpec::Reader reader, workflow::pool& value,
                 memory_budget& budget);
static void Read(schema::WorkflowEvent::Reader reader, workflow::event& value,
                 memory_budget& budget);
static void Read(schema::SilentLoss::Reader reader,
                 workflow::silent_loss& value, memory_budget& budget) {
  Read(reader.getWorker(), value.worker, budget);
  value.counted_as_crash = reader.getCountedAsCrash();
}

static void Write(const workflow::silent_loss& value,
                  schema::SilentLoss::Builder builder) {
  Write(value.worker, builder.initWorker());
  builder.setCountedAsCrash(value.counted_as_crash);
}

static void Read(schema::WorkflowTask::Reader reader, workflow::task& value,
                 memory_budget& budget);
static void Read(schema::WorkflowJob::Reader reader, workflow::job& value,
                 memory_budget& budget);
template <class List, class T>
static void SetAll(List list, const std::vector<T>& values) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    list.set(static_cast<unsigned>(i), values[i]);
  }
}

template <class List>
static void SetTexts(List list, const std::vector<std::string>& values) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    list.set(static_cast<unsigned>(i), Text(values[i]));
  }
}

static void Write(const workflow::step& value,
                  schema::WorkflowStep::Builder builder) {
  builder.setCount(value.count);
  Write(value.need, builder.initNeed());
  builder.setEstimateMs(value.estimate_ms);
  SetAll(builder.initDependsOn(value.depends_on.size()), value.depends_on);
  builder.setGang(value.gang);
  builder.setSameRack(value.same_rack);
  builder.setRequiredLabel(Text(value.required_label));
  builder.setPreferredRack(Text(value.preferred_rack));
  builder.setMaxPerWorker(value.max_per_worker);
  builder.setCheckpointing(value.checkpointing);
  builder.setLongRunning(value.long_running);
  builder.setFiller(value.filler);
}

static void Read(schema::WorkflowStep::Reader reader, workflow::step& value,
                 memory_budget& budget) {
  value.count = reader.getCount();
  Read(reader.getNeed(), value.need, budget);
  value.estimate_ms = reader.getEstimateMs();
  ReadList(reader.getDependsOn(), value.depends_on, budget);
  value.gang = reader.getGang();
  value.same_rack = reader.getSameRack();
  value.required_label = String(reader.getRequiredLabel());
  value.preferred_rack = String(reader.getPreferredRack());
  value.max_per_worker = reader.getMaxPerWorker();
  value.checkpointing = reader.getCheckpointing();
  value.long_running = reader.getLongRunning();
  value.filler = reader.getFiller();
}

void Write(const workflow::job_spec& value, schema::JobSpec::Builder builder) {
  builder.setId(Text(value.id));
  builder.setPayload(Data(value.payload));
  auto steps = builder.initSteps(value.steps.size());
  for (std::size_t i = 0; i < value.steps.size(); ++i) {
    Write(value.steps[i], steps[static_cast<unsigned>(i)]);
  }
  builder.setRepeatCount(value.repeat_count);
  builder.setFirstAt(value.first_at);
  builder.setIntervalMs(value.interval_ms);
}

void Read(schema::JobSpec::Reader reader, workflow::job_spec& value,
          memory_budget& budget) {
  value.id = String(reader.getId());
  value.payload = String(reader.getPayload());
  ReadList(reader.getSteps(), value.steps, budget);
  value.repeat_count = reader.getRepeatCount();
  value.first_at = reader.getFirstAt();
  value.interval_ms = reader.getIntervalMs();
}

static void Write(const workflow::queue& value,
                  schema::QueueSpec::Builder builder) {
  builder.setName(Text(value.name));
  builder.setHost(Text(value.host));
  builder.setPathPrefix(Text(value.path_prefix));
  builder.setTimeoutMs(value.timeout_ms);
  builder.setTargetLatencyMs(value.target_latency_ms);
  builder.setPriority(value.priority);
  builder.setPool(Text(value.pool));
  builder.setMaxAttempts(value.max_attempts);
  builder.setStretchFactor(value.stretch_factor);
  builder.setAnonymous(value.anonymous);
  builder.setHasEligibility(value.eligibility.has_value());
  if (!value.eligibility) return;
  builder.setDecisionMs(value.eligibility->decision_ms);
  builder.setPerWorkerMs(value.eligibility->per_worker_ms);
  builder.setTicketLifeMs(value.eligibility->ticket_validity_ms);
}

static void Read(schema::QueueSpec::Reader reader, workflow::queue& value,
                 memory_budget&) {
  value.name = String(reader.getName());
  value.host = String(reader.getHost());
  value.path_prefix = String(reader.getPathPrefix());
  value.timeout_ms = reader.getTimeoutMs();
  value.target_latency_ms = reader.getTargetLatencyMs();
  value.priority = reader.getPriority();
  value.pool = String(reader.getPool());
  value.max_attempts = reader.getMaxAttempts();
  value.stretch_factor = reader.getStretchFactor();
  value.anonymous = reader.getAnonymous();
  if (!reader.getHasEligibility()) return;
  value.eligibility = workflow::eligibility_policy{reader.getDecisionMs(),
                                                   reader.getPerWorkerMs(),
                                                   reader.getTicketLifeMs()};
}

static void Write(const tenancy::terms& value,
                  schema::TenantTerms::Builder builder) {
  builder.setName(Text(value.name));
  builder.setWeight(value.weight);
  Write(value.cap, builder.initCap());
}

static void Read(schema::TenantTerms::Reader reader, tenancy::terms& value,
                 memory_budget& budget) {
  value.name = String(reader.getName());
  value.weight = reader.getWeight();
  Read(reader.getCap(), value.cap, budget);
}

static void Read(capnp::Data::Reader reader, tenancy::key_digest& value,
                 memory_budget&) {
  const auto digest = ReadDigest(reader);
  KJ_REQUIRE(digest.has_value(), "a key without a digest");
  value = *digest;
}

static void Write(const tenancy::tenant& value,
                  schema::TenantSpec::Builder builder) {
  Write(value.terms, builder.initTerms());
  auto keys = builder.initKeys(value.keys.size());
  for (std::size_t i = 0; i < value.keys.size(); ++i) {
    keys.set(static_cast<unsigned>(i), DigestData(value.keys[i]));
  }
}

static void Read(schema::TenantSpec::Reader reader, tenancy::tenant& value,
                 memory_budget& budget) {
  Read(reader.getTerms(), value.terms, budget);
  ReadList(reader.getKeys(), value.keys, budget);
}

void Write(const workflow::catalog& value, schema::Catalog::Builder builder) {
  builder.setVersion(value.version);
  auto queues = builder.initQueues(value.queues.size());
  for (std::size_t i = 0; i < value.queues.size(); ++i) {
    Write(value.queues[i], queues[static_cast<unsigned>(i)]);
  }
  auto pools = builder.initPools(value.pools.size());
  for (std::size_t i = 0; i < value.pools.size(); ++i) {
    auto p = pools[static_cast<unsigned>(i)];
    p.setName(Text(value.pools[i].name));
    p.setEnforcesCapacity(value.pools[i].enforces_capacity);
    p.setStandby(value.pools[i].standby);
  }
  builder.setDocument(Data(value.document));
  builder.setHasTenants(value.tenants.has_value());
  if (!value.tenants) return;
  auto tenants = builder.initTenants(value.tenants->size());
  for (std::size_t i = 0; i < value.tenants->size(); ++i) {
    Write((*value.tenants)[i], tenants[static_cast<unsigned>(i)]);
  }
}

static void Read(schema::PoolSpec::Reader reader, workflow::pool& value,
                 memory_budget&) {
  value.name = String(reader.getName());
  value.enforces_capacity = reader.getEnforcesCapacity();
  value.standby = reader.getStandby();
}

void Read(schema::Catalog::Reader reader, workflow::catalog& value,
          memory_budget& budget) {
  value.version = reader.getVersion();
  ReadList(reader.getQueues(), value.queues, budget);
  ReadList(reader.getPools(), value.pools, budget);
  value.document = String(reader.getDocument());
  if (!reader.getHasTenants()) return;
  ReadList(reader.getTenants(), value.tenants.emplace(), budget);
}

void Write(const workflow::worker_key& value,
           schema::WorkerKey::Builder builder) {
  builder.setId(Text(value.id.v));
  builder.setBorn(value.incarnation);
}

void Read(schema::WorkerKey::Reader reader, workflow::worker_key& value,
          memory_budget&) {
  value.id.v = String(reader.getId());
  value.incarnation = reader.getBorn();
}

void Write(const workflow::worker& value, schema::WorkerSpec::Builder builder) {
  Write(value.key, builder.initKey());
  Write(value.address, builder.initAddress());
  builder.setPool(Text(value.pool));
  builder.setZone(Text(value.zone));
  Write(value.capacity, builder.initCapacity());
  SetTexts(builder.initLabels(value.labels.size()), value.labels);
  builder.setDraining(value.draining);
  builder.setReportSequence(value.report_sequence);
}

void Read(schema::WorkerSpec::Reader reader, workflow::worker& value,
          memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  Read(reader.getAddress(), value.address, budget);
  value.pool = String(reader.getPool());
  value.zone = String(reader.getZone());
  Read(reader.getCapacity(), value.capacity, budget);
  ReadList(reader.getLabels(), value.labels, budget);
  value.draining = reader.getDraining();
  value.report_sequence = reader.getReportSequence();
}

void Write(const workflow::task_id& value,
           schema::WorkflowTaskId::Builder builder) {
  builder.setJob(Text(value.job));
  builder.setOccurrence(value.occurrence);
  builder.setStep(value.step);
  builder.setIndex(value.index);
}

void Read(schema::WorkflowTaskId::Reader reader, workflow::task_id& value,
          memory_budget&) {
  value = {String(reader.getJob()), reader.getOccurrence(), reader.getStep(),
           reader.getIndex()};
}

void Write(const workflow::run_id& value, schema::RunId::Builder builder) {
  Write(value.task, builder.initTask());
  builder.setNumber(value.number);
}

void Read(schema::RunId::Reader reader, workflow::run_id& value,
          memory_budget& budget) {
  Read(reader.getTask(), value.task, budget);
  value.number = reader.getNumber();
}

static void WriteEvent(const workflow::catalog_declared& value,
                       schema::WorkflowEvent::Builder builder) {
  Write(value.catalog, builder.initCatalogDeclared());
}
static void WriteEvent(const workflow::job_accepted& value,
                       schema::WorkflowEvent::Builder builder) {
  auto g = builder.initJobAccepted();
  Write(value.spec, g.initSpec());
  Write(value.queue, g.initQueue());
  g.setAt(value.accepted_at);
  Write(value.tenant, g.initTenant());
}
static void WriteEvent(const workflow::job_cancelled& value,
                       schema::WorkflowEvent::Builder builder) {
  builder.setJobCancelled(Text(value.job));
}
static void WriteEvent(const workflow::run_assigned& value,
                       schema::WorkflowEvent::Builder builder) {
  auto g = builder.initRunAssigned();
  Write(value.run, g.initRun());
  Write(value.worker, g.initWorker());
  g.setWorkerConfirmed(value.worker_confirmed);
}
static void WriteEvent(const workflow::job_started& value,
                       schema::WorkflowEvent::Builder builder) {
  builder.setJobStarted(Text(value.job));
}
static void WriteEvent(const workflow::run_ended& value,
                       schema::WorkflowEvent::Builder builder) {
  auto g = builder.initRunEnded();
  Write(value.run, g.initRun());
  g.setHow(Number(value.ending));
  g.setCheckpoint(Text(value.checkpoint));
}
static void WriteEvent(const workflow::worker_announced& value,
                       schema::WorkflowEvent::Builder builder) {
  Write(value.worker, builder.initWorkerAnnounced());
}
static void WriteEvent(const workflow::worker_removed& value,
                       schema::WorkflowEvent::Builder builder) {
  Write(value.worker, builder.initWorkerRemoved());
}
static void WriteEvent(const workflow::jobs_pruned& value,
                       schema::WorkflowEvent::Builder builder) {
  SetTexts(builder.initJobsForgotten(value.jobs.size()), value.jobs);
}

static workflow::event ReadEvent(schema::WorkflowEvent::Reader reader,
                                 memory_budget& budget) {
  using schema::WorkflowEvent;
  switch (reader.which()) {
    case WorkflowEvent::CATALOG_DECLARED: {
      workflow::catalog_declared value;
      Read(reader.getCatalogDeclared(), value.catalog, budget);
      return value;
    }
    case WorkflowEvent::JOB_ACCEPTED: {
      const auto g = reader.getJobAccepted();
      workflow::job_accepted value;
      Read(g.getSpec(), value.spec, budget);
      Read(g.getQueue(), value.queue, budget);
      value.accepted_at = g.getAt();
      Read(g.getTenant(), value.tenant, budget);
      return value;
    }
    case WorkflowEvent::JOB_CANCELLED:
      return workflow::job_cancelled{String(reader.getJobCancelled())};
    case WorkflowEvent::RUN_ASSIGNED: {
      workflow::run_assigned value;
      Read(reader.getRunAssigned().getRun(), value.run, budget);
      Read(reader.getRunAssigned().getWorker(), value.worker, budget);
      value.worker_confirmed = reader.getRunAssigned().getWorkerConfirmed();
      return value;
    }
    case WorkflowEvent::JOB_STARTED:
      return workflow::job_started{String(reader.getJobStarted())};
    case WorkflowEvent::RUN_ENDED: {
      const auto g = reader.getRunEnded();
      workflow::run_ended value;
      Read(g.getRun(), value.run, budget);
      value.ending = Enumerator(g.getHow(), workflow::kLastRunEnd);
      value.checkpoint = String(g.getCheckpoint());
      return value;
    }
    case WorkflowEvent::WORKER_ANNOUNCED: {
      workflow::worker_announced value;
      Read(reader.getWorkerAnnounced(), value.worker, budget);
      return value;
    }
    case WorkflowEvent::WORKER_REMOVED: {
      workflow::worker_removed value;
      Read(reader.getWorkerRemoved(), value.worker, budget);
      return value;
    }
    case WorkflowEvent::JOBS_FORGOTTEN: {
      workflow::jobs_pruned value;
      ReadList(reader.getJobsForgotten(), value.jobs, budget);
      return value;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow event");
}

static void Read(schema::WorkflowEvent::Reader reader, workflow::event& value,
                 memory_budget& budget) {
  value = ReadEvent(reader, budget);
}

static void Read(schema::WorkflowTask::Reader reader, workflow::task& value,
                 memory_budget& budget) {
  value.phase = Enumerator(reader.getPhase(), workflow::task_phase::kDone);
  value.last_run = reader.getLastRun();
  value.failures = reader.getFailures();
  value.last_failed_run = reader.getLastFailedRun();
  Read(reader.getWhere(), value.worker, budget);
  value.checkpoint = String(reader.getCheckpoint());
  value.crashes = reader.getCrashes();
  value.losses = reader.getLosses();
  value.suspected = reader.getSuspected();
  value.worker_confirmed = reader.getWorkerConfirmed();
  ReadList(reader.getSilentLosses(), value.silent_losses, budget);
}

static void Write(const workflow::job& value,
                  schema::WorkflowJob::Builder builder) {
  Write(value.spec, builder.initSpec());
  Write(value.queue, builder.initQueue());
  builder.setAcceptedAt(value.accepted_at);
  Write(value.tenant, builder.initTenant());
  builder.setPhase(Number(value.phase));
  builder.setFailure(Number(value.failure));
  auto tasks = builder.initTasks(value.tasks.size());
  for (std::size_t i = 0; i < value.tasks.size(); ++i) {
    const workflow::task& t = value.tasks[i];
    auto to = tasks[static_cast<unsigned>(i)];
    to.setPhase(Number(t.phase));
    to.setLastRun(t.last_run);
    to.setFailures(t.failures);
    to.setLastFailedRun(t.last_failed_run);
    Write(t.worker, to.initWhere());
    to.setCheckpoint(Text(t.checkpoint));
    to.setCrashes(t.crashes);
    to.setLosses(t.losses);
    to.setSuspected(t.suspected);
    to.setWorkerConfirmed(t.worker_confirmed);
    auto losses = to.initSilentLosses(t.silent_losses.size());
    for (std::size_t n = 0; n < t.silent_losses.size(); ++n) {
      Write(t.silent_losses[n], losses[static_cast<unsigned>(n)]);
    }
  }
  SetAll(builder.initLeft(value.unfinished_tasks.size()),
         value.unfinished_tasks);
}

static void Read(schema::WorkflowJob::Reader reader, workflow::job& value,
                 memory_budget& budget) {
  Read(reader.getSpec(), value.spec, budget);
  Read(reader.getQueue(), value.queue, budget);
  value.accepted_at = reader.getAcceptedAt();
  Read(reader.getTenant(), value.tenant, budget);
  value.phase = Enumerator(reader.getPhase(), workflow::job_phase::kCancelled);
  value.failure =
      Enumerator(reader.getFailure(), workflow::job_failure::kWorkerCrashes);
  ReadList(reader.getTasks(), value.tasks, budget);
  ReadList(reader.getLeft(), value.unfinished_tasks, budget);
}

void Write(const std::vector<workflow::event>& value,
           schema::WorkflowEvents::Builder builder) {
  auto events = builder.initEvents(value.size());
  for (std::size_t i = 0; i < value.size(); ++i) {
    std::visit(
        [&](const auto& e) { WriteEvent(e, events[static_cast<unsigned>(i)]); },
        value[i]);
  }
}

void Read(schema::WorkflowEvents::Reader reader,
          std::vector<workflow::event>& value, memory_budget& budget) {
  ReadList(reader.getEvents(), value, budget);
}

void Write(const workflow::state::image& value,
           schema::WorkflowImage::Builder builder) {
  Write(value.catalog, builder.initCatalog());
  auto jobs = builder.initJobs(value.jobs.size());
  for (std::size_t i = 0; i < value.jobs.size(); ++i) {
    Write(value.jobs[i], jobs[static_cast<unsigned>(i)]);
  }
  auto workers = builder.initWorkers(value.workers.size());
  for (std::size_t i = 0; i < value.workers.size(); ++i) {
    Write(value.workers[i], workers[static_cast<unsigned>(i)]);
  }
}

void Read(schema::WorkflowImage::Reader reader, workflow::state::image& value,
          memory_budget& budget) {
  Read(reader.getCatalog(), value.catalog, budget);
  ReadList(reader.getJobs(), value.jobs, budget);
  ReadList(reader.getWorkers(), value.workers, budget);
}

}  // namespace mangoplank::wire
