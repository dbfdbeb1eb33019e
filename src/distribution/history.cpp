#include "mangoplank/distribution/history.h"

#include <algorithm>
#include <set>

namespace mangoplank::distribution {

using control::subscribe_request;
using control::topic;
using core::overloaded;

namespace {

bool IsJob(cell::object_kind k) {
  return k == cell::object_kind::kBatchJob || k == cell::object_kind::kGangJob;
}

bool IsOwnedBy(const cell::object_key& key, const core::department_id& d) {
  return key.department == d ||
         (key.kind == cell::object_kind::kDepartment && key.name == d.v);
}

bool Wants(const subscribe_request& f, const cell::object_key& key) {
  if (f.topic == topic::kRouting) return !IsJob(key.kind);
  return IsOwnedBy(key, f.department);
}

bool WantsTask(const subscribe_request& f, const cell::object_key& job) {
  if (f.topic == topic::kRouting)
    return job.kind == cell::object_kind::kService;
  return job.department == f.department;
}

/// @return whether the change belongs to what `f` follows. Removals that do
/// not say whose they are go to all; a follower ignores what it does not know.
bool WantsChange(const subscribe_request& f, const cell::change& c) {
  const bool routing = f.topic == topic::kRouting;
  return std::visit(
      overloaded{
          [&](const cell::object_changed& o) { return Wants(f, o.object.key); },
          [&](const cell::object_deleted& o) { return Wants(f, o.key); },
          [&](const cell::worker_changed&) { return routing; },
          [&](const cell::worker_removed&) { return routing; },
          [&](const cell::task_changed& t) {
            return WantsTask(f, t.record.job);
          },
          [&](const cell::task_removed&) { return true; },
          [&](const cell::call_changed& r) {
            return !routing && r.record.key.department == f.department;
          },
          [&](const cell::call_removed& r) {
            return !routing && r.key.department == f.department;
          }},
      c);
}

/// What a change is about; a later change of the same subject replaces it.
using subject = std::variant<cell::object_key, core::worker_id, cell::task_id,
                             cell::call_key>;

subject SubjectOf(const cell::change& c) {
  return std::visit(
      overloaded{
          [](const cell::object_changed& o) { return subject(o.object.key); },
          [](const cell::object_deleted& o) { return subject(o.key); },
          [](const cell::worker_changed& w) { return subject(w.record.id); },
          [](const cell::worker_removed& w) { return subject(w.id); },
          [](const cell::task_changed& t) { return subject(t.record.id); },
          [](const cell::task_removed& t) { return subject(t.id); },
          [](const cell::call_changed& r) { return subject(r.record.key); },
          [](const cell::call_removed& r) { return subject(r.key); }},
      c);
}

std::size_t ValueBytes(const cell::configuration_spec& spec) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : spec.values) {
    bytes += sizeof(std::pair<std::string, std::string>);
    bytes += key.size() + value.size();
  }
  return bytes;
}

/// @return bytes of the parts of a spec that may be large.
std::size_t LargeBytes(const cell::object_spec& spec) {
  return std::visit(
      overloaded{
          [](const cell::service_spec& s) { return s.program.size(); },
          [](const cell::batch_job_spec& s) { return s.program.size(); },
          [](const cell::gang_job_spec& s) { return s.program.size(); },
          [](const cell::configuration_spec& s) { return ValueBytes(s); },
          [](const auto&) { return std::size_t{0}; }},
      spec);
}

std::size_t EstimatedBytes(const std::vector<cell::change>& changes) {
  std::size_t bytes = 64;
  for (const cell::change& c : changes) {
    bytes += sizeof(cell::change);
    if (const auto* const o = std::get_if<cell::object_changed>(&c)) {
      bytes += LargeBytes(o->object.spec);
    }
    if (const auto* const r = std::get_if<cell::call_changed>(&c)) {
      bytes += r->record.outcome ? r->record.outcome->body.size() : 0;
    }
  }
  return bytes;
}

}  // namespace

void history::Append(core::revision at, std::vector<cell::change> changes) {
  at_ = at;
  if (changes.empty()) return;
  const std::size_t bytes = EstimatedBytes(changes);
  items_.push_back({at, bytes, std::move(changes)});
  bytes_ += bytes;
  while (bytes_ > max_bytes_ && items_.size() > 1) {
    bytes_ -= items_.front().bytes;
    kept_after_ = items_.front().at;
    items_.pop_front();
  }
}

void history::Reset(core::revision at) {
  items_.clear();
  bytes_ = 0;
  at_ = at;
  kept_after_ = at;
}

core::result<control::feed_batch> history::Read(
    const subscribe_request& follower, core::revision from) const {
  if (from < kept_after_) {
    return core::Fail(core::revision_compacted{kept_after_});
  }
  control::feed_batch batch{.feed = follower.feed, .to = at_};
  std::set<subject> seen;
  for (auto it = items_.rbegin(); it != items_.rend() && it->at > from; ++it) {
    for (auto c = it->changes.rbegin(); c != it->changes.rend(); ++c) {
      if (!WantsChange(follower, *c)) continue;
      if (seen.insert(SubjectOf(*c)).second) batch.changes.push_back(*c);
    }
  }
  std::reverse(batch.changes.begin(), batch.changes.end());
  return batch;
}

control::feed_batch FullCopy(const cell::state& s, const subscribe_request& f) {
  control::feed_batch batch{.feed = f.feed, .to = s.Revision(), .reset = true};
  const auto add = [&](cell::change c) {
    if (WantsChange(f, c)) batch.changes.push_back(std::move(c));
  };
  for (const auto& [key, o] : s.Objects()) add(cell::object_changed{o});
  for (const auto& [id, w] : s.Workers()) add(cell::worker_changed{w});
  for (const auto& [id, t] : s.Tasks()) add(cell::task_changed{t});
  for (const auto& [key, c] : s.Calls()) add(cell::call_changed{c});
  return batch;
}

}  // namespace mangoplank::distribution
