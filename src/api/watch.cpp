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

/// Size at which the rendered lines of a batch are sent before more follow.
constexpr std::size_t kMinPieceBytes = 64 * 1024;

std::string SerializeLine(const json::object& line) {
  return json::serialize(line) + "\n";
}

json::object MakeEvent(std::string_view type) {
  json::object o;
  o["type"] = json::string(type);
  return o;
}

std::string RenderObjectLine(const cell::object& object) {
  json::object o = MakeEvent("changed");
  o["object"] = WriteObject(object);
  return SerializeLine(o);
}

std::string RenderDeletedLine(const cell::object_key& key) {
  json::object o = MakeEvent("deleted");
  o["object"] = WriteKey(key);
  return SerializeLine(o);
}

std::string RenderTaskLine(const cell::task_record& task) {
  json::object o = MakeEvent("task");
  o["of"] = WriteKey(task.job);
  o["task"] = WriteTask(task);
  return SerializeLine(o);
}

std::string RenderTaskRemovedLine(const cell::object_key& job,
                                  const cell::task_id& id) {
  json::object o = MakeEvent("task_removed");
  o["of"] = WriteKey(job);
  o["task"] = json::object{{"job", id.job}, {"index", id.index}};
  return SerializeLine(o);
}

std::string RenderWorkerLine(const cell::worker_record& worker) {
  json::object o = MakeEvent("worker");
  o["name"] = worker.id.v;
  o["worker"] = WriteWorker(worker);
  return SerializeLine(o);
}

std::string RenderWorkerRemovedLine(const core::worker_id& id) {
  json::object o = MakeEvent("worker_removed");
  o["name"] = id.v;
  return SerializeLine(o);
}

std::string RenderProgressLine(core::revision revision) {
  json::object o = MakeEvent("progress");
  o["revision"] = revision;
  return SerializeLine(o);
}

}  // namespace

watch_stream::watch_stream(std::unique_ptr<control::feed> feed,
                           control::feed_batch first, watch_filter filter,
                           watch_limits limits, core::clock& clock,
                           std::shared_ptr<void> watch_slot)
    : feed_(std::move(feed)),
      pending_(std::move(first)),
      filter_(std::move(filter)),
      limits_(std::move(limits)),
      clock_(clock),
      watch_slot_(std::move(watch_slot)),
      last_batch_(clock.Now()) {}

std::string watch_stream::RenderChange(const cell::change& change) {
  const cell::object_key worker_key{cell::object_kind::kWorker, {}, ""};
  const auto watches_worker = [&](const core::worker_id& id) {
    return filter_.kind == worker_key.kind &&
           (filter_.name.empty() || filter_.name == id.v);
  };
  return std::visit(
      overloaded{
          [&](const cell::object_changed& o) {
            return filter_.Matches(o.object.key) ? RenderObjectLine(o.object)
                                                 : "";
          },
          [&](const cell::object_deleted& o) {
            return filter_.Matches(o.key) ? RenderDeletedLine(o.key) : "";
          },
          [&](const cell::task_changed& t) -> std::string {
            if (!filter_.Matches(t.record.job)) return "";
            jobs_[t.record.id.job] = t.record.job;
            return RenderTaskLine(t.record);
          },
          [&](const cell::task_removed& t) -> std::string {
            const auto it = jobs_.find(t.id.job);
            return it == jobs_.end() ? ""
                                     : RenderTaskRemovedLine(it->second, t.id);
          },
          [&](const cell::worker_changed& w) {
            return watches_worker(w.record.id) ? RenderWorkerLine(w.record)
                                               : "";
          },
          [&](const cell::worker_removed& w) {
            return watches_worker(w.id) ? RenderWorkerRemovedLine(w.id) : "";
          },
          [](const cell::call_changed&) { return std::string(); },
          [](const cell::call_removed&) { return std::string(); }},
      change);
}

std::string watch_stream::RenderNextLines() {
  const control::feed_batch& batch = *pending_;
  std::string out;
  if (batch.reset && next_change_ == 0) {
    jobs_.clear();
    out += SerializeLine(MakeEvent("reset"));
  }
  while (next_change_ < batch.changes.size() && out.size() < kMinPieceBytes) {
    out += RenderChange(batch.changes[next_change_++]);
  }
  has_rendered_lines_ = has_rendered_lines_ || !out.empty();
  if (next_change_ < batch.changes.size()) return out;
  // Progress lines let the client tell an idle watch from a dead connection.
  const core::time_point now = clock_.Now();
  const bool due = now - last_progress_ >= limits_.progress_interval;
  if (has_rendered_lines_ || due) {
    last_progress_ = now;
    out += RenderProgressLine(batch.to);
  }
  pending_.reset();
  next_change_ = 0;
  has_rendered_lines_ = false;
  return out;
}

std::string watch_stream::EndWithError(const core::failure& failure) {
  ended_ = true;
  const problem reason = ProblemOf(failure);
  json::object o = MakeEvent("error");
  o["problem"] = "urn:mangoplank:problem:" + reason.type;
  o["status"] = reason.status;
  o["detail"] = reason.detail;
  return SerializeLine(o);
}

core::awaitable<std::optional<std::string>> watch_stream::Next(
    core::time_point deadline) {
  if (ended_) co_return std::nullopt;
  if (pending_) co_return RenderNextLines();
  auto batch = co_await feed_->Next(deadline);
  if (!limits_.is_authorized()) {
    co_return EndWithError(core::failure(core::unauthenticated{}));
  }
  if (batch) {
    last_batch_ = clock_.Now();
    pending_ = std::move(*batch);
    co_return RenderNextLines();
  }
  const bool may_recover =
      std::holds_alternative<core::unavailable>(batch.error()) ||
      std::holds_alternative<core::deadline_exceeded>(batch.error());
  const bool timed_out = clock_.Now() - last_batch_ >= limits_.feed_timeout;
  if (!may_recover || timed_out) co_return EndWithError(batch.error());
  // Prevents a busy loop if the feed fails at once.
  co_await core::SleepUntil(clock_, deadline);
  co_return std::string();
}

core::awaitable<core::outcome<reply>> watch_handlers::Watch(
    const request_context& context, watch_filter filter, watch_limits limits) {
  const auto from = ReadNumber(context.query, "from", 0, 0,
                               std::numeric_limits<core::revision>::max());
  if (!from) co_return from.error();
  if (*open_watches_ >= max_watches_) {
    co_return core::failure(core::unavailable{"too many watches"});
  }
  ++*open_watches_;
  const std::shared_ptr<void> watch_slot(
      nullptr, [open = open_watches_](void*) { --*open; });
  const control::topic topic = IsDepartmental(filter.kind)
                                   ? control::topic::kDepartment
                                   : control::topic::kRouting;
  auto feed = client_.Subscribe(topic, filter.department, *from);
  auto first = co_await feed->Next(context.deadline);
  if (!first) co_return first.error();

  streamed_response response;
  response.head.headers["content-type"] = "application/jsonl";
  response.head.headers["cache-control"] = "no-store";
  response.body = std::make_unique<watch_stream>(
      std::move(feed), std::move(*first), std::move(filter), std::move(limits),
      clock_, watch_slot);
  co_return reply(std::move(response));
}

}  // namespace mangoplank::api
