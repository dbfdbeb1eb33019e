#include "mangoplank/distribution/history.h"

#include <algorithm>
#include <set>

namespace mangoplank::distribution {

using control::subscribe_request;
using control::topic;
using core::overloaded;

namespace {

bool IsJob(cell::object_kind kind) {
  return kind == cell::object_kind::kBatchJob ||
         kind == cell::object_kind::kGangJob;
}

bool IsOwnedBy(const cell::object_key& key,
               const core::department_id& department) {
  return key.department == department ||
         (key.kind == cell::object_kind::kDepartment &&
          key.name == department.v);
}

bool Covers(const subscribe_request& subscription,
            const cell::object_key& key) {
  if (subscription.topic == topic::kRouting) return !IsJob(key.kind);
  return IsOwnedBy(key, subscription.department);
}

bool CoversTask(const subscribe_request& subscription,
                const cell::object_key& job) {
  if (subscription.topic == topic::kRouting) {
    return job.kind == cell::object_kind::kService;
  }
  return job.department == subscription.department;
}

/// @return whether the change belongs to the subscription. A removal without a
/// department goes to all subscribers, which ignore unknown ids.
bool CoversChange(const subscribe_request& subscription,
                  const cell::change& change) {
  const bool routing = subscription.topic == topic::kRouting;
  return std::visit(
      overloaded{[&](const cell::object_changed& o) {
                   return Covers(subscription, o.object.key);
                 },
                 [&](const cell::object_deleted& o) {
                   return Covers(subscription, o.key);
                 },
                 [&](const cell::worker_changed&) { return routing; },
                 [&](const cell::worker_removed&) { return routing; },
                 [&](const cell::task_changed& t) {
                   return CoversTask(subscription, t.record.job);
                 },
                 [&](const cell::task_removed&) { return true; },
                 [&](const cell::call_changed& r) {
                   return !routing &&
                          r.record.key.department == subscription.department;
                 },
                 [&](const cell::call_removed& r) {
                   return !routing &&
                          r.key.department == subscription.department;
                 }},
      change);
}

/// Identity of what changed; a later change with the same key replaces it.
using change_key = std::variant<cell::object_key, core::worker_id,
                                cell::task_id, cell::call_key>;

change_key KeyOf(const cell::change& change) {
  return std::visit(
      overloaded{
          [](const cell::object_changed& o) {
            return change_key(o.object.key);
          },
          [](const cell::object_deleted& o) { return change_key(o.key); },
          [](const cell::worker_changed& w) { return change_key(w.record.id); },
          [](const cell::worker_removed& w) { return change_key(w.id); },
          [](const cell::task_changed& t) { return change_key(t.record.id); },
          [](const cell::task_removed& t) { return change_key(t.id); },
          [](const cell::call_changed& r) { return change_key(r.record.key); },
          [](const cell::call_removed& r) { return change_key(r.key); }},
      change);
}

std::size_t CountValueBytes(const cell::configuration_spec& spec) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : spec.values) {
    bytes += sizeof(std::pair<std::string, std::string>);
    bytes += key.size() + value.size();
  }
  return bytes;
}

/// @return size of the parts of a spec that may be large.
std::size_t CountLargeBytes(const cell::object_spec& spec) {
  return std::visit(
      overloaded{
          [](const cell::service_spec& s) { return s.program.size(); },
          [](const cell::batch_job_spec& s) { return s.program.size(); },
          [](const cell::gang_job_spec& s) { return s.program.size(); },
          [](const cell::configuration_spec& s) { return CountValueBytes(s); },
          [](const auto&) { return std::size_t{0}; }},
      spec);
}

std::size_t EstimateBytes(const std::vector<cell::change>& changes) {
  std::size_t bytes = 64;
  for (const cell::change& change : changes) {
    bytes += sizeof(cell::change);
    if (const auto* const o = std::get_if<cell::object_changed>(&change)) {
      bytes += CountLargeBytes(o->object.spec);
    }
    if (const auto* const r = std::get_if<cell::call_changed>(&change)) {
      bytes += r->record.outcome ? r->record.outcome->body.size() : 0;
    }
  }
  return bytes;
}

}  // namespace

void history::Append(core::revision revision,
                     std::vector<cell::change> changes) {
  revision_ = revision;
  if (changes.empty()) return;
  const std::size_t bytes = EstimateBytes(changes);
  entries_.push_back({revision, bytes, std::move(changes)});
  bytes_ += bytes;
  while (bytes_ > max_bytes_ && entries_.size() > 1) {
    bytes_ -= entries_.front().bytes;
    compacted_revision_ = entries_.front().revision;
    entries_.pop_front();
  }
}

void history::Reset(core::revision revision) {
  entries_.clear();
  bytes_ = 0;
  revision_ = revision;
  compacted_revision_ = revision;
}

core::result<control::feed_batch> history::Read(
    const subscribe_request& subscription, core::revision from) const {
  if (from < compacted_revision_) {
    return core::Fail(core::revision_compacted{compacted_revision_});
  }
  control::feed_batch batch{.feed = subscription.feed, .to = revision_};
  std::set<change_key> seen;
  for (auto it = entries_.rbegin();
       it != entries_.rend() && it->revision > from; ++it) {
    for (auto change = it->changes.rbegin(); change != it->changes.rend();
         ++change) {
      if (!CoversChange(subscription, *change)) continue;
      if (seen.insert(KeyOf(*change)).second) batch.changes.push_back(*change);
    }
  }
  std::reverse(batch.changes.begin(), batch.changes.end());
  return batch;
}

control::feed_batch BuildFullCopy(const cell::state& state,
                                  const subscribe_request& subscription) {
  control::feed_batch batch{
      .feed = subscription.feed, .to = state.Revision(), .reset = true};
  const auto add = [&](cell::change change) {
    if (CoversChange(subscription, change)) {
      batch.changes.push_back(std::move(change));
    }
  };
  for (const auto& [key, o] : state.Objects()) add(cell::object_changed{o});
  for (const auto& [id, w] : state.Workers()) add(cell::worker_changed{w});
  for (const auto& [id, t] : state.Tasks()) add(cell::task_changed{t});
  for (const auto& [key, call] : state.Calls()) add(cell::call_changed{call});
  return batch;
}

}  // namespace mangoplank::distribution
