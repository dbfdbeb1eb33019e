#include "wire/convert.h"

/// Conversions of commands, changes and the state image of a cell.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WritePut(const cell::put_object& value,
              schema::PutObject::Builder builder) {
  Write(value.key, builder.initKey());
  Write(value.spec, builder.initSpec());
  builder.setHasExpected(value.expected.has_value());
  builder.setExpected(value.expected.value_or(0));
  builder.setCreateOnly(value.create_only);
  builder.setReplaceOnly(value.replace_only);
}

void ReadPut(schema::PutObject::Reader reader, cell::put_object& value,
             memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  Read(reader.getSpec(), value.spec, budget);
  if (reader.getHasExpected()) value.expected = reader.getExpected();
  value.create_only = reader.getCreateOnly();
  value.replace_only = reader.getReplaceOnly();
}

void WriteDelete(const cell::delete_object& value,
                 schema::DeleteObject::Builder builder) {
  Write(value.key, builder.initKey());
  builder.setHasExpected(value.expected.has_value());
  builder.setExpected(value.expected.value_or(0));
}

void ReadDelete(schema::DeleteObject::Reader reader, cell::delete_object& value,
                memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  if (reader.getHasExpected()) value.expected = reader.getExpected();
}

void WriteGroups(const cell::place_tasks& value,
                 schema::Command::Builder builder) {
  auto groups = builder.initPlaceTasks(value.groups.size());
  for (std::size_t i = 0; i < value.groups.size(); ++i) {
    WriteList(value.groups[i], groups.init(i, value.groups[i].size()));
  }
}

void ReadGroups(schema::Command::Reader reader, cell::place_tasks& value,
                memory_budget& budget) {
  const auto groups = reader.getPlaceTasks();
  budget.Consume(groups.size(), sizeof(std::vector<cell::task_placement>));
  value.groups.reserve(groups.size());
  for (const auto group : groups) {
    ReadList(group, value.groups.emplace_back(), budget);
  }
}

void WriteIntent(const cell::record_intent& value,
                 schema::RecordIntent::Builder builder) {
  Write(value.key, builder.initKey());
  builder.setOperationName(Text(value.operation_name));
  builder.setDigest(Text(value.digest));
  builder.setEntry(Text(value.entry.v));
  builder.setEntryIncarnation(value.entry_incarnation);
  builder.setWorker(Text(value.worker.v));
  builder.setWorkerIncarnation(value.worker_incarnation);
  builder.setReplaces(value.replaces);
  builder.setRefused(value.refused);
}

void ReadIntent(schema::RecordIntent::Reader reader, cell::record_intent& value,
                memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  value.operation_name = String(reader.getOperationName());
  value.digest = String(reader.getDigest());
  value.entry.v = String(reader.getEntry());
  value.entry_incarnation = reader.getEntryIncarnation();
  value.worker.v = String(reader.getWorker());
  value.worker_incarnation = reader.getWorkerIncarnation();
  value.replaces = reader.getReplaces();
  value.refused = reader.getRefused();
}

void WriteOutcome(const cell::record_outcome& value,
                  schema::RecordOutcome::Builder builder) {
  Write(value.key, builder.initKey());
  builder.setId(value.id);
  Write(value.outcome, builder.initOutcome());
}

void ReadOutcome(schema::RecordOutcome::Reader reader,
                 cell::record_outcome& value, memory_budget& budget) {
  Read(reader.getKey(), value.key, budget);
  value.id = reader.getId();
  Read(reader.getOutcome(), value.outcome, budget);
}

void ReadBody(schema::Command::Reader reader, cell::command_body& value,
              memory_budget& budget) {
  using schema::Command;
  switch (reader.which()) {
    case Command::PUT_OBJECT:
      return ReadPut(reader.getPutObject(), value.emplace<cell::put_object>(),
                     budget);
    case Command::DELETE_OBJECT:
      return ReadDelete(reader.getDeleteObject(),
                        value.emplace<cell::delete_object>(), budget);
    case Command::CANCEL_JOB:
      return Read(reader.getCancelJob(), value.emplace<cell::cancel_job>().key,
                  budget);
    case Command::REGISTER_WORKER:
      return Read(reader.getRegisterWorker(),
                  value.emplace<cell::register_worker>().worker, budget);
    case Command::REMOVE_WORKER: {
      const auto w = reader.getRemoveWorker();
      value = cell::remove_worker{{String(w.getId())}, w.getIncarnation()};
      return;
    }
    case Command::PLACE_TASKS:
      return ReadGroups(reader, value.emplace<cell::place_tasks>(), budget);
    case Command::REPORT_TASKS:
      return ReadList(reader.getReportTasks(),
                      value.emplace<cell::report_tasks>().reports, budget);
    case Command::EVICT_TASKS:
      return ReadList(reader.getEvictTasks(),
                      value.emplace<cell::evict_tasks>().tasks, budget);
    case Command::RECORD_INTENT:
      return ReadIntent(reader.getRecordIntent(),
                        value.emplace<cell::record_intent>(), budget);
    case Command::RECORD_OUTCOME:
      return ReadOutcome(reader.getRecordOutcome(),
                         value.emplace<cell::record_outcome>(), budget);
    case Command::COMPACT_RECORDS:
      value = cell::compact_records{reader.getCompactRecords().getBefore(),
                                    reader.getCompactRecords().getJobsBefore()};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of command");
}

}  // namespace

void Write(const cell::task_placement& value,
           schema::TaskPlacement::Builder builder) {
  Write(value.id, builder.initId());
  builder.setWorker(Text(value.worker.v));
  builder.setWorkerIncarnation(value.worker_incarnation);
}

void Read(schema::TaskPlacement::Reader reader, cell::task_placement& value,
          memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.worker.v = String(reader.getWorker());
  value.worker_incarnation = reader.getWorkerIncarnation();
}

void Write(const cell::task_report& value,
           schema::TaskReport::Builder builder) {
  Write(value.id, builder.initId());
  builder.setAttempt(value.attempt);
  builder.setPhase(Number(value.phase));
  builder.setDetail(Text(value.detail));
}

void Read(schema::TaskReport::Reader reader, cell::task_report& value,
          memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.attempt = reader.getAttempt();
  value.phase = Enumerator(reader.getPhase(), cell::task_phase::kUnknown);
  value.detail = String(reader.getDetail());
}

void Write(const cell::command& value, schema::Command::Builder builder) {
  builder.setAt(value.proposed_at);
  builder.setRequest(Text(value.request.v));
  builder.setCaller(Text(value.caller.v));
  std::visit(
      overloaded{[&](const cell::put_object& c) {
                   WritePut(c, builder.initPutObject());
                 },
                 [&](const cell::delete_object& c) {
                   WriteDelete(c, builder.initDeleteObject());
                 },
                 [&](const cell::cancel_job& c) {
                   Write(c.key, builder.initCancelJob());
                 },
                 [&](const cell::register_worker& c) {
                   Write(c.worker, builder.initRegisterWorker());
                 },
                 [&](const cell::remove_worker& c) {
                   auto w = builder.initRemoveWorker();
                   w.setId(Text(c.id.v));
                   w.setIncarnation(c.incarnation);
                 },
                 [&](const cell::place_tasks& c) { WriteGroups(c, builder); },
                 [&](const cell::report_tasks& c) {
                   WriteList(c.reports,
                             builder.initReportTasks(c.reports.size()));
                 },
                 [&](const cell::evict_tasks& c) {
                   WriteList(c.tasks, builder.initEvictTasks(c.tasks.size()));
                 },
                 [&](const cell::record_intent& c) {
                   WriteIntent(c, builder.initRecordIntent());
                 },
                 [&](const cell::record_outcome& c) {
                   WriteOutcome(c, builder.initRecordOutcome());
                 },
                 [&](const cell::compact_records& c) {
                   auto compact = builder.initCompactRecords();
                   compact.setBefore(c.before);
                   compact.setJobsBefore(c.jobs_before);
                 }},
      value.body);
}

void Read(schema::Command::Reader reader, cell::command& value,
          memory_budget& budget) {
  value.proposed_at = reader.getAt();
  value.request.v = String(reader.getRequest());
  value.caller.v = String(reader.getCaller());
  ReadBody(reader, value.body, budget);
}

void Write(const cell::change& value, schema::Change::Builder builder) {
  std::visit(overloaded{[&](const cell::object_changed& c) {
                          Write(c.object, builder.initObjectChanged());
                        },
                        [&](const cell::object_deleted& c) {
                          Write(c.key, builder.initObjectDeleted());
                        },
                        [&](const cell::worker_changed& c) {
                          Write(c.record, builder.initWorkerChanged());
                        },
                        [&](const cell::worker_removed& c) {
                          auto w = builder.initWorkerRemoved();
                          w.setId(Text(c.id.v));
                          w.setIncarnation(c.incarnation);
                        },
                        [&](const cell::task_changed& c) {
                          Write(c.record, builder.initTaskChanged());
                        },
                        [&](const cell::task_removed& c) {
                          Write(c.id, builder.initTaskRemoved());
                        },
                        [&](const cell::call_changed& c) {
                          Write(c.record, builder.initCallChanged());
                        },
                        [&](const cell::call_removed& c) {
                          Write(c.key, builder.initCallRemoved());
                        }},
             value);
}

void Read(schema::Change::Reader reader, cell::change& value,
          memory_budget& budget) {
  using schema::Change;
  switch (reader.which()) {
    case Change::OBJECT_CHANGED:
      return Read(reader.getObjectChanged(),
                  value.emplace<cell::object_changed>().object, budget);
    case Change::OBJECT_DELETED:
      return Read(reader.getObjectDeleted(),
                  value.emplace<cell::object_deleted>().key, budget);
    case Change::WORKER_CHANGED:
      return Read(reader.getWorkerChanged(),
                  value.emplace<cell::worker_changed>().record, budget);
    case Change::WORKER_REMOVED: {
      const auto w = reader.getWorkerRemoved();
      value = cell::worker_removed{{String(w.getId())}, w.getIncarnation()};
      return;
    }
    case Change::TASK_CHANGED:
      return Read(reader.getTaskChanged(),
                  value.emplace<cell::task_changed>().record, budget);
    case Change::TASK_REMOVED:
      return Read(reader.getTaskRemoved(),
                  value.emplace<cell::task_removed>().id, budget);
    case Change::CALL_CHANGED:
      return Read(reader.getCallChanged(),
                  value.emplace<cell::call_changed>().record, budget);
    case Change::CALL_REMOVED:
      return Read(reader.getCallRemoved(),
                  value.emplace<cell::call_removed>().key, budget);
  }
  KJ_FAIL_REQUIRE("unknown alternative of change");
}

void Write(const cell::accepted& value, schema::Accepted::Builder builder) {
  builder.setAt(value.revision);
  if (value.object) Write(*value.object, builder.initNow());
  if (value.call) Write(*value.call, builder.initCall());
  auto refused = builder.initRefused(value.refused_groups.size());
  for (std::size_t i = 0; i < value.refused_groups.size(); ++i) {
    refused.set(i, value.refused_groups[i]);
  }
}

void Read(schema::Accepted::Reader reader, cell::accepted& value,
          memory_budget& budget) {
  value.revision = reader.getAt();
  if (reader.hasNow()) Read(reader.getNow(), value.object.emplace(), budget);
  if (reader.hasCall()) Read(reader.getCall(), value.call.emplace(), budget);
  const auto refused = reader.getRefused();
  budget.Consume(refused.size(), sizeof(std::uint32_t));
  value.refused_groups.reserve(refused.size());
  for (const std::uint32_t group : refused)
    value.refused_groups.push_back(group);
}

void Write(const cell::state_image::request_image& value,
           schema::AnsweredRequest::Builder builder) {
  builder.setCaller(Text(value.caller.v));
  builder.setId(Text(value.id.v));
  builder.setDigest(value.answered.digest);
  builder.setAt(value.answered.answered_at);
  if (value.answered.answer) {
    Write(*value.answered.answer, builder.initAccepted());
  } else {
    Write(value.answered.answer.error(), builder.initFailure());
  }
}

void Read(schema::AnsweredRequest::Reader reader,
          cell::state_image::request_image& value, memory_budget& budget) {
  using schema::AnsweredRequest;
  value.caller.v = String(reader.getCaller());
  value.id.v = String(reader.getId());
  value.answered.digest = reader.getDigest();
  value.answered.answered_at = reader.getAt();
  switch (reader.which()) {
    case AnsweredRequest::ACCEPTED: {
      cell::accepted a;
      Read(reader.getAccepted(), a, budget);
      value.answered.answer = std::move(a);
      return;
    }
    case AnsweredRequest::FAILURE: {
      core::failure f;
      Read(reader.getFailure(), f, budget);
      value.answered.answer = std::move(f);
      return;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of answered request");
}

void Write(const cell::state_image& value,
           schema::StateImage::Builder builder) {
  builder.setAt(value.revision);
  WriteList(value.objects, builder.initObjects(value.objects.size()));
  WriteList(value.workers, builder.initWorkers(value.workers.size()));
  WriteList(value.tasks, builder.initTasks(value.tasks.size()));
  WriteList(value.calls, builder.initCalls(value.calls.size()));
  WriteList(value.requests, builder.initRequests(value.requests.size()));
}

void Read(schema::StateImage::Reader reader, cell::state_image& value,
          memory_budget& budget) {
  value.revision = reader.getAt();
  ReadList(reader.getObjects(), value.objects, budget);
  ReadList(reader.getWorkers(), value.workers, budget);
  ReadList(reader.getTasks(), value.tasks, budget);
  ReadList(reader.getCalls(), value.calls, budget);
  ReadList(reader.getRequests(), value.requests, budget);
}

}  // namespace mangoplank::wire
