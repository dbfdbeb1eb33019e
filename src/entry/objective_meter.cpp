#include "objective_meter.h"

#include <spdlog/spdlog.h>

#include "mangoplank/report/json.h"

namespace mangoplank::entry {

namespace {

const cell::object_key kObjectives{
    cell::object_kind::kConfiguration, {}, "objectives"};

}  // namespace

objective_meter::objective_meter(calls::runner& runner,
                                 const distribution::view& view,
                                 core::clock& clock, report::source_id id,
                                 core::region_id region)
    : runner_(runner),
      view_(view),
      clock_(clock),
      recorder_(std::move(id), std::move(region)) {}

core::awaitable<calls::call_end> objective_meter::Run(calls::call call) {
  const core::time_point start = clock_.Now();
  const report::operation_key key{call.department, call.service,
                                  call.operation};
  calls::call_end end = co_await runner_.Run(std::move(call));
  recorder_.Add(key, end, clock_.Now() - start, clock_.WallNow());
  co_return end;
}

core::awaitable<core::outcome<calls::call_end>> objective_meter::Resolve(
    cell::call_key key, core::time_point deadline) {
  co_return co_await runner_.Resolve(std::move(key), deadline);
}

void objective_meter::Refresh() {
  const cell::object* const object = view_.Find(kObjectives);
  // Without the object, an empty set takes effect at the revision of the view.
  const core::revision version = object ? object->version : 0;
  if (version == objectives_version_) return;
  objectives_version_ = version;
  report::objective_set set{.version = object ? version : view_.Revision()};
  if (object) {
    const auto& spec = std::get<cell::configuration_spec>(object->spec);
    const auto parsed =
        core::Capture([&] { return report::ParseObjectives(spec); });
    if (!parsed) {
      // The previous objectives stay in force.
      spdlog::warn("objectives not applied: {}",
                   core::Describe(parsed.error()));
      return;
    }
    set.objectives = *parsed;
  }
  recorder_.SetObjectives(std::move(set));
}

std::string objective_meter::ToJson(
    const core::department_id& department) const {
  const report::recording recording = recorder_.Export(clock_.WallNow());
  if (department.v.empty()) return report::ToJson(recording);
  return report::ToJson(report::FilterByDepartment(recording, department));
}

}  // namespace mangoplank::entry
