#include <fmt/format.h>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

std::string Cores(std::int64_t milli) {
  return fmt::format("{:g} cores", static_cast<double>(milli) / 1000);
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
  if (j->unsatisfiable) {
    for (const shortage& s : j->shortages) {
      e.lines.push_back("Cannot run: " + Describe(s) + ".");
    }
    return e;
  }
  if (j->not_before > now) {
    const auto left =
        std::chrono::duration_cast<core::milliseconds>(j->not_before - now);
    e.lines.push_back(
        fmt::format("Delayed for {} ms after {} failures in a row.",
                    left.count(), j->failures_in_row));
  }
  return e;
}

}  // namespace mangoplank::placement
