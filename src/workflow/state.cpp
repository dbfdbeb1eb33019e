#include "mangoplank/workflow/state.h"

#include <algorithm>
#include <numeric>

namespace mangoplank::workflow {

namespace {

std::uint32_t TasksOfOccurrence(const job_spec& spec) {
  return std::accumulate(
      spec.steps.begin(), spec.steps.end(), std::uint32_t{0},
      [](std::uint32_t sum, const step& s) { return sum + s.count; });
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// @return whether nothing shows that a task of the job has started. A start
/// that was given up is followed by a run of a higher number.
bool IsQueued(const job& j) {
  if (IsFinal(j.phase)) return false;
  return std::none_of(j.tasks.begin(), j.tasks.end(), [](const task& t) {
    const bool first = t.phase == task_phase::kAssigned && t.last_run == 1;
    return first || t.phase == task_phase::kDone || t.failures > 0 ||
           !t.checkpoint.empty();
  });
}

/// Drops what a job needs no more once it is final and no run is assigned. Its
/// record is kept for minutes, and there may be thousands.
void DropTasks(job& j) {
  if (!IsFinal(j.phase)) return;
  const bool runs = std::any_of(
      j.tasks.begin(), j.tasks.end(),
      [](const task& t) { return t.phase == task_phase::kAssigned; });
  if (runs) return;
  j.tasks = {};
  j.left = {};
  j.spec.payload = {};
}

}  // namespace

std::optional<std::size_t> job::TaskAt(const task_id& id) const {
  if (tasks.empty() || id.occurrence >= Occurrences() ||
      id.step >= spec.steps.size() || id.index >= spec.steps[id.step].count) {
    return std::nullopt;
  }
  std::size_t at = std::size_t{id.occurrence} * TasksOfOccurrence(spec);
  for (std::uint32_t s = 0; s < id.step; ++s) at += spec.steps[s].count;
  return at + id.index;
}

bool job::IsStepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& earlier = spec.steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t s) {
    return left[StepAt(occurrence, s)] == 0;
  });
}

void state::Apply(const event& e) {
  std::visit([this](const auto& v) { On(v); }, e);
}

void state::On(const catalog_declared& e) {
  if (e.c.version <= catalog_.version) return;
  catalog_ = e.c;
  IndexQueues();
}

void state::IndexQueues() {
  queue_at_.clear();
  for (std::size_t i = 0; i < catalog_.queues.size(); ++i) {
    queue_at_.emplace(catalog_.queues[i].name, i);
  }
}

void state::On(const job_accepted& e) {
  const auto [it, added] = jobs_.try_emplace(e.spec.id);
  if (!added) return;
  job& j = it->second;
  j.spec = e.spec;
  j.q = e.q;
  j.accepted_at = e.at;
  j.tasks.resize(std::size_t{j.Occurrences()} * TasksOfOccurrence(j.spec));
  for (std::uint32_t k = 0; k < j.Occurrences(); ++k) {
    for (const step& s : j.spec.steps) j.left.push_back(s.count);
  }
}

void state::On(const job_cancelled& e) {
  const auto it = jobs_.find(e.job);
  if (it == jobs_.end() || IsFinal(it->second.phase)) return;
  it->second.phase = job_phase::kCancelled;
  DropTasks(it->second);
}

void state::On(const run_assigned& e) {
  const auto it = jobs_.find(e.run.task.job);
  if (it == jobs_.end() || IsFinal(it->second.phase)) return;
  const auto at = it->second.TaskAt(e.run.task);
  if (!at || FindWorker(e.worker) == nullptr) return;
  task& t = it->second.tasks[*at];
  // Members of a gang share a number, which may skip some.
  if (t.phase != task_phase::kWaiting || e.run.number <= t.last_run) return;
  t.phase = task_phase::kAssigned;
  t.last_run = e.run.number;
  t.where = e.worker;
  if (it->second.phase == job_phase::kQueued) {
    it->second.phase = job_phase::kRunning;
  }
}

void state::Finish(job& j, const task_id& id) {
  task& t = j.tasks[*j.TaskAt(id)];
  if (t.phase == task_phase::kDone) return;
  t.phase = task_phase::kDone;
  t.checkpoint.clear();
  --j.left[j.StepAt(id.occurrence, id.step)];
  const bool all = std::all_of(j.left.begin(), j.left.end(),
                               [](std::uint32_t n) { return n == 0; });
  if (all && !IsFinal(j.phase)) j.phase = job_phase::kSucceeded;
}

void state::On(const run_ended& e) {
  if (!IsAssigned(e.run)) return;
  job& j = jobs_.find(e.run.task.job)->second;
  EndRun(j, e);
  DropTasks(j);
}

void state::EndRun(job& j, const run_ended& e) {
  const step& s = j.spec.steps[e.run.task.step];
  task& t = j.tasks[*j.TaskAt(e.run.task)];
  t.where = {};
  t.phase = task_phase::kWaiting;
  if (!e.checkpoint.empty()) t.checkpoint = e.checkpoint;
  if (s.long_running) return;
  if (e.how == run_end::kDone) {
    if (!s.gang) return Finish(j, e.run.task);
    // The tasks of a gang succeed together: one end stands for all.
    task_id member = e.run.task;
    for (member.index = 0; member.index < s.count; ++member.index) {
      Finish(j, member);
    }
    return;
  }
  if (e.how == run_end::kFailed) {
    ++t.failures;
    const std::uint32_t most = QueueOf(j).max_attempts;
    std::uint32_t failures = t.failures;
    if (s.gang) {
      failures = 0;
      task_id member = e.run.task;
      for (member.index = 0; member.index < s.count; ++member.index) {
        failures += j.tasks[*j.TaskAt(member)].failures;
      }
    }
    if (failures >= most && !IsFinal(j.phase)) j.phase = job_phase::kFailed;
  }
}

void state::EndRuns(const worker_key& w) {
  for (auto& [id, j] : jobs_) {
    for (task& t : j.tasks) {
      if (t.phase != task_phase::kAssigned || t.where.id != w.id) continue;
      if (t.where.born > w.born) continue;
      t.phase = task_phase::kWaiting;
      t.where = {};
    }
    DropTasks(j);
  }
}

void state::On(const worker_announced& e) {
  const auto [it, added] = workers_.try_emplace(e.w.key.id, e.w);
  if (added) return;
  // A report that was held up may come from an earlier life. Runs of that life
  // stay assigned: the leader ends them, as an order to start one may still
  // reach the new life.
  if (e.w.key.born >= it->second.key.born) it->second = e.w;
}

void state::On(const worker_removed& e) {
  const auto it = workers_.find(e.worker.id);
  if (it == workers_.end() || it->second.key != e.worker) return;
  EndRuns(e.worker);
  workers_.erase(it);
}

void state::On(const jobs_forgotten& e) {
  for (const std::string& id : e.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !IsFinal(it->second.phase)) continue;
    const bool runs = std::any_of(
        it->second.tasks.begin(), it->second.tasks.end(),
        [](const task& t) { return t.phase == task_phase::kAssigned; });
    if (!runs) jobs_.erase(it);
  }
}

const job* state::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const queue& state::QueueOf(const job& j) const {
  const auto at = queue_at_.find(j.q.name);
  return at == queue_at_.end() ? j.q : catalog_.queues[at->second];
}

const queue* state::Route(const std::string& host,
                          const std::string& path) const {
  const queue* best = nullptr;
  for (const queue& q : catalog_.queues) {
    if (q.host != host || !StartsWith(path, q.path_prefix)) continue;
    const bool longer =
        best == nullptr || q.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &q;
  }
  return best;
}

const worker* state::FindWorker(const worker_key& key) const {
  const auto it = workers_.find(key.id);
  const bool known = it != workers_.end() && it->second.key == key;
  return known ? &it->second : nullptr;
}

const worker_key* state::PlaceOf(const run_id& run) const {
  const job* const j = FindJob(run.task.job);
  if (j == nullptr) return nullptr;
  const auto at = j->TaskAt(run.task);
  if (!at) return nullptr;
  const task& t = j->tasks[*at];
  const bool is_assigned =
      t.phase == task_phase::kAssigned && t.last_run == run.number;
  return is_assigned ? &t.where : nullptr;
}

std::size_t state::CountQueued(const std::string& queue) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
        return entry.second.q.name == queue && IsQueued(entry.second);
      }));
}

state::image state::Image() const {
  image i;
  i.c = catalog_;
  for (const auto& [id, j] : jobs_) i.jobs.push_back(j);
  for (const auto& [id, w] : workers_) i.workers.push_back(w);
  return i;
}

state state::FromImage(const image& i) {
  state s;
  s.catalog_ = i.c;
  s.IndexQueues();
  for (const job& j : i.jobs) s.jobs_.emplace(j.spec.id, j);
  for (const worker& w : i.workers) s.workers_.emplace(w.key.id, w);
  return s;
}

}  // namespace mangoplank::workflow
