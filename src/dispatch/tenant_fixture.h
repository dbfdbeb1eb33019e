#ifndef MANGOPLANK_SRC_DISPATCH_TENANT_FIXTURE_H_
#define MANGOPLANK_SRC_DISPATCH_TENANT_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {

/// A dispatcher with jobs of tenants.
class TenantTest : public DispatcherTest {
 protected:
  /// Declares the tenants, each with its cap in processors, under the next
  /// version of the catalog. A cap of 0 is no limit.
  void DeclareCaps(std::vector<std::pair<std::string, std::int64_t>> caps) {
    workflow::catalog catalog = event_log_.state.Catalog();
    ++catalog.version;
    catalog.tenants.emplace();
    for (const auto& [name, cpu] : caps) {
      tenancy::terms terms{name, 1, {cpu, 0, 0}};
      catalog.tenants->push_back({terms, {tenancy::Digest(name)}});
    }
    event_log_.Apply(workflow::catalog_declared{catalog});
  }

  /// Accepts a job of a declared tenant.
  void SubmitFor(const std::string& tenant, const std::string& id,
                 std::vector<workflow::step> steps,
                 const workflow::queue& queue) {
    workflow::job_spec spec;
    spec.id = id;
    spec.steps = std::move(steps);
    const tenancy::terms terms = *event_log_.state.Tenants().FindByName(tenant);
    dispatcher_->Prepare(spec, queue, terms);
    event_log_.Apply(
        workflow::job_accepted{spec, queue, clock_.WallNow(), terms});
  }

  static workflow::step Gang(std::uint32_t count, std::int64_t cpu) {
    workflow::step step = Step(count, cpu);
    step.gang = true;
    return step;
  }

  /// @return the processors that the runs of a tenant need which the workers
  /// have.
  std::int64_t RunningCpu(const std::string& tenant) const {
    std::int64_t sum = 0;
    for (const auto& [worker, state] : workers_.states) {
      for (const auto& [run, checkpoint] : state.running) {
        const workflow::job* const job = event_log_.state.FindJob(run.task.job);
        if (job == nullptr || job->tenant.name != tenant) continue;
        sum += job->spec.steps[run.task.step].need.cpu_milli;
      }
    }
    return sum;
  }

  /// Ends one run of the job with success.
  void EndOneRun(const std::string& job) {
    for (const auto& [worker, state] : workers_.states) {
      for (const auto& [run, checkpoint] : state.running) {
        if (run.task.job != job) continue;
        return workers_.End(worker, workflow::run_id(run), run_end::kDone);
      }
    }
  }
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_TENANT_FIXTURE_H_
