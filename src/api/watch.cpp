#include "api/watch.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "api/json_codec.h"
#include "api/problem.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;
using core::overloaded;

/// Length at which the lines of a batch are sent before more are made.
constexpr std::size_t kPieceBytes = 64 * 1024;

std::string Serialize(const json::object& o) {
  return json::serialize(o) + "\n";
}

json::object Event(std::string_view type) {
  json::object o;
  o["type"] = json::string(type);
  return o;
}

std::string ObjectLine(const cell::object& object) {
  json::object o = Event("changed");
  o["object"] = WriteObject(object);
  return Serialize(o);
}

std::string DeletedLine(const cell::object_key& key) {
  json::object o = Event("deleted");
  o["object"] = WriteKey(key);
  return Serialize(o);
}

std::string TaskLine(const cell::task_record& t) {
  json::object o = Event("task");
  o["of"] = WriteKey(t.job);
  o["task"] = WriteTask(t);
  return Serialize(o);
}

std::string TaskRemovedLine(const cell::object_key& job,
                            const cell::task_id& id) {
  json::object o = Event("task_removed");
  o["of"] = WriteKey(job);
  o["task"] = json::object{{"job", id.job}, {"index", id.index}};
  return Serialize(o);
}

std::string WorkerLine(const cell::worker_record& w) {
  json::object o = Event("worker");
  o["name"] = w.id.v;
  o["worker"] = WriteWorker(w);
  return Serialize(o);
}

std::string WorkerRemovedLine(const core::worker_id& id) {
  json::object o = Event("worker_removed");
  o["name"] = id.v;
  return Serialize(o);
}

std::string ProgressLine(core::revision at) {
  json::object o = Event("progress");
  o["revision"] = at;
  return Serialize(o);
}

}  // namespace

watch_stream::watch_stream(std::unique_ptr<control::feed> feed,
                           control::feed_batch first, watch_filter filter,
                           watch_limits limits, core::clock& clock,
                           std::shared_ptr<void> slot)
    : feed_(std::move(feed)),
      pending_(std::move(first)),
      filter_(std::move(filter)),
      limits_(std::move(limits)),
      clock_(clock),
      slot_(std::move(slot)),
      heard_(clock.Now()) {}

std::string watch_stream::Line(const cell::change& c) {
  const cell::object_key worker_key{cell::object_kind::kWorker, {}, ""};
  const auto watches_worker = [&](const core::worker_id& id) {
    return filter_.k == worker_key.kind &&
           (filter_.name.empty() || filter_.name == id.v);
  };
  return std::visit(
      overloaded{
          [&](const cell::object_changed& o) {
            return filter_.Matches(o.object.key) ? ObjectLine(o.object) : "";
          },
          [&](const cell::object_deleted& o) {
            return filter_.Matches(o.key) ? DeletedLine(o.key) : "";
          },
          [&](const cell::task_changed& t) -> std::string {
            if (!filter_.Matches(t.record.job)) return "";
            jobs_[t.record.id.job] = t.record.job;
            return TaskLine(t.record);
          },
          [&](const cell::task_removed& t) -> std::string {
            const auto it = jobs_.find(t.id.job);
            return it == jobs_.end() ? "" : TaskRemovedLine(it->second, t.id);
          },
          [&](const cell::worker_changed& w) {
            return watches_worker(w.record.id) ? WorkerLine(w.record) : "";
          },
          [&](const cell::worker_removed& w) {
            return watches_worker(w.id) ? WorkerRemovedLine(w.id) : "";
          },
          [](const cell::call_changed&) { return std::string(); },
          [](const cell::call_removed&) { return std::string(); }},
      c);
}

std::string watch_stream::TakeLines() {
  const control::feed_batch& batch = *pending_;
  std::string out;
  if (batch.reset && next_change_ == 0) {
    jobs_.clear();
    out += Serialize(Event("reset"));
  }
  while (next_change_ < batch.changes.size() && out.size() < kPieceBytes) {
    out += Line(batch.changes[next_change_++]);
  }
  told_any_ = told_any_ || !out.empty();
  if (next_change_ < batch.changes.size()) return out;
  // Without a line the client could not tell a quiet watch from a dead one.
  const core::time_point now = clock_.Now();
  const bool due = now - told_ >= limits_.progress;
  if (told_any_ || due) {
    told_ = now;
    out += ProgressLine(batch.to);
  }
  pending_.reset();
  next_change_ = 0;
  told_any_ = false;
  return out;
}

std::string watch_stream::End(const core::failure& f) {
  ended_ = true;
  const problem p = ProblemOf(f);
  json::object o = Event("error");
  o["problem"] = "urn:mangoplank:problem:" + p.type;
  o["status"] = p.status;
  o["detail"] = p.detail;
  return Serialize(o);
}

core::awaitable<std::optional<std::string>> watch_stream::Next(
    core::time_point deadline) {
  if (ended_) co_return std::nullopt;
  if (pending_) co_return TakeLines();
  auto batch = co_await feed_->Next(deadline);
  if (!limits_.allowed()) {
    co_return End(core::failure(core::unauthenticated{}));
  }
  if (batch) {
    heard_ = clock_.Now();
    pending_ = std::move(*batch);
    co_return TakeLines();
  }
  const bool may_recover =
      std::holds_alternative<core::unavailable>(batch.error()) ||
      std::holds_alternative<core::deadline_exceeded>(batch.error());
  const bool silent = clock_.Now() - heard_ >= limits_.silence;
  if (!may_recover || silent) co_return End(batch.error());
  // A feed that fails at once must not make this a busy loop.
  co_await core::SleepUntil(clock_, deadline);
  co_return std::string();
}

core::awaitable<core::outcome<reply>> watch_handlers::Watch(
    const exchange& x, watch_filter filter, watch_limits limits) {
  const auto from = ReadNumber(x.query, "from", 0, 0,
                               std::numeric_limits<core::revision>::max());
  if (!from) co_return from.error();
  if (*open_ >= max_watches_) {
    co_return core::failure(core::unavailable{"too many watches"});
  }
  ++*open_;
  const std::shared_ptr<void> slot(nullptr, [open = open_](void*) { --*open; });
  const control::topic topic = IsDepartmental(filter.k)
                                   ? control::topic::kDepartment
                                   : control::topic::kRouting;
  auto feed = client_.Subscribe(topic, filter.department, *from);
  auto first = co_await feed->Next(x.deadline);
  if (!first) co_return first.error();

  streamed_response s;
  s.head.headers["content-type"] = "application/jsonl";
  s.head.headers["cache-control"] = "no-store";
  s.body = std::make_unique<watch_stream>(std::move(feed), std::move(*first),
                                          std::move(filter), std::move(limits),
                                          clock_, slot);
  co_return reply(std::move(s));
}

}  // namespace mangoplank::api
