#include "mangoplank/cell/objects.h"

namespace mangoplank::cell {

object_kind KindOf(const object_spec& spec) {
  return std::visit(
      core::overloaded{
          [](const service_spec&) { return object_kind::kService; },
          [](const batch_job_spec&) { return object_kind::kBatchJob; },
          [](const gang_job_spec&) { return object_kind::kGangJob; },
          [](const department_spec&) { return object_kind::kDepartment; },
          [](const worker_spec&) { return object_kind::kWorker; },
          [](const configuration_spec&) { return object_kind::kConfiguration; },
      },
      spec);
}

bool IsFinal(task_phase phase) {
  return phase != task_phase::kWaiting && !HoldsResources(phase);
}

bool HoldsResources(task_phase phase) {
  return phase == task_phase::kAssigned || phase == task_phase::kRunning;
}

}  // namespace mangoplank::cell
