#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

std::string Cores(std::int64_t milli) {
  return fmt::format("{:g} cores", static_cast<double>(milli) / 1000);
}

std::int64_t Milliseconds(core::duration d) {
  return std::chrono::duration_cast<core::milliseconds>(d).count();
}

}  // namespace

std::string Describe(const shortage& s) {
  switch (s.k) {
    case shortage::kind::kCpu:
      return fmt::format("a task needs {}, the largest worker has {}",
                         Cores(s.need), Cores(s.most));
    case shortage::kind::kMemory:
      return fmt::format("a task needs {} MiB, the largest worker has {} MiB",
                         s.need, s.most);
    case shortage::kind::kAccelerators:
      return fmt::format(
          "a task needs {} accelerators, the largest worker has {}", s.need,
          s.most);
    case shortage::kind::kCombination:
      return "no worker has all that a task needs together";
    case shortage::kind::kRegion:
      return "there are no workers in the required region";
    case shortage::kind::kGangSize:
      return fmt::format(
          "{} tasks must run together, the empty cell holds {} at a time",
          s.need, s.most);
  }
  return "unknown shortage";
}

explanation scheduler::impl::Explain(const cell::object_key& key,
                                     core::time_point now) const {
  const job* j = jobs_.FindByKey(key);
  if (j == nullptr) return {{"The job is not known or has ended."}};
  explanation e;
  e.lines.push_back(fmt::format("{} waiting, {} being placed, {} placed.",
                                j->waiting, j->promised, j->held));
  if (j->waiting == 0) return e;
  if (!j->declared) {
    e.lines.emplace_back("The job is deleted; its tasks are ending.");
    return e;
  }
  if (j->unsatisfiable) {
    for (const shortage& s : j->shortages) {
      e.lines.emplace_back("Cannot run: " + Describe(s) + ".");
    }
    return e;
  }
  ExplainDelays(*j, now, e);
  ExplainDepartment(*j, e);
  ExplainRoom(*j, now, e);
  return e;
}

void scheduler::impl::ExplainDelays(const job& j, core::time_point now,
                                    explanation& e) const {
  if (j.not_before > now) {
    e.lines.emplace_back(
        fmt::format("Delayed for {} more ms, because its tasks failed on {} "
                    "workers and none has succeeded since.",
                    Milliseconds(j.not_before - now), j.failed_on.size()));
  }
  const department& d = departments_.At(j.department);
  const bool retries =
      std::any_of(j.tasks.begin(), j.tasks.end(), [](const task_slot& t) {
        return t.state == slot_state::kWaiting && t.failures > 0;
      });
  if (retries && d.retry_tokens < 1) {
    e.lines.emplace_back(
        fmt::format("The department has used up its restarts of failed tasks; "
                    "it gains {:g} per second.",
                    policy_.retry_rate));
  }
}

void scheduler::impl::ExplainDepartment(const job& j, explanation& e) const {
  const department& d = departments_.At(j.department);
  const auto at = d.queue.find(j.order);
  const auto ahead = std::distance(d.queue.begin(), at);
  if (j.in_queue && ahead > 0) {
    e.lines.emplace_back(
        fmt::format("{} jobs of the department come before it.", ahead));
  }
  if (!departments_.WithinQuota(j.department, j.need)) {
    e.lines.emplace_back(
        "The department's quota is used up; the job can only run on idle room "
        "that is lent, and may be stopped again when its owner needs it.");
  }
}

void scheduler::impl::ExplainRoom(const job& j, core::time_point now,
                                  explanation& e) const {
  worker_query q = QueryFor(j, j.need);
  std::int64_t anywhere = 0;
  std::int64_t at_home = 0;
  for (std::int32_t w = 0; w < static_cast<std::int32_t>(pool_.Size()); ++w) {
    const worker& n = pool_.At(w);
    if (!pool_.Fits(n, q)) continue;
    ++anywhere;
    at_home += n.region == q.home;
  }
  if (anywhere == 0) {
    e.lines.emplace_back("No worker has room for one of its tasks now.");
  } else if (q.home != kNone && at_home == 0 && !MayCross(j, now)) {
    e.lines.emplace_back(
        "No worker in the region of its other tasks has room; it will use "
        "another region if it waits longer.");
  } else if (std::holds_alternative<gang_work>(j.w)) {
    e.lines.push_back(fmt::format(
        "{} workers have room for one of its tasks, but {} tasks must start "
        "together.",
        anywhere, j.waiting));
  } else {
    e.lines.emplace_back(
        fmt::format("{} workers have room for one of its tasks; it waits for "
                    "its turn by share and order.",
                    anywhere));
  }
  if (!j.pledges.empty()) {
    e.lines.push_back(fmt::format("Room is being freed for it on {} workers.",
                                  j.pledges.size()));
  }
  if (reservation_ && reservation_->job == j.uid) {
    e.lines.push_back(fmt::format(
        "{} workers are reserved for it for {} more ms.",
        reservation_->workers.size(), Milliseconds(reservation_->until - now)));
  }
  if (health_.Quarantined() > 0) {
    e.lines.emplace_back(
        fmt::format("{} workers are set aside because tasks of several jobs "
                    "failed on them.",
                    health_.Quarantined()));
  }
}

}  // namespace mangoplank::placement
