#include "wire/convert_workflow.h"

namespace mangoplank::wire {

// Functions of this file are static rather than in an unnamed namespace, where
// their names would hide those of convert.h.
static void Read(capnp::Text::Reader r, std::string& v, budget&) {
  v = String(r);
}
static void Read(std::uint32_t r, std::uint32_t& v, budget&) { v = r; }
static void Read(schema::WorkflowStep::Reader r, workflow::step& v,
                 budget& left);
static void Read(schema::QueueSpec::Reader r, workflow::queue& v, budget& left);
static void Read(schema::PoolSpec::Reader r, workflow::pool& v, budget& left);
static void Read(schema::RunId::Reader r, workflow::run_id& v, budget& left);
static void Read(schema::WorkflowEvent::Reader r, workflow::event& v,
                 budget& left);
static void Read(schema::WorkflowTask::Reader r, workflow::task& v,
                 budget& left);
static void Read(schema::WorkflowJob::Reader r, workflow::job& v, budget& left);
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

static void Write(const workflow::step& v, schema::WorkflowStep::Builder b) {
  b.setCount(v.count);
  Write(v.need, b.initNeed());
  b.setEstimateMs(v.estimate_ms);
  SetAll(b.initDependsOn(v.depends_on.size()), v.depends_on);
  b.setGang(v.gang);
  b.setSameRack(v.same_rack);
  b.setRequiredLabel(Text(v.required_label));
  b.setPreferredRack(Text(v.preferred_rack));
  b.setMaxPerWorker(v.max_per_worker);
  b.setCheckpointing(v.checkpointing);
  b.setLongRunning(v.long_running);
  b.setFiller(v.filler);
}

static void Read(schema::WorkflowStep::Reader r, workflow::step& v,
                 budget& left) {
  v.count = r.getCount();
  Read(r.getNeed(), v.need, left);
  v.estimate_ms = r.getEstimateMs();
  ReadList(r.getDependsOn(), v.depends_on, left);
  v.gang = r.getGang();
  v.same_rack = r.getSameRack();
  v.required_label = String(r.getRequiredLabel());
  v.preferred_rack = String(r.getPreferredRack());
  v.max_per_worker = r.getMaxPerWorker();
  v.checkpointing = r.getCheckpointing();
  v.long_running = r.getLongRunning();
  v.filler = r.getFiller();
}

void Write(const workflow::job_spec& v, schema::JobSpec::Builder b) {
  b.setId(Text(v.id));
  b.setPayload(Data(v.payload));
  auto steps = b.initSteps(v.steps.size());
  for (std::size_t i = 0; i < v.steps.size(); ++i) {
    Write(v.steps[i], steps[static_cast<unsigned>(i)]);
  }
  b.setRepeatCount(v.repeat_count);
  b.setFirstAt(v.first_at);
  b.setIntervalMs(v.interval_ms);
}

void Read(schema::JobSpec::Reader r, workflow::job_spec& v, budget& left) {
  v.id = String(r.getId());
  v.payload = String(r.getPayload());
  ReadList(r.getSteps(), v.steps, left);
  v.repeat_count = r.getRepeatCount();
  v.first_at = r.getFirstAt();
  v.interval_ms = r.getIntervalMs();
}

static void Write(const workflow::queue& v, schema::QueueSpec::Builder b) {
  b.setName(Text(v.name));
  b.setHost(Text(v.host));
  b.setPathPrefix(Text(v.path_prefix));
  b.setTimeoutMs(v.timeout_ms);
  b.setTargetLatencyMs(v.target_latency_ms);
  b.setPriority(v.priority);
  b.setPool(Text(v.pool));
  b.setMaxAttempts(v.max_attempts);
  b.setStretchFactor(v.stretch_factor);
  b.setHasEligibility(v.eligibility.has_value());
  if (!v.eligibility) return;
  b.setDecisionMs(v.eligibility->decision_ms);
  b.setPerWorkerMs(v.eligibility->per_worker_ms);
  b.setTicketLifeMs(v.eligibility->ticket_validity_ms);
}

static void Read(schema::QueueSpec::Reader r, workflow::queue& v, budget&) {
  v.name = String(r.getName());
  v.host = String(r.getHost());
  v.path_prefix = String(r.getPathPrefix());
  v.timeout_ms = r.getTimeoutMs();
  v.target_latency_ms = r.getTargetLatencyMs();
  v.priority = r.getPriority();
  v.pool = String(r.getPool());
  v.max_attempts = r.getMaxAttempts();
  v.stretch_factor = r.getStretchFactor();
  if (!r.getHasEligibility()) return;
  v.eligibility = workflow::eligibility_policy{
      r.getDecisionMs(), r.getPerWorkerMs(), r.getTicketLifeMs()};
}

void Write(const workflow::catalog& v, schema::Catalog::Builder b) {
  b.setVersion(v.version);
  auto queues = b.initQueues(v.queues.size());
  for (std::size_t i = 0; i < v.queues.size(); ++i) {
    Write(v.queues[i], queues[static_cast<unsigned>(i)]);
  }
  auto pools = b.initPools(v.pools.size());
  for (std::size_t i = 0; i < v.pools.size(); ++i) {
    auto p = pools[static_cast<unsigned>(i)];
    p.setName(Text(v.pools[i].name));
    p.setEnforcesCapacity(v.pools[i].enforces_capacity);
    p.setStandby(v.pools[i].standby);
  }
  b.setDocument(Data(v.document));
}

static void Read(schema::PoolSpec::Reader r, workflow::pool& v, budget&) {
  v.name = String(r.getName());
  v.enforces_capacity = r.getEnforcesCapacity();
  v.standby = r.getStandby();
}

void Read(schema::Catalog::Reader r, workflow::catalog& v, budget& left) {
  v.version = r.getVersion();
  ReadList(r.getQueues(), v.queues, left);
  ReadList(r.getPools(), v.pools, left);
  v.document = String(r.getDocument());
}

void Write(const workflow::worker_key& v, schema::WorkerKey::Builder b) {
  b.setId(Text(v.id.v));
  b.setBorn(v.incarnation);
}

void Read(schema::WorkerKey::Reader r, workflow::worker_key& v, budget&) {
  v.id.v = String(r.getId());
  v.incarnation = r.getBorn();
}

void Write(const workflow::worker& v, schema::WorkerSpec::Builder b) {
  Write(v.key, b.initKey());
  Write(v.address, b.initAddress());
  b.setPool(Text(v.pool));
  b.setZone(Text(v.zone));
  Write(v.capacity, b.initCapacity());
  SetTexts(b.initLabels(v.labels.size()), v.labels);
  b.setDraining(v.draining);
}

void Read(schema::WorkerSpec::Reader r, workflow::worker& v, budget& left) {
  Read(r.getKey(), v.key, left);
  Read(r.getAddress(), v.address, left);
  v.pool = String(r.getPool());
  v.zone = String(r.getZone());
  Read(r.getCapacity(), v.capacity, left);
  ReadList(r.getLabels(), v.labels, left);
  v.draining = r.getDraining();
}

void Write(const workflow::task_id& v, schema::WorkflowTaskId::Builder b) {
  b.setJob(Text(v.job));
  b.setOccurrence(v.occurrence);
  b.setStep(v.step);
  b.setIndex(v.index);
}

void Read(schema::WorkflowTaskId::Reader r, workflow::task_id& v, budget&) {
  v = {String(r.getJob()), r.getOccurrence(), r.getStep(), r.getIndex()};
}

static void Write(const workflow::run_id& v, schema::RunId::Builder b) {
  Write(v.task, b.initTask());
  b.setNumber(v.number);
}

static void Read(schema::RunId::Reader r, workflow::run_id& v, budget& left) {
  Read(r.getTask(), v.task, left);
  v.number = r.getNumber();
}

static void WriteEvent(const workflow::catalog_declared& v,
                       schema::WorkflowEvent::Builder b) {
  Write(v.catalog, b.initCatalogDeclared());
}
static void WriteEvent(const workflow::job_accepted& v,
                       schema::WorkflowEvent::Builder b) {
  auto g = b.initJobAccepted();
  Write(v.spec, g.initSpec());
  Write(v.queue, g.initQueue());
  g.setAt(v.accepted_at);
}
static void WriteEvent(const workflow::job_cancelled& v,
                       schema::WorkflowEvent::Builder b) {
  b.setJobCancelled(Text(v.job));
}
static void WriteEvent(const workflow::run_assigned& v,
                       schema::WorkflowEvent::Builder b) {
  auto g = b.initRunAssigned();
  Write(v.run, g.initRun());
  Write(v.worker, g.initWorker());
}
static void WriteEvent(const workflow::run_ended& v,
                       schema::WorkflowEvent::Builder b) {
  auto g = b.initRunEnded();
  Write(v.run, g.initRun());
  g.setHow(Number(v.ending));
  g.setCheckpoint(Text(v.checkpoint));
}
static void WriteEvent(const workflow::worker_announced& v,
                       schema::WorkflowEvent::Builder b) {
  Write(v.worker, b.initWorkerAnnounced());
}
static void WriteEvent(const workflow::worker_removed& v,
                       schema::WorkflowEvent::Builder b) {
  Write(v.worker, b.initWorkerRemoved());
}
static void WriteEvent(const workflow::jobs_pruned& v,
                       schema::WorkflowEvent::Builder b) {
  SetTexts(b.initJobsForgotten(v.jobs.size()), v.jobs);
}

static workflow::event ReadEvent(schema::WorkflowEvent::Reader r,
                                 budget& left) {
  using schema::WorkflowEvent;
  switch (r.which()) {
    case WorkflowEvent::CATALOG_DECLARED: {
      workflow::catalog_declared v;
      Read(r.getCatalogDeclared(), v.catalog, left);
      return v;
    }
    case WorkflowEvent::JOB_ACCEPTED: {
      const auto g = r.getJobAccepted();
      workflow::job_accepted v;
      Read(g.getSpec(), v.spec, left);
      Read(g.getQueue(), v.queue, left);
      v.accepted_at = g.getAt();
      return v;
    }
    case WorkflowEvent::JOB_CANCELLED:
      return workflow::job_cancelled{String(r.getJobCancelled())};
    case WorkflowEvent::RUN_ASSIGNED: {
      workflow::run_assigned v;
      Read(r.getRunAssigned().getRun(), v.run, left);
      Read(r.getRunAssigned().getWorker(), v.worker, left);
      return v;
    }
    case WorkflowEvent::RUN_ENDED: {
      const auto g = r.getRunEnded();
      workflow::run_ended v;
      Read(g.getRun(), v.run, left);
      v.ending = Enumerator(g.getHow(), workflow::run_end::kLost);
      v.checkpoint = String(g.getCheckpoint());
      return v;
    }
    case WorkflowEvent::WORKER_ANNOUNCED: {
      workflow::worker_announced v;
      Read(r.getWorkerAnnounced(), v.worker, left);
      return v;
    }
    case WorkflowEvent::WORKER_REMOVED: {
      workflow::worker_removed v;
      Read(r.getWorkerRemoved(), v.worker, left);
      return v;
    }
    case WorkflowEvent::JOBS_FORGOTTEN: {
      workflow::jobs_pruned v;
      ReadList(r.getJobsForgotten(), v.jobs, left);
      return v;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow event");
}

static void Read(schema::WorkflowEvent::Reader r, workflow::event& v,
                 budget& left) {
  v = ReadEvent(r, left);
}

static void Read(schema::WorkflowTask::Reader r, workflow::task& v,
                 budget& left) {
  v.phase = Enumerator(r.getPhase(), workflow::task_phase::kDone);
  v.last_run = r.getLastRun();
  v.failures = r.getFailures();
  Read(r.getWhere(), v.worker, left);
  v.checkpoint = String(r.getCheckpoint());
}

static void Write(const workflow::job& v, schema::WorkflowJob::Builder b) {
  Write(v.spec, b.initSpec());
  Write(v.queue, b.initQueue());
  b.setAcceptedAt(v.accepted_at);
  b.setPhase(Number(v.phase));
  auto tasks = b.initTasks(v.tasks.size());
  for (std::size_t i = 0; i < v.tasks.size(); ++i) {
    const workflow::task& t = v.tasks[i];
    auto to = tasks[static_cast<unsigned>(i)];
    to.setPhase(Number(t.phase));
    to.setLastRun(t.last_run);
    to.setFailures(t.failures);
    Write(t.worker, to.initWhere());
    to.setCheckpoint(Text(t.checkpoint));
  }
  SetAll(b.initLeft(v.unfinished_tasks.size()), v.unfinished_tasks);
}

static void Read(schema::WorkflowJob::Reader r, workflow::job& v,
                 budget& left) {
  Read(r.getSpec(), v.spec, left);
  Read(r.getQueue(), v.queue, left);
  v.accepted_at = r.getAcceptedAt();
  v.phase = Enumerator(r.getPhase(), workflow::job_phase::kCancelled);
  ReadList(r.getTasks(), v.tasks, left);
  ReadList(r.getLeft(), v.unfinished_tasks, left);
}

void Write(const std::vector<workflow::event>& v,
           schema::WorkflowEvents::Builder b) {
  auto events = b.initEvents(v.size());
  for (std::size_t i = 0; i < v.size(); ++i) {
    std::visit(
        [&](const auto& e) { WriteEvent(e, events[static_cast<unsigned>(i)]); },
        v[i]);
  }
}

void Read(schema::WorkflowEvents::Reader r, std::vector<workflow::event>& v,
          budget& left) {
  ReadList(r.getEvents(), v, left);
}

void Write(const workflow::state::image& v, schema::WorkflowImage::Builder b) {
  Write(v.catalog, b.initCatalog());
  auto jobs = b.initJobs(v.jobs.size());
  for (std::size_t i = 0; i < v.jobs.size(); ++i) {
    Write(v.jobs[i], jobs[static_cast<unsigned>(i)]);
  }
  auto workers = b.initWorkers(v.workers.size());
  for (std::size_t i = 0; i < v.workers.size(); ++i) {
    Write(v.workers[i], workers[static_cast<unsigned>(i)]);
  }
}

void Read(schema::WorkflowImage::Reader r, workflow::state::image& v,
          budget& left) {
  Read(r.getCatalog(), v.catalog, left);
  ReadList(r.getJobs(), v.jobs, left);
  ReadList(r.getWorkers(), v.workers, left);
}

}  // namespace mangoplank::wire
