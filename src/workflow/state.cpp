#include "mangoplank/workflow/state.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "mangoplank/workflow/limits.h"

namespace mangoplank::workflow {

namespace {

std::uint32_t CountTasksPerOccurrence(const job_spec& spec) {
  return std::accumulate(
      spec.steps.begin(), spec.steps.end(), std::uint32_t{0},
      [](std::uint32_t sum, const step& step) { return sum + step.count; });
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

auto Address(const queue& queue) {
  return std::tie(queue.host, queue.path_prefix);
}

/// Sound tasks are hit too, by crashes for other reasons, so that two crashes
/// don't show a cause.
constexpr std::uint32_t kMaxCrashes = 4;
/// Workers that are cut off end no task, but some never return after a crash.
constexpr std::uint32_t kMaxLosses = 5;

/// @return whether the task may have caused the loss of its worker.
bool IsSuspicious(run_end ending) {
  return ending == run_end::kUnreachable || ending == run_end::kCrashed ||
         ending == run_end::kCrashedAtStart;
}

void Fail(job& job, job_failure failure) {
  if (IsFinal(job.phase)) return;
  job.phase = job_phase::kFailed;
  job.failure = failure;
}

/// Counts a run that was lost with its worker, and gives the job up if the task
/// is likely to crash each worker that starts it.
/// @param worker_confirmed whether the worker had answered just before the run.
void CountLoss(job& job, task& task, run_end ending, const worker_key& worker,
               bool worker_confirmed) {
  // Suspected without a loss: the last one was not confirmed. A crash at the
  // next start confirms it.
  const bool confirms_last =
      task.suspected && task.losses == 0 && ending == run_end::kCrashedAtStart;
  if (confirms_last) ++task.crashes;
  task.suspected = ending != run_end::kCrashed;
  ++task.losses;
  // A silent worker may be cut off, but hardly each one that had just answered.
  const bool is_silent = ending == run_end::kUnreachable;
  const bool is_crash = !is_silent || worker_confirmed;
  if (is_crash) ++task.crashes;
  if (is_silent) task.silent_losses.push_back({worker, is_crash});
  if (task.crashes >= kMaxCrashes || task.losses >= kMaxLosses) {
    Fail(job, job_failure::kWorkerCrashes);
  }
}

bool HasAssignedRun(const job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const task& task) {
    return task.phase == task_phase::kAssigned;
  });
}

/// Drops the tasks and the payload of a job that is final and has no assigned
/// run. Records are kept for minutes, and there may be thousands of them.
void DropTasks(job& job) {
  if (!IsFinal(job.phase)) return;
  if (HasAssignedRun(job)) return;
  job.tasks = {};
  job.unfinished_tasks = {};
  job.spec.payload = {};
}

}  // namespace

std::optional<std::size_t> job::FindTaskIndex(const task_id& id) const {
  if (tasks.empty() || id.occurrence >= CountOccurrences() ||
      id.step >= spec.steps.size() || id.index >= spec.steps[id.step].count) {
    return std::nullopt;
  }
  std::size_t index =
      std::size_t{id.occurrence} * CountTasksPerOccurrence(spec);
  for (std::uint32_t step = 0; step < id.step; ++step) {
    index += spec.steps[step].count;
  }
  return index + id.index;
}

std::uint32_t job::CountAttempts(const task_id& id) const {
  const step& step = spec.steps[id.step];
  const std::size_t index = *FindTaskIndex(id);
  if (!step.gang) return tasks[index].failures;
  const auto first = tasks.begin() + static_cast<std::ptrdiff_t>(index) -
                     static_cast<std::ptrdiff_t>(id.index);
  return std::accumulate(first, first + step.count, std::uint32_t{0},
                         [](std::uint32_t sum, const task& member) {
                           return sum + member.failures;
                         });
}

bool job::IsStepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& earlier = spec.steps[step].depends_on;
  return std::all_of(
      earlier.begin(), earlier.end(), [&](std::uint32_t dependency) {
        return unfinished_tasks[StepIndex(occurrence, dependency)] == 0;
      });
}

void state::Apply(const event& event) {
  std::visit([this](const auto& alternative) { On(alternative); }, event);
}

void state::On(const catalog_declared& event) {
  if (event.catalog.version <= catalog_.version) return;
  catalog_ = event.catalog;
  IndexCatalog();
  UpdateTenants();
}

void state::UpdateTenants() {
  if (tenants_.Tenants().empty()) return;
  for (auto& [id, job] : jobs_) {
    const tenancy::terms* const declared = tenants_.FindByName(job.tenant.name);
    if (declared != nullptr) job.tenant = *declared;
  }
}

void state::IndexCatalog() {
  tenants_ = catalog_.tenants ? tenancy::directory(*catalog_.tenants)
                              : tenancy::directory();
  queues_by_address_.resize(catalog_.queues.size());
  std::iota(queues_by_address_.begin(), queues_by_address_.end(), 0);
  std::sort(queues_by_address_.begin(), queues_by_address_.end(),
            [this](std::size_t a, std::size_t b) {
              return Address(catalog_.queues[a]) < Address(catalog_.queues[b]);
            });
}

void state::On(const job_accepted& event) {
  // Every member would run out of memory, at every start.
  if (!IsTaskCountValid(event.spec)) return;
  const auto [it, added] = jobs_.try_emplace(event.spec.id);
  if (!added) return;
  job& job = it->second;
  job.spec = event.spec;
  job.queue = event.queue;
  job.accepted_at = event.accepted_at;
  // A catalog may have been recorded since the caller was authenticated.
  const tenancy::terms* const declared = tenants_.FindByName(event.tenant.name);
  job.tenant = declared == nullptr ? event.tenant : *declared;
  job.tasks.resize(std::size_t{job.CountOccurrences()} *
                   CountTasksPerOccurrence(job.spec));
  for (std::uint32_t occurrence = 0; occurrence < job.CountOccurrences();
       ++occurrence) {
    for (const step& step : job.spec.steps) {
      job.unfinished_tasks.push_back(step.count);
    }
  }
  index_.Update(job);
}

void state::On(const job_cancelled& event) {
  const auto it = jobs_.find(event.job);
  if (it == jobs_.end() || IsFinal(it->second.phase)) return;
  it->second.phase = job_phase::kCancelled;
  DropTasks(it->second);
  index_.Update(it->second);
}

void state::On(const run_assigned& event) {
  const auto it = jobs_.find(event.run.task.job);
  if (it == jobs_.end() || IsFinal(it->second.phase)) return;
  const auto task_index = it->second.FindTaskIndex(event.run.task);
  if (!task_index || FindWorker(event.worker) == nullptr) return;
  task& task = it->second.tasks[*task_index];
  // Members of a gang share a run number, so that a member may skip numbers.
  if (task.phase != task_phase::kWaiting || event.run.number <= task.last_run) {
    return;
  }
  task.phase = task_phase::kAssigned;
  task.last_run = event.run.number;
  task.worker = event.worker;
  task.worker_confirmed = event.worker_confirmed;
}

void state::On(const job_started& event) {
  const auto it = jobs_.find(event.job);
  if (it == jobs_.end() || it->second.phase != job_phase::kQueued) return;
  it->second.phase = job_phase::kRunning;
  index_.Update(it->second);
}

void state::FinishTask(job& job, const task_id& id) {
  task& task = job.tasks[*job.FindTaskIndex(id)];
  if (task.phase == task_phase::kDone) return;
  task.phase = task_phase::kDone;
  task.checkpoint.clear();
  --job.unfinished_tasks[job.StepIndex(id.occurrence, id.step)];
  const bool all_finished =
      std::all_of(job.unfinished_tasks.begin(), job.unfinished_tasks.end(),
                  [](std::uint32_t n) { return n == 0; });
  if (all_finished && !IsFinal(job.phase)) job.phase = job_phase::kSucceeded;
}

void state::On(const run_ended& event) {
  if (!IsAssigned(event.run)) return;
  job& job = jobs_.find(event.run.task.job)->second;
  const job_phase former_phase = job.phase;
  EndRun(job, event);
  DropTasks(job);
  if (job.phase != former_phase || job.tasks.empty()) index_.Update(job);
}

/// The checkpoint of one member of a gang is valid for all of them, and they
/// resume together only from the same one.
void state::KeepCheckpoint(job& job, const run_ended& event) {
  const step& step = job.spec.steps[event.run.task.step];
  task_id id = event.run.task;
  const std::uint32_t first = step.gang ? 0 : id.index;
  const std::uint32_t last = step.gang ? step.count - 1 : id.index;
  for (id.index = first; id.index <= last; ++id.index) {
    job.tasks[*job.FindTaskIndex(id)].checkpoint = event.checkpoint;
  }
}

void state::EndRun(job& job, const run_ended& event) {
  const step& step = job.spec.steps[event.run.task.step];
  task& task = job.tasks[*job.FindTaskIndex(event.run.task)];
  if (job.phase == job_phase::kQueued && HadStarted(event.ending)) {
    job.phase = job_phase::kRunning;
  }
  const worker_key worker = std::exchange(task.worker, {});
  const bool worker_confirmed = std::exchange(task.worker_confirmed, false);
  task.phase = task_phase::kWaiting;
  if (!event.checkpoint.empty()) KeepCheckpoint(job, event);
  // No evidence against the task, but its next start has to give some.
  if (event.ending == run_end::kLostUnconfirmed) task.suspected = true;
  if (IsSuspicious(event.ending)) {
    return CountLoss(job, task, event.ending, worker, worker_confirmed);
  }
  // A run that ended otherwise may have done so before it crashed its worker.
  if (event.ending == run_end::kLost) task.suspected = false;
  if (HadStarted(event.ending)) {
    // Services run for weeks, in which workers crash for other reasons.
    if (step.long_running) {
      task.crashes = task.losses = 0;
      task.silent_losses.clear();
    }
  }
  if (step.long_running) return;
  if (event.ending == run_end::kDone) {
    if (!step.gang) return FinishTask(job, event.run.task);
    // The tasks of a gang succeed together: the first end finishes all of them.
    task_id member = event.run.task;
    for (member.index = 0; member.index < step.count; ++member.index) {
      FinishTask(job, member);
    }
    return;
  }
  if (event.ending == run_end::kFailed) CountFailure(job, event.run);
}

/// Counts a failed run. A run of a gang is one attempt, however many of its
/// members fail in it.
void state::CountFailure(job& job, const run_id& run) {
  const std::size_t index = *job.FindTaskIndex(run.task);
  const step& step = job.spec.steps[run.task.step];
  const auto has_failed = [&](const task& member) {
    return member.last_failed_run == run.number;
  };
  const auto first = job.tasks.begin() + static_cast<std::ptrdiff_t>(index) -
                     static_cast<std::ptrdiff_t>(run.task.index);
  const bool is_counted =
      step.gang && std::any_of(first, first + step.count, has_failed);
  job.tasks[index].last_failed_run = run.number;
  if (is_counted) return;
  ++job.tasks[index].failures;
  if (job.CountAttempts(run.task) >= QueueOf(job).max_attempts) {
    Fail(job, job_failure::kAttempts);
  }
}

void state::EndRuns(const worker_key& worker) {
  const std::set<std::string>& ids = index_.WithTasks();
  for (auto it = ids.begin(); it != ids.end();) {
    // The job leaves the index if this ends its last run.
    job& job = jobs_.find(*it++)->second;
    for (task& task : job.tasks) {
      if (task.phase != task_phase::kAssigned || task.worker.id != worker.id) {
        continue;
      }
      if (task.worker.incarnation > worker.incarnation) continue;
      task.phase = task_phase::kWaiting;
      task.worker = {};
      task.worker_confirmed = false;
    }
    DropTasks(job);
    if (job.tasks.empty()) index_.Update(job);
  }
}

/// A worker that was only cut off says nothing against the tasks that it had.
void state::TakeBackLosses(const worker_key& returned) {
  for (const std::string& id : index_.WithTasks()) {
    for (task& task : jobs_.find(id)->second.tasks) {
      std::erase_if(task.silent_losses, [&](const silent_loss& loss) {
        if (loss.worker != returned) return false;
        --task.losses;
        if (loss.counted_as_crash) --task.crashes;
        if (task.losses == 0) task.suspected = false;
        return true;
      });
    }
  }
}

void state::On(const worker_announced& event) {
  const auto [it, added] =
      workers_.try_emplace(event.worker.key.id, event.worker);
  if (added) return TakeBackLosses(event.worker.key);
  // A delayed report may be from an earlier incarnation. The runs of that one
  // stay assigned until the leader ends them, as a start order may still reach
  // the new incarnation.
  if (event.worker.key.incarnation >= it->second.key.incarnation) {
    it->second = event.worker;
  }
}

void state::On(const worker_removed& event) {
  const auto it = workers_.find(event.worker.id);
  if (it == workers_.end() || it->second.key != event.worker) return;
  EndRuns(event.worker);
  workers_.erase(it);
}

void state::On(const jobs_pruned& event) {
  for (const std::string& id : event.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !IsFinal(it->second.phase)) continue;
    if (HasAssignedRun(it->second)) continue;
    // A snapshot of earlier code may hold tasks of such a job.
    DropTasks(it->second);
    index_.Update(it->second);
    jobs_.erase(it);
  }
}

const job* state::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const queue& state::QueueOf(const job& job) const {
  const auto it = std::lower_bound(
      queues_by_address_.begin(), queues_by_address_.end(), job.queue,
      [this](std::size_t index, const queue& wanted) {
        return Address(catalog_.queues[index]) < Address(wanted);
      });
  if (it == queues_by_address_.end()) return job.queue;
  const queue& found = catalog_.queues[*it];
  return HaveSameAddress(found, job.queue) ? found : job.queue;
}

const tenancy::terms* state::Authenticate(
    const queue& queue, const std::optional<tenancy::key_digest>& key) const {
  static const tenancy::terms kNoTenant;
  if (!HasTenants() || queue.anonymous) return &kNoTenant;
  return key ? tenants_.FindByKey(*key) : nullptr;
}

const queue* state::Route(const std::string& host,
                          const std::string& path) const {
  const queue* best = nullptr;
  for (const queue& queue : catalog_.queues) {
    if (queue.host != host || !StartsWith(path, queue.path_prefix)) continue;
    const bool is_longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (is_longer) best = &queue;
  }
  return best;
}

const worker* state::FindWorker(const worker_key& key) const {
  const auto it = workers_.find(key.id);
  const bool is_known = it != workers_.end() && it->second.key == key;
  return is_known ? &it->second : nullptr;
}

const worker_key* state::FindAssignedWorker(const run_id& run) const {
  const job* const job = FindJob(run.task.job);
  if (job == nullptr) return nullptr;
  const auto task_index = job->FindTaskIndex(run.task);
  if (!task_index) return nullptr;
  const task& task = job->tasks[*task_index];
  const bool is_assigned =
      task.phase == task_phase::kAssigned && task.last_run == run.number;
  return is_assigned ? &task.worker : nullptr;
}

std::size_t state::CountQueued(const workflow::queue& queue) const {
  return index_.Queued(queue).size();
}

std::size_t state::CountOnlyAssigned(const workflow::queue& queue) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      index_.Queued(queue), [this](const std::string& id) {
        return HasAssignedRun(jobs_.find(id)->second);
      }));
}

state::image state::Image() const {
  image image;
  image.catalog = catalog_;
  for (const auto& [id, job] : jobs_) image.jobs.push_back(job);
  for (const auto& [id, worker] : workers_) image.workers.push_back(worker);
  return image;
}

state state::FromImage(const image& image) {
  state restored;
  restored.catalog_ = image.catalog;
  restored.IndexCatalog();
  for (const job& job : image.jobs) {
    restored.jobs_.emplace(job.spec.id, job);
    restored.index_.Update(job);
  }
  for (const worker& worker : image.workers) {
    restored.workers_.emplace(worker.key.id, worker);
  }
  return restored;
}

}  // namespace mangoplank::workflow
