#include "wire/convert.h"

/// Conversions of commands, changes and the state image of a cell.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WritePut(const cell::put_object& v, schema::PutObject::Builder b) {
  Write(v.key, b.initKey());
  Write(v.spec, b.initSpec());
  b.setHasExpected(v.expected.has_value());
  b.setExpected(v.expected.value_or(0));
  b.setCreateOnly(v.create_only);
  b.setReplaceOnly(v.replace_only);
}

void ReadPut(schema::PutObject::Reader r, cell::put_object& v, budget& left) {
  Read(r.getKey(), v.key, left);
  Read(r.getSpec(), v.spec, left);
  if (r.getHasExpected()) v.expected = r.getExpected();
  v.create_only = r.getCreateOnly();
  v.replace_only = r.getReplaceOnly();
}

void WriteDelete(const cell::delete_object& v,
                 schema::DeleteObject::Builder b) {
  Write(v.key, b.initKey());
  b.setHasExpected(v.expected.has_value());
  b.setExpected(v.expected.value_or(0));
}

void ReadDelete(schema::DeleteObject::Reader r, cell::delete_object& v,
                budget& left) {
  Read(r.getKey(), v.key, left);
  if (r.getHasExpected()) v.expected = r.getExpected();
}

void WriteGroups(const cell::place_tasks& v, schema::Command::Builder b) {
  auto groups = b.initPlaceTasks(v.groups.size());
  for (std::size_t i = 0; i < v.groups.size(); ++i) {
    WriteList(v.groups[i], groups.init(i, v.groups[i].size()));
  }
}

void ReadGroups(schema::Command::Reader r, cell::place_tasks& v, budget& left) {
  const auto groups = r.getPlaceTasks();
  left.Take(groups.size(), sizeof(std::vector<cell::task_placement>));
  v.groups.reserve(groups.size());
  for (const auto group : groups) {
    ReadList(group, v.groups.emplace_back(), left);
  }
}

void WriteIntent(const cell::record_intent& v,
                 schema::RecordIntent::Builder b) {
  Write(v.key, b.initKey());
  b.setOperationName(Text(v.operation_name));
  b.setDigest(Text(v.digest));
  b.setEntry(Text(v.entry.v));
  b.setEntryIncarnation(v.entry_incarnation);
  b.setWorker(Text(v.worker.v));
  b.setWorkerIncarnation(v.worker_incarnation);
  b.setReplaces(v.replaces);
  b.setRefused(v.refused);
}

void ReadIntent(schema::RecordIntent::Reader r, cell::record_intent& v,
                budget& left) {
  Read(r.getKey(), v.key, left);
  v.operation_name = String(r.getOperationName());
  v.digest = String(r.getDigest());
  v.entry.v = String(r.getEntry());
  v.entry_incarnation = r.getEntryIncarnation();
  v.worker.v = String(r.getWorker());
  v.worker_incarnation = r.getWorkerIncarnation();
  v.replaces = r.getReplaces();
  v.refused = r.getRefused();
}

void WriteOutcome(const cell::record_outcome& v,
                  schema::RecordOutcome::Builder b) {
  Write(v.key, b.initKey());
  b.setId(v.id);
  Write(v.outcome, b.initOutcome());
}

void ReadOutcome(schema::RecordOutcome::Reader r, cell::record_outcome& v,
                 budget& left) {
  Read(r.getKey(), v.key, left);
  v.id = r.getId();
  Read(r.getOutcome(), v.outcome, left);
}

void ReadBody(schema::Command::Reader r, cell::command_body& v, budget& left) {
  using schema::Command;
  switch (r.which()) {
    case Command::PUT_OBJECT:
      return ReadPut(r.getPutObject(), v.emplace<cell::put_object>(), left);
    case Command::DELETE_OBJECT:
      return ReadDelete(r.getDeleteObject(), v.emplace<cell::delete_object>(),
                        left);
    case Command::CANCEL_JOB:
      return Read(r.getCancelJob(), v.emplace<cell::cancel_job>().key, left);
    case Command::REGISTER_WORKER:
      return Read(r.getRegisterWorker(),
                  v.emplace<cell::register_worker>().worker, left);
    case Command::REMOVE_WORKER: {
      const auto w = r.getRemoveWorker();
      v = cell::remove_worker{{String(w.getId())}, w.getIncarnation()};
      return;
    }
    case Command::PLACE_TASKS:
      return ReadGroups(r, v.emplace<cell::place_tasks>(), left);
    case Command::REPORT_TASKS:
      return ReadList(r.getReportTasks(),
                      v.emplace<cell::report_tasks>().reports, left);
    case Command::EVICT_TASKS:
      return ReadList(r.getEvictTasks(), v.emplace<cell::evict_tasks>().tasks,
                      left);
    case Command::RECORD_INTENT:
      return ReadIntent(r.getRecordIntent(), v.emplace<cell::record_intent>(),
                        left);
    case Command::RECORD_OUTCOME:
      return ReadOutcome(r.getRecordOutcome(),
                         v.emplace<cell::record_outcome>(), left);
    case Command::COMPACT_RECORDS:
      v = cell::compact_records{r.getCompactRecords().getBefore(),
                                r.getCompactRecords().getJobsBefore()};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of command");
}

}  // namespace

void Write(const cell::task_placement& v, schema::TaskPlacement::Builder b) {
  Write(v.id, b.initId());
  b.setWorker(Text(v.worker.v));
  b.setWorkerIncarnation(v.worker_incarnation);
}

void Read(schema::TaskPlacement::Reader r, cell::task_placement& v,
          budget& left) {
  Read(r.getId(), v.id, left);
  v.worker.v = String(r.getWorker());
  v.worker_incarnation = r.getWorkerIncarnation();
}

void Write(const cell::task_report& v, schema::TaskReport::Builder b) {
  Write(v.id, b.initId());
  b.setAttempt(v.attempt);
  b.setPhase(Number(v.phase));
  b.setDetail(Text(v.detail));
}

void Read(schema::TaskReport::Reader r, cell::task_report& v, budget& left) {
  Read(r.getId(), v.id, left);
  v.attempt = r.getAttempt();
  v.phase = Enumerator(r.getPhase(), cell::task_phase::kUnknown);
  v.detail = String(r.getDetail());
}

void Write(const cell::command& v, schema::Command::Builder b) {
  b.setAt(v.proposed_at);
  b.setRequest(Text(v.request.v));
  b.setCaller(Text(v.caller.v));
  std::visit(
      overloaded{
          [&](const cell::put_object& c) { WritePut(c, b.initPutObject()); },
          [&](const cell::delete_object& c) {
            WriteDelete(c, b.initDeleteObject());
          },
          [&](const cell::cancel_job& c) { Write(c.key, b.initCancelJob()); },
          [&](const cell::register_worker& c) {
            Write(c.worker, b.initRegisterWorker());
          },
          [&](const cell::remove_worker& c) {
            auto w = b.initRemoveWorker();
            w.setId(Text(c.id.v));
            w.setIncarnation(c.incarnation);
          },
          [&](const cell::place_tasks& c) { WriteGroups(c, b); },
          [&](const cell::report_tasks& c) {
            WriteList(c.reports, b.initReportTasks(c.reports.size()));
          },
          [&](const cell::evict_tasks& c) {
            WriteList(c.tasks, b.initEvictTasks(c.tasks.size()));
          },
          [&](const cell::record_intent& c) {
            WriteIntent(c, b.initRecordIntent());
          },
          [&](const cell::record_outcome& c) {
            WriteOutcome(c, b.initRecordOutcome());
          },
          [&](const cell::compact_records& c) {
            auto compact = b.initCompactRecords();
            compact.setBefore(c.before);
            compact.setJobsBefore(c.jobs_before);
          }},
      v.body);
}

void Read(schema::Command::Reader r, cell::command& v, budget& left) {
  v.proposed_at = r.getAt();
  v.request.v = String(r.getRequest());
  v.caller.v = String(r.getCaller());
  ReadBody(r, v.body, left);
}

void Write(const cell::change& v, schema::Change::Builder b) {
  std::visit(overloaded{[&](const cell::object_changed& c) {
                          Write(c.object, b.initObjectChanged());
                        },
                        [&](const cell::object_deleted& c) {
                          Write(c.key, b.initObjectDeleted());
                        },
                        [&](const cell::worker_changed& c) {
                          Write(c.record, b.initWorkerChanged());
                        },
                        [&](const cell::worker_removed& c) {
                          auto w = b.initWorkerRemoved();
                          w.setId(Text(c.id.v));
                          w.setIncarnation(c.incarnation);
                        },
                        [&](const cell::task_changed& c) {
                          Write(c.record, b.initTaskChanged());
                        },
                        [&](const cell::task_removed& c) {
                          Write(c.id, b.initTaskRemoved());
                        },
                        [&](const cell::call_changed& c) {
                          Write(c.record, b.initCallChanged());
                        },
                        [&](const cell::call_removed& c) {
                          Write(c.key, b.initCallRemoved());
                        }},
             v);
}

void Read(schema::Change::Reader r, cell::change& v, budget& left) {
  using schema::Change;
  switch (r.which()) {
    case Change::OBJECT_CHANGED:
      return Read(r.getObjectChanged(),
                  v.emplace<cell::object_changed>().object, left);
    case Change::OBJECT_DELETED:
      return Read(r.getObjectDeleted(), v.emplace<cell::object_deleted>().key,
                  left);
    case Change::WORKER_CHANGED:
      return Read(r.getWorkerChanged(),
                  v.emplace<cell::worker_changed>().record, left);
    case Change::WORKER_REMOVED: {
      const auto w = r.getWorkerRemoved();
      v = cell::worker_removed{{String(w.getId())}, w.getIncarnation()};
      return;
    }
    case Change::TASK_CHANGED:
      return Read(r.getTaskChanged(), v.emplace<cell::task_changed>().record,
                  left);
    case Change::TASK_REMOVED:
      return Read(r.getTaskRemoved(), v.emplace<cell::task_removed>().id, left);
    case Change::CALL_CHANGED:
      return Read(r.getCallChanged(), v.emplace<cell::call_changed>().record,
                  left);
    case Change::CALL_REMOVED:
      return Read(r.getCallRemoved(), v.emplace<cell::call_removed>().key,
                  left);
  }
  KJ_FAIL_REQUIRE("unknown alternative of change");
}

void Write(const cell::accepted& v, schema::Accepted::Builder b) {
  b.setAt(v.revision);
  if (v.object) Write(*v.object, b.initNow());
  if (v.call) Write(*v.call, b.initCall());
  auto refused = b.initRefused(v.refused_groups.size());
  for (std::size_t i = 0; i < v.refused_groups.size(); ++i) {
    refused.set(i, v.refused_groups[i]);
  }
}

void Read(schema::Accepted::Reader r, cell::accepted& v, budget& left) {
  v.revision = r.getAt();
  if (r.hasNow()) Read(r.getNow(), v.object.emplace(), left);
  if (r.hasCall()) Read(r.getCall(), v.call.emplace(), left);
  const auto refused = r.getRefused();
  left.Take(refused.size(), sizeof(std::uint32_t));
  v.refused_groups.reserve(refused.size());
  for (const std::uint32_t group : refused) v.refused_groups.push_back(group);
}

void Write(const cell::state_image::request_image& v,
           schema::AnsweredRequest::Builder b) {
  b.setCaller(Text(v.caller.v));
  b.setId(Text(v.id.v));
  b.setDigest(v.answered.digest);
  b.setAt(v.answered.answered_at);
  if (v.answered.answer) {
    Write(*v.answered.answer, b.initAccepted());
  } else {
    Write(v.answered.answer.error(), b.initFailure());
  }
}

void Read(schema::AnsweredRequest::Reader r,
          cell::state_image::request_image& v, budget& left) {
  using schema::AnsweredRequest;
  v.caller.v = String(r.getCaller());
  v.id.v = String(r.getId());
  v.answered.digest = r.getDigest();
  v.answered.answered_at = r.getAt();
  switch (r.which()) {
    case AnsweredRequest::ACCEPTED: {
      cell::accepted a;
      Read(r.getAccepted(), a, left);
      v.answered.answer = std::move(a);
      return;
    }
    case AnsweredRequest::FAILURE: {
      core::failure f;
      Read(r.getFailure(), f, left);
      v.answered.answer = std::move(f);
      return;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of answered request");
}

void Write(const cell::state_image& v, schema::StateImage::Builder b) {
  b.setAt(v.revision);
  WriteList(v.objects, b.initObjects(v.objects.size()));
  WriteList(v.workers, b.initWorkers(v.workers.size()));
  WriteList(v.tasks, b.initTasks(v.tasks.size()));
  WriteList(v.calls, b.initCalls(v.calls.size()));
  WriteList(v.requests, b.initRequests(v.requests.size()));
}

void Read(schema::StateImage::Reader r, cell::state_image& v, budget& left) {
  v.revision = r.getAt();
  ReadList(r.getObjects(), v.objects, left);
  ReadList(r.getWorkers(), v.workers, left);
  ReadList(r.getTasks(), v.tasks, left);
  ReadList(r.getCalls(), v.calls, left);
  ReadList(r.getRequests(), v.requests, left);
}

}  // namespace mangoplank::wire
