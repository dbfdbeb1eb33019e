#include "mangoplank/control/machine.h"

#include <spdlog/spdlog.h>

#include "mangoplank/wire/codec.h"

namespace mangoplank::control {

namespace {

/// Answers that nobody took, of proposals that ended as unknown, are dropped
/// once this many newer ones are kept.
constexpr std::size_t kMaxKeptAnswers = 10'000;

}  // namespace

machine::machine(boost::asio::any_io_executor executor, core::clock& clock,
                 distribution::history& history)
    : clock_(clock), applied_(std::move(executor), clock), history_(history) {}

core::awaitable<core::outcome<cell::accepted>> machine::Propose(
    consensus::node& node, cell::command c) {
  c.proposed_at = clock_.WallNow();
  const auto at = co_await node.Propose(wire::Encode(c));
  if (!at) co_return at.error();
  auto taken = answers_.extract(*at);
  if (taken.empty()) co_return core::failure(core::commit_unknown{});
  co_return std::move(taken.mapped());
}

void machine::Keep(core::revision at, core::outcome<cell::accepted> answer) {
  answers_.emplace(at, std::move(answer));
  if (answers_.size() > kMaxKeptAnswers) answers_.erase(answers_.begin());
}

void machine::Apply(const consensus::log_entry& entry, bool own) {
  if (entry.k != consensus::entry_kind::kCommand) {
    history_.Append(entry.at, {});
    applied_.NotifyAll();
    return;
  }
  const auto command =
      core::Capture([&] { return wire::DecodeCommand(entry.data); });
  if (!command) {
    // Every member refuses the same bytes, so their states stay equal.
    spdlog::error("revision {}: {}", entry.at, core::Describe(command.error()));
    if (own) Keep(entry.at, command.error());
    return;
  }
  cell::effect e = state_.Apply(entry.at, *command);
  if (observer_ && !e.changes.empty()) observer_->OnChanges(e.changes);
  history_.Append(entry.at, std::move(e.changes));
  if (own) Keep(entry.at, std::move(e.answer));
  applied_.NotifyAll();
}

std::string machine::TakeSnapshot() { return wire::Encode(state_.Image()); }

core::result<void> machine::Restore(std::string_view data, core::revision at) {
  const core::failure corrupt = core::storage_failed{
      core::storage_failed::kind::kCorrupt, "snapshot", "can't be decoded"};
  BOOST_LEAF_AUTO(image, wire::DecodeStateImage(data, corrupt));
  state_ = cell::state::FromImage(image);
  history_.Reset(at);
  if (observer_) observer_->OnRestored();
  applied_.NotifyAll();
  return {};
}

void machine::OnLeadership(bool leads, core::term t) {
  if (observer_) observer_->OnLeadership(leads, t);
}

}  // namespace mangoplank::control
