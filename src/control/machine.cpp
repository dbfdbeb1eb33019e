#include "mangoplank/control/machine.h"

#include <spdlog/spdlog.h>

#include "mangoplank/wire/codec.h"

namespace mangoplank::control {

namespace {

/// Answers to proposals that ended as commit_unknown are never fetched; they
/// are dropped once this many newer ones are kept.
constexpr std::size_t kMaxKeptAnswers = 10'000;

}  // namespace

machine::machine(boost::asio::any_io_executor executor, core::clock& clock,
                 distribution::history& history)
    : clock_(clock), applied_(std::move(executor), clock), history_(history) {}

core::awaitable<core::outcome<cell::accepted>> machine::Propose(
    consensus::node& node, cell::command command) {
  command.proposed_at = clock_.WallNow();
  const auto revision = co_await node.Propose(wire::Encode(command));
  if (!revision) co_return revision.error();
  auto answer = answers_.extract(*revision);
  if (answer.empty()) co_return core::failure(core::commit_unknown{});
  co_return std::move(answer.mapped());
}

void machine::StoreAnswer(core::revision revision,
                          core::outcome<cell::accepted> answer) {
  answers_.emplace(revision, std::move(answer));
  if (answers_.size() > kMaxKeptAnswers) answers_.erase(answers_.begin());
}

void machine::Apply(const consensus::log_entry& entry, bool own) {
  if (entry.kind != consensus::entry_kind::kCommand) {
    history_.Append(entry.revision, {});
    applied_.NotifyAll();
    return;
  }
  const auto command =
      core::Capture([&] { return wire::DecodeCommand(entry.data); });
  if (!command) {
    // Every member rejects the same bytes, so their states stay equal.
    spdlog::error("revision {}: {}", entry.revision,
                  core::Describe(command.error()));
    if (own) StoreAnswer(entry.revision, command.error());
    return;
  }
  cell::effect effect = state_.Apply(entry.revision, *command);
  if (observer_ && !effect.changes.empty())
    observer_->OnChanges(effect.changes);
  history_.Append(entry.revision, std::move(effect.changes));
  if (own) StoreAnswer(entry.revision, std::move(effect.answer));
  applied_.NotifyAll();
}

std::string machine::TakeSnapshot() { return wire::Encode(state_.Image()); }

core::result<void> machine::Restore(std::string_view data,
                                    core::revision revision) {
  const core::failure corrupt = core::storage_failed{
      core::storage_failed::kind::kCorrupt, "snapshot", "can't be decoded"};
  BOOST_LEAF_AUTO(image, wire::DecodeStateImage(data, corrupt));
  state_ = cell::state::FromImage(image);
  history_.Reset(revision);
  if (observer_) observer_->OnRestored();
  applied_.NotifyAll();
  return {};
}

void machine::OnLeadershipChange(bool leads, core::term t) {
  if (observer_) observer_->OnLeadershipChange(leads, t);
}

}  // namespace mangoplank::control
