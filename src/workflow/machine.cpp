#include "mangoplank/workflow/machine.h"

#include <spdlog/spdlog.h>

#include "mangoplank/wire/codec.h"

namespace mangoplank::workflow {

void machine::Apply(const consensus::log_entry& entry, bool /*own*/) {
  if (entry.k != consensus::entry_kind::kCommand) return;
  const auto events =
      core::Capture([&] { return wire::DecodeWorkflowEvents(entry.data); });
  if (!events) {
    // Every member rejects the same bytes, so the states stay equal.
    spdlog::error("entry_malformed revision={} error={}", entry.at,
                  core::Describe(events.error()));
    return;
  }
  for (const event& event : *events) {
    state_.Apply(event);
    if (observer_ != nullptr) observer_->OnEvent(event);
  }
}

std::string machine::TakeSnapshot() { return wire::Encode(state_.Image()); }

core::result<void> machine::Restore(std::string_view data,
                                    core::revision /*at*/) {
  const core::failure corrupt = core::storage_failed{
      core::storage_failed::kind::kCorrupt, "snapshot", "can't be decoded"};
  BOOST_LEAF_AUTO(image, wire::DecodeWorkflowImage(data, corrupt));
  state_ = state::FromImage(image);
  if (observer_ != nullptr) observer_->OnRestored();
  return {};
}

void machine::OnLeadership(bool leads, core::term t) {
  if (observer_ != nullptr) observer_->OnLeadership(leads, t);
}

}  // namespace mangoplank::workflow
