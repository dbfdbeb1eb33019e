#include "wire/convert.h"

/// Conversions of requests and answers.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteListRequest(const control::list_request& value,
                      schema::ListRequest::Builder builder) {
  builder.setDepartment(Text(value.department.v));
  builder.setHasKind(value.kind.has_value());
  if (value.kind) builder.setKind(Number(*value.kind));
  builder.setLimit(value.limit);
  builder.setName(Text(value.name));
  builder.setAfter(Text(value.after));
}

control::list_request ReadListRequest(schema::ListRequest::Reader reader) {
  control::list_request value;
  value.department.v = String(reader.getDepartment());
  if (reader.getHasKind()) {
    value.kind =
        Enumerator(reader.getKind(), cell::object_kind::kConfiguration);
  }
  value.limit = reader.getLimit();
  value.name = String(reader.getName());
  value.after = String(reader.getAfter());
  return value;
}

void WriteListAnswer(const control::list_answer& value,
                     schema::ListAnswer::Builder builder) {
  builder.setAt(value.revision);
  WriteList(value.objects, builder.initObjects(value.objects.size()));
  builder.setMore(value.more);
}

void ReadListAnswer(schema::ListAnswer::Reader reader,
                    control::list_answer& value, memory_budget& budget) {
  value.revision = reader.getAt();
  ReadList(reader.getObjects(), value.objects, budget);
  value.more = reader.getMore();
}

void WriteExplain(const control::explain_answer& value,
                  schema::ExplainAnswer::Builder builder) {
  builder.setAt(value.revision);
  auto lines = builder.initLines(value.lines.size());
  for (std::size_t i = 0; i < value.lines.size(); ++i) {
    lines.set(i, Text(value.lines[i]));
  }
  WriteList(value.tasks, builder.initTasks(value.tasks.size()));
}

void ReadExplain(schema::ExplainAnswer::Reader reader,
                 control::explain_answer& value, memory_budget& budget) {
  value.revision = reader.getAt();
  const auto lines = reader.getLines();
  budget.Consume(lines.size(), sizeof(std::string));
  value.lines.reserve(lines.size());
  for (const auto line : lines) value.lines.push_back(String(line));
  ReadList(reader.getTasks(), value.tasks, budget);
}

void WriteStatus(const control::status_answer& value,
                 schema::StatusAnswer::Builder builder) {
  builder.setAt(value.revision);
  builder.setTerm(value.term);
  WriteList(value.entries, builder.initEntries(value.entries.size()));
  WriteList(value.members, builder.initMembers(value.members.size()));
  WriteList(value.shares, builder.initShares(value.shares.size()));
}

void ReadStatus(schema::StatusAnswer::Reader reader,
                control::status_answer& value, memory_budget& budget) {
  value.revision = reader.getAt();
  value.term = reader.getTerm();
  ReadList(reader.getEntries(), value.entries, budget);
  ReadList(reader.getMembers(), value.members, budget);
  ReadList(reader.getShares(), value.shares, budget);
}

}  // namespace

void Write(const control::request& value, schema::Request::Builder builder) {
  std::visit(
      overloaded{[&](const control::propose_request& q) {
                   auto p = builder.initPropose();
                   Write(q.command, p.initCommand());
                   p.setDryRun(q.dry_run);
                 },
                 [&](const control::list_request& q) {
                   WriteListRequest(q, builder.initList());
                 },
                 [&](const control::explain_request& q) {
                   Write(q.key, builder.initExplain());
                 },
                 [&](const control::call_request& q) {
                   Write(q.key, builder.initCall());
                 },
                 [&](const control::status_request&) { builder.setStatus(); }},
      value);
}

void Read(schema::Request::Reader reader, control::request& value,
          memory_budget& budget) {
  using schema::Request;
  switch (reader.which()) {
    case Request::PROPOSE: {
      auto& q = value.emplace<control::propose_request>();
      Read(reader.getPropose().getCommand(), q.command, budget);
      q.dry_run = reader.getPropose().getDryRun();
      return;
    }
    case Request::LIST:
      value = ReadListRequest(reader.getList());
      return;
    case Request::EXPLAIN:
      return Read(reader.getExplain(),
                  value.emplace<control::explain_request>().key, budget);
    case Request::CALL:
      return Read(reader.getCall(), value.emplace<control::call_request>().key,
                  budget);
    case Request::STATUS:
      value = control::status_request{};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of request");
}

void Write(const control::object_view& value,
           schema::ObjectView::Builder builder) {
  Write(value.object, builder.initObject());
  Write(value.status, builder.initStatus());
  if (value.worker) Write(*value.worker, builder.initWorker());
  Write(value.committed, builder.initCommitted());
}

void Read(schema::ObjectView::Reader reader, control::object_view& value,
          memory_budget& budget) {
  Read(reader.getObject(), value.object, budget);
  Read(reader.getStatus(), value.status, budget);
  if (reader.hasWorker())
    Read(reader.getWorker(), value.worker.emplace(), budget);
  Read(reader.getCommitted(), value.committed, budget);
}

void Write(const control::entry_status& value,
           schema::EntryStatus::Builder builder) {
  builder.setId(Text(value.id.v));
  builder.setRegion(Text(value.region.v));
  builder.setInForce(value.in_force);
  builder.setLastHeardMs(value.last_heard.count());
}

void Read(schema::EntryStatus::Reader reader, control::entry_status& value,
          memory_budget&) {
  value.id.v = String(reader.getId());
  value.region.v = String(reader.getRegion());
  value.in_force = reader.getInForce();
  value.last_heard = core::milliseconds(reader.getLastHeardMs());
}

void Write(const control::control_status& value,
           schema::ControlStatus::Builder builder) {
  builder.setId(Text(value.id.v));
  builder.setLeads(value.is_leader);
  builder.setVoter(value.voter);
}

void Read(schema::ControlStatus::Reader reader, control::control_status& value,
          memory_budget&) {
  value.id.v = String(reader.getId());
  value.is_leader = reader.getLeads();
  value.voter = reader.getVoter();
}

void Write(const control::department_share& value,
           schema::DepartmentShare::Builder builder) {
  builder.setDepartment(Text(value.department.v));
  builder.setShare(value.share);
  builder.setEntitled(value.entitled);
  builder.setAverage(value.average);
  builder.setWaitingTasks(value.waiting_tasks);
  builder.setRunningTasks(value.running_tasks);
}

void Read(schema::DepartmentShare::Reader reader,
          control::department_share& value, memory_budget&) {
  value.department.v = String(reader.getDepartment());
  value.share = reader.getShare();
  value.entitled = reader.getEntitled();
  value.average = reader.getAverage();
  value.waiting_tasks = reader.getWaitingTasks();
  value.running_tasks = reader.getRunningTasks();
}

void Write(const control::answer& value, schema::Answer::Builder builder) {
  std::visit(overloaded{[&](const cell::accepted& a) {
                          Write(a, builder.initAccepted());
                        },
                        [&](const control::list_answer& a) {
                          WriteListAnswer(a, builder.initList());
                        },
                        [&](const control::explain_answer& a) {
                          WriteExplain(a, builder.initExplain());
                        },
                        [&](const control::call_answer& a) {
                          auto c = builder.initCall();
                          if (a.call) Write(*a.call, c.initCall());
                        },
                        [&](const control::status_answer& a) {
                          WriteStatus(a, builder.initStatus());
                        }},
             value);
}

void Read(schema::Answer::Reader reader, control::answer& value,
          memory_budget& budget) {
  using schema::Answer;
  switch (reader.which()) {
    case Answer::ACCEPTED:
      return Read(reader.getAccepted(), value.emplace<cell::accepted>(),
                  budget);
    case Answer::LIST:
      return ReadListAnswer(reader.getList(),
                            value.emplace<control::list_answer>(), budget);
    case Answer::EXPLAIN:
      return ReadExplain(reader.getExplain(),
                         value.emplace<control::explain_answer>(), budget);
    case Answer::CALL: {
      auto& a = value.emplace<control::call_answer>();
      if (!reader.getCall().hasCall()) return;
      return Read(reader.getCall().getCall(), a.call.emplace(), budget);
    }
    case Answer::STATUS:
      return ReadStatus(reader.getStatus(),
                        value.emplace<control::status_answer>(), budget);
  }
  KJ_FAIL_REQUIRE("unknown alternative of answer");
}

}  // namespace mangoplank::wire
