#include "wire/convert.h"

/// Conversions of requests and answers.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteListRequest(const control::list_request& v,
                      schema::ListRequest::Builder b) {
  b.setDepartment(Text(v.department.v));
  b.setHasKind(v.kind.has_value());
  if (v.kind) b.setKind(Number(*v.kind));
  b.setLimit(v.limit);
  b.setName(Text(v.name));
  b.setAfter(Text(v.after));
}

control::list_request ReadListRequest(schema::ListRequest::Reader r) {
  control::list_request v;
  v.department.v = String(r.getDepartment());
  if (r.getHasKind()) {
    v.kind = Enumerator(r.getKind(), cell::object_kind::kConfiguration);
  }
  v.limit = r.getLimit();
  v.name = String(r.getName());
  v.after = String(r.getAfter());
  return v;
}

void WriteListAnswer(const control::list_answer& v,
                     schema::ListAnswer::Builder b) {
  b.setAt(v.revision);
  WriteList(v.objects, b.initObjects(v.objects.size()));
  b.setMore(v.more);
}

void ReadListAnswer(schema::ListAnswer::Reader r, control::list_answer& v,
                    budget& left) {
  v.revision = r.getAt();
  ReadList(r.getObjects(), v.objects, left);
  v.more = r.getMore();
}

void WriteExplain(const control::explain_answer& v,
                  schema::ExplainAnswer::Builder b) {
  b.setAt(v.revision);
  auto lines = b.initLines(v.lines.size());
  for (std::size_t i = 0; i < v.lines.size(); ++i) {
    lines.set(i, Text(v.lines[i]));
  }
  WriteList(v.tasks, b.initTasks(v.tasks.size()));
}

void ReadExplain(schema::ExplainAnswer::Reader r, control::explain_answer& v,
                 budget& left) {
  v.revision = r.getAt();
  const auto lines = r.getLines();
  left.Take(lines.size(), sizeof(std::string));
  v.lines.reserve(lines.size());
  for (const auto line : lines) v.lines.push_back(String(line));
  ReadList(r.getTasks(), v.tasks, left);
}

void WriteStatus(const control::status_answer& v,
                 schema::StatusAnswer::Builder b) {
  b.setAt(v.revision);
  b.setTerm(v.term);
  WriteList(v.entries, b.initEntries(v.entries.size()));
  WriteList(v.members, b.initMembers(v.members.size()));
  WriteList(v.shares, b.initShares(v.shares.size()));
}

void ReadStatus(schema::StatusAnswer::Reader r, control::status_answer& v,
                budget& left) {
  v.revision = r.getAt();
  v.term = r.getTerm();
  ReadList(r.getEntries(), v.entries, left);
  ReadList(r.getMembers(), v.members, left);
  ReadList(r.getShares(), v.shares, left);
}

}  // namespace

void Write(const control::request& v, schema::Request::Builder b) {
  std::visit(overloaded{[&](const control::propose_request& q) {
                          auto p = b.initPropose();
                          Write(q.command, p.initCommand());
                          p.setDryRun(q.dry_run);
                        },
                        [&](const control::list_request& q) {
                          WriteListRequest(q, b.initList());
                        },
                        [&](const control::explain_request& q) {
                          Write(q.key, b.initExplain());
                        },
                        [&](const control::call_request& q) {
                          Write(q.key, b.initCall());
                        },
                        [&](const control::status_request&) { b.setStatus(); }},
             v);
}

void Read(schema::Request::Reader r, control::request& v, budget& left) {
  using schema::Request;
  switch (r.which()) {
    case Request::PROPOSE: {
      auto& q = v.emplace<control::propose_request>();
      Read(r.getPropose().getCommand(), q.command, left);
      q.dry_run = r.getPropose().getDryRun();
      return;
    }
    case Request::LIST:
      v = ReadListRequest(r.getList());
      return;
    case Request::EXPLAIN:
      return Read(r.getExplain(), v.emplace<control::explain_request>().key,
                  left);
    case Request::CALL:
      return Read(r.getCall(), v.emplace<control::call_request>().key, left);
    case Request::STATUS:
      v = control::status_request{};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of request");
}

void Write(const control::object_view& v, schema::ObjectView::Builder b) {
  Write(v.object, b.initObject());
  Write(v.status, b.initStatus());
  if (v.worker) Write(*v.worker, b.initWorker());
  Write(v.committed, b.initCommitted());
}

void Read(schema::ObjectView::Reader r, control::object_view& v, budget& left) {
  Read(r.getObject(), v.object, left);
  Read(r.getStatus(), v.status, left);
  if (r.hasWorker()) Read(r.getWorker(), v.worker.emplace(), left);
  Read(r.getCommitted(), v.committed, left);
}

void Write(const control::entry_status& v, schema::EntryStatus::Builder b) {
  b.setId(Text(v.id.v));
  b.setRegion(Text(v.region.v));
  b.setInForce(v.in_force);
  b.setLastHeardMs(v.last_heard.count());
}

void Read(schema::EntryStatus::Reader r, control::entry_status& v, budget&) {
  v.id.v = String(r.getId());
  v.region.v = String(r.getRegion());
  v.in_force = r.getInForce();
  v.last_heard = core::milliseconds(r.getLastHeardMs());
}

void Write(const control::control_status& v, schema::ControlStatus::Builder b) {
  b.setId(Text(v.id.v));
  b.setLeads(v.is_leader);
  b.setVoter(v.voter);
}

void Read(schema::ControlStatus::Reader r, control::control_status& v,
          budget&) {
  v.id.v = String(r.getId());
  v.is_leader = r.getLeads();
  v.voter = r.getVoter();
}

void Write(const control::department_share& v,
           schema::DepartmentShare::Builder b) {
  b.setDepartment(Text(v.department.v));
  b.setShare(v.share);
  b.setEntitled(v.entitled);
  b.setAverage(v.average);
  b.setWaitingTasks(v.waiting_tasks);
  b.setRunningTasks(v.running_tasks);
}

void Read(schema::DepartmentShare::Reader r, control::department_share& v,
          budget&) {
  v.department.v = String(r.getDepartment());
  v.share = r.getShare();
  v.entitled = r.getEntitled();
  v.average = r.getAverage();
  v.waiting_tasks = r.getWaitingTasks();
  v.running_tasks = r.getRunningTasks();
}

void Write(const control::answer& v, schema::Answer::Builder b) {
  std::visit(
      overloaded{[&](const cell::accepted& a) { Write(a, b.initAccepted()); },
                 [&](const control::list_answer& a) {
                   WriteListAnswer(a, b.initList());
                 },
                 [&](const control::explain_answer& a) {
                   WriteExplain(a, b.initExplain());
                 },
                 [&](const control::call_answer& a) {
                   auto c = b.initCall();
                   if (a.call) Write(*a.call, c.initCall());
                 },
                 [&](const control::status_answer& a) {
                   WriteStatus(a, b.initStatus());
                 }},
      v);
}

void Read(schema::Answer::Reader r, control::answer& v, budget& left) {
  using schema::Answer;
  switch (r.which()) {
    case Answer::ACCEPTED:
      return Read(r.getAccepted(), v.emplace<cell::accepted>(), left);
    case Answer::LIST:
      return ReadListAnswer(r.getList(), v.emplace<control::list_answer>(),
                            left);
    case Answer::EXPLAIN:
      return ReadExplain(r.getExplain(), v.emplace<control::explain_answer>(),
                         left);
    case Answer::CALL: {
      auto& a = v.emplace<control::call_answer>();
      if (!r.getCall().hasCall()) return;
      return Read(r.getCall().getCall(), a.call.emplace(), left);
    }
    case Answer::STATUS:
      return ReadStatus(r.getStatus(), v.emplace<control::status_answer>(),
                        left);
  }
  KJ_FAIL_REQUIRE("unknown alternative of answer");
}

}  // namespace mangoplank::wire
