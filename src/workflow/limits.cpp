#include "mangoplank/workflow/limits.h"

#include <algorithm>

namespace mangoplank::workflow {

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxNameBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '/'; });
}

bool IsTaskCountValid(const job_spec& spec) {
  // Compared before each addition, as counts of 2^31 can add up and multiply to
  // a small number.
  std::size_t tasks = 0;
  for (const step& step : spec.steps) {
    if (step.count > kMaxTasksPerJob - tasks) return false;
    tasks += step.count;
  }
  const std::size_t occurrences = std::max<std::uint32_t>(1, spec.repeat_count);
  return tasks <= kMaxTasksPerJob / occurrences;
}

}  // namespace mangoplank::workflow
