#include "health.h"

#include <algorithm>

namespace mangoplank::placement {

namespace {

template <class T>
bool Contains(const std::vector<T>& in, const T& what) {
  return std::find(in.begin(), in.end(), what) != in.end();
}

}  // namespace

health::health(const policy& p, worker_pool& pool) : policy_(p), pool_(pool) {}

health::record& health::Of(std::int32_t w) {
  if (records_.size() <= static_cast<std::size_t>(w)) records_.resize(w + 1);
  return records_[w];
}

bool health::IsBad(const job& j) const {
  return !j.succeeded_once && j.failed_on.size() >= policy_.bad_job_workers;
}

void health::OnFailure(job& j, std::int32_t w, core::time_point now) {
  const bool was_bad = IsBad(j);
  if (!Contains(j.failed_on, w)) {
    if (j.failed_on.size() >= policy_.bad_job_workers) {
      j.failed_on.erase(j.failed_on.begin());
    }
    j.failed_on.push_back(w);
  }
  // Many tasks that fail on one bad worker say little about the job.
  if (j.failed_on.size() >= 2) Delay(j, now);
  if (IsBad(j)) {
    if (!was_bad) {
      for (const std::int32_t other : j.failed_on) Acquit(j.uid, other);
    }
    if (pool_.At(w).quarantined) OnProbeLost(w, now);
    return;
  }
  record& r = Of(w);
  if (!Contains(r.failed, j.uid)) r.failed.push_back(j.uid);
  if (pool_.At(w).quarantined || r.failed.size() >= policy_.quarantine_jobs) {
    Quarantine(w, now);
  }
}

void health::Delay(job& j, core::time_point now) const {
  // Failures of tasks that started before the delay are one failure.
  if (now < j.not_before) return;
  const auto shift = std::min<std::uint32_t>(j.delays, 20);
  const core::milliseconds doubled = policy_.backoff * (1 << shift);
  const core::milliseconds delay = std::min(doubled, policy_.backoff_max);
  j.not_before = now + delay;
  ++j.delays;
}

void health::OnSuccess(job& j, std::int32_t w) {
  j.succeeded_once = true;
  j.delays = 0;
  j.not_before = {};
  j.failed_on.clear();
  record& r = Of(w);
  r.failed.clear();
  r.interval = {};
  if (pool_.At(w).quarantined) Release(w);
}

void health::Acquit(core::revision job, std::int32_t w) {
  record& r = Of(w);
  std::erase(r.failed, job);
  if (pool_.At(w).quarantined && r.failed.size() < policy_.quarantine_jobs) {
    Release(w);
  }
}

void health::Quarantine(std::int32_t w, core::time_point now) {
  record& r = Of(w);
  if (!pool_.At(w).quarantined) {
    ++quarantined_;
    pool_.SetQuarantined(w, true);
  }
  const core::duration first = policy_.probe_after;
  const core::duration most = policy_.probe_after_max;
  r.interval = std::clamp(r.interval * 2, first, most);
  Schedule(w, now + r.interval);
}

void health::Release(std::int32_t w) {
  --quarantined_;
  Unschedule(w);
  pool_.SetQuarantined(w, false);
}

void health::OnRestart(std::int32_t w, core::time_point now) {
  if (pool_.At(w).quarantined) Schedule(w, now);
}

void health::OnProbeLost(std::int32_t w, core::time_point now) {
  if (pool_.At(w).quarantined) Schedule(w, now + Of(w).interval);
}

void health::Schedule(std::int32_t w, core::time_point at) {
  Unschedule(w);
  record& r = Of(w);
  r.probe_at = at;
  r.scheduled = true;
  probes_.insert({at, w});
}

void health::Unschedule(std::int32_t w) {
  record& r = Of(w);
  if (r.scheduled) probes_.erase({r.probe_at, w});
  r.scheduled = false;
}

std::optional<std::int32_t> health::ProbeFor(const worker_query& q,
                                             core::time_point now) const {
  worker_query probe = q;
  probe.probe = true;
  for (const auto& [at, w] : probes_) {
    if (at > now) break;
    if (pool_.Fits(pool_.At(w), probe)) return w;
  }
  return std::nullopt;
}

void health::ProbeStarted(std::int32_t w) { Unschedule(w); }

}  // namespace mangoplank::placement
