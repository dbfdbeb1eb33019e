#include "objective_meter.h"

#include <spdlog/spdlog.h>

#include "mangoplank/report/json.h"

namespace mangoplank::entry {

namespace {

const cell::object_key kObjectives{
    cell::object_kind::kConfiguration, {}, "objectives"};

}  // namespace

objective_meter::objective_meter(calls::runner& inner,
                                 const distribution::view& view,
                                 core::clock& clock, report::source_id id,
                                 core::region_id region)
    : inner_(inner),
      view_(view),
      clock_(clock),
      recorder_(std::move(id), std::move(region)) {}

core::awaitable<calls::call_end> objective_meter::Run(calls::call c) {
  const core::time_point begun = clock_.Now();
  const report::operation_key key{c.department, c.service, c.operation};
  calls::call_end end = co_await inner_.Run(std::move(c));
  recorder_.Add(key, end, clock_.Now() - begun, clock_.WallNow());
  co_return end;
}

core::awaitable<core::outcome<calls::call_end>> objective_meter::Resolve(
    cell::call_key key, core::time_point deadline) {
  co_return co_await inner_.Resolve(std::move(key), deadline);
}

void objective_meter::Refresh() {
  const cell::object* const o = view_.Find(kObjectives);
  // Without the object the objectives end at the revision that shows so.
  const core::revision version = o ? o->version : 0;
  if (version == version_) return;
  version_ = version;
  report::objective_set set{.version = o ? version : view_.At()};
  if (o) {
    const auto& spec = std::get<cell::configuration_spec>(o->spec);
    const auto parsed =
        core::Capture([&] { return report::ParseObjectives(spec); });
    if (!parsed) {
      // The objectives before it stay in force.
      spdlog::warn("objectives: {}", core::Describe(parsed.error()));
      return;
    }
    set.objectives = *parsed;
  }
  recorder_.SetObjectives(std::move(set));
}

std::string objective_meter::Json(const core::department_id& department) const {
  const report::recording all = recorder_.Export(clock_.WallNow());
  if (department.v.empty()) return report::ToJson(all);
  return report::ToJson(report::FilterByDepartment(all, department));
}

}  // namespace mangoplank::entry
