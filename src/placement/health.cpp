#include "health.h"

#include <algorithm>

namespace mangoplank::placement {

namespace {

template <class T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

health::health(const placement::policy& policy, worker_pool& pool)
    : policy_(policy), pool_(pool) {}

health::record& health::RecordOf(std::int32_t worker) {
  if (records_.size() <= static_cast<std::size_t>(worker)) {
    records_.resize(worker + 1);
  }
  return records_[worker];
}

bool health::IsFaulty(const job_entry& job) const {
  return !job.has_succeeded &&
         job.failed_workers.size() >= policy_.faulty_job_min_workers;
}

void health::OnFailure(job_entry& job, std::int32_t worker,
                       core::time_point now) {
  const bool was_faulty = IsFaulty(job);
  if (!Contains(job.failed_workers, worker)) {
    if (job.failed_workers.size() >= policy_.faulty_job_min_workers) {
      job.failed_workers.erase(job.failed_workers.begin());
    }
    job.failed_workers.push_back(worker);
  }
  // Many failures on one faulty worker say little about the job.
  if (job.failed_workers.size() >= 2) DelayJob(job, now);
  if (IsFaulty(job)) {
    if (!was_faulty) {
      for (const std::int32_t other : job.failed_workers) {
        RemoveFailure(job.uid, other);
      }
    }
    if (pool_.At(worker).quarantined) OnProbeInconclusive(worker, now);
    return;
  }
  record& state = RecordOf(worker);
  if (!Contains(state.failed_jobs, job.uid)) {
    state.failed_jobs.push_back(job.uid);
  }
  if (pool_.At(worker).quarantined ||
      state.failed_jobs.size() >= policy_.quarantine_min_jobs) {
    Quarantine(worker, now);
  }
}

void health::DelayJob(job_entry& job, core::time_point now) const {
  // Failures of tasks that started before the current delay count as one.
  if (now < job.not_before) return;
  const auto shift = std::min<std::uint32_t>(job.backoff_count, 20);
  const core::milliseconds doubled = policy_.initial_backoff * (1 << shift);
  const core::milliseconds delay = std::min(doubled, policy_.max_backoff);
  job.not_before = now + delay;
  ++job.backoff_count;
}

void health::OnSuccess(job_entry& job, std::int32_t worker) {
  job.has_succeeded = true;
  job.backoff_count = 0;
  job.not_before = {};
  job.failed_workers.clear();
  record& state = RecordOf(worker);
  state.failed_jobs.clear();
  state.probe_interval = {};
  if (pool_.At(worker).quarantined) EndQuarantine(worker);
}

void health::RemoveFailure(core::revision job, std::int32_t worker) {
  record& state = RecordOf(worker);
  std::erase(state.failed_jobs, job);
  if (pool_.At(worker).quarantined &&
      state.failed_jobs.size() < policy_.quarantine_min_jobs) {
    EndQuarantine(worker);
  }
}

void health::Quarantine(std::int32_t worker, core::time_point now) {
  record& state = RecordOf(worker);
  if (!pool_.At(worker).quarantined) {
    ++quarantined_count_;
    pool_.SetQuarantined(worker, true);
  }
  const core::duration min_interval = policy_.initial_probe_delay;
  const core::duration max_interval = policy_.max_probe_delay;
  state.probe_interval =
      std::clamp(state.probe_interval * 2, min_interval, max_interval);
  ScheduleProbe(worker, now + state.probe_interval);
}

void health::EndQuarantine(std::int32_t worker) {
  --quarantined_count_;
  CancelProbe(worker);
  pool_.SetQuarantined(worker, false);
}

void health::OnRestart(std::int32_t worker, core::time_point now) {
  if (pool_.At(worker).quarantined) ScheduleProbe(worker, now);
}

void health::OnProbeInconclusive(std::int32_t worker, core::time_point now) {
  if (pool_.At(worker).quarantined) {
    ScheduleProbe(worker, now + RecordOf(worker).probe_interval);
  }
}

void health::ScheduleProbe(std::int32_t worker, core::time_point at) {
  CancelProbe(worker);
  record& state = RecordOf(worker);
  state.probe_at = at;
  state.probe_scheduled = true;
  probes_.insert({at, worker});
}

void health::CancelProbe(std::int32_t worker) {
  record& state = RecordOf(worker);
  if (state.probe_scheduled) probes_.erase({state.probe_at, worker});
  state.probe_scheduled = false;
}

std::optional<std::int32_t> health::FindProbeWorker(
    const worker_query& query, core::time_point now) const {
  worker_query probe_query = query;
  probe_query.is_probe = true;
  for (const auto& [probe_at, worker] : probes_) {
    if (probe_at > now) break;
    if (pool_.Fits(pool_.At(worker), probe_query)) return worker;
  }
  return std::nullopt;
}

void health::OnProbeStarted(std::int32_t worker) { CancelProbe(worker); }

}  // namespace mangoplank::placement
