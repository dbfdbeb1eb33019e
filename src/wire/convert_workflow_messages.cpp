#include "wire/convert_workflow.h"

/// Messages between gateways and the leader.
namespace mangoplank::wire {

// Static rather than in an unnamed namespace, as in convert_workflow.cpp.
static void Read(schema::EligibleWorker::Reader r, workflow::eligible_worker& v,
                 budget& left);
template <class Tag>
static void Read(capnp::Text::Reader r, core::named_id<Tag>& v, budget&) {
  v.v = String(r);
}

static void Write(const workflow::job_address& v,
                  schema::JobAddress::Builder b) {
  b.setHost(Text(v.host));
  b.setPath(Text(v.path));
}

static workflow::job_address ReadAddress(schema::JobAddress::Reader r) {
  return {String(r.getHost()), String(r.getPath())};
}

static void WriteRequest(const workflow::submit_job& v,
                         schema::WorkflowRequest::Builder b) {
  auto g = b.initSubmit();
  Write(v.address, g.initTo());
  Write(v.spec, g.initSpec());
}
static void WriteRequest(const workflow::get_job& v,
                         schema::WorkflowRequest::Builder b) {
  Write(v.address, b.initGet());
}
static void WriteRequest(const workflow::cancel_job& v,
                         schema::WorkflowRequest::Builder b) {
  Write(v.address, b.initCancel());
}
static void WriteRequest(const workflow::worker_heartbeat& v,
                         schema::WorkflowRequest::Builder b) {
  auto g = b.initAnnounce();
  Write(v.worker, g.initWorker());
  g.setClockMs(v.clock_ms);
}
static void WriteRequest(const workflow::deregister_worker& v,
                         schema::WorkflowRequest::Builder b) {
  Write(workflow::worker_key{v.id, v.incarnation}, b.initRemoveWorker());
}
static void WriteRequest(const workflow::declare_catalog& v,
                         schema::WorkflowRequest::Builder b) {
  Write(v.catalog, b.initDeclare());
}
static void WriteRequest(const workflow::read_catalog&,
                         schema::WorkflowRequest::Builder b) {
  b.setReadCatalog();
}
static void WriteRequest(const workflow::join_members& v,
                         schema::WorkflowRequest::Builder b) {
  auto g = b.initJoinMembers();
  g.setId(Text(v.id.v));
  Write(v.address, g.initAddress());
}

static workflow::request_body ReadRequest(schema::WorkflowRequest::Reader r,
                                          budget& left) {
  using schema::WorkflowRequest;
  switch (r.which()) {
    case WorkflowRequest::SUBMIT: {
      workflow::submit_job v;
      v.address = ReadAddress(r.getSubmit().getTo());
      Read(r.getSubmit().getSpec(), v.spec, left);
      return v;
    }
    case WorkflowRequest::GET:
      return workflow::get_job{ReadAddress(r.getGet())};
    case WorkflowRequest::CANCEL:
      return workflow::cancel_job{ReadAddress(r.getCancel())};
    case WorkflowRequest::ANNOUNCE: {
      workflow::worker_heartbeat v;
      Read(r.getAnnounce().getWorker(), v.worker, left);
      v.clock_ms = r.getAnnounce().getClockMs();
      return v;
    }
    case WorkflowRequest::REMOVE_WORKER: {
      workflow::worker_key key;
      Read(r.getRemoveWorker(), key, left);
      return workflow::deregister_worker{key.id, key.incarnation};
    }
    case WorkflowRequest::DECLARE: {
      workflow::declare_catalog v;
      Read(r.getDeclare(), v.catalog, left);
      return v;
    }
    case WorkflowRequest::READ_CATALOG:
      return workflow::read_catalog{};
    case WorkflowRequest::JOIN_MEMBERS: {
      workflow::join_members v;
      v.id.v = String(r.getJoinMembers().getId());
      Read(r.getJoinMembers().getAddress(), v.address, left);
      return v;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow request");
}

static void WriteAnswer(const workflow::accepted&,
                        schema::WorkflowAnswer::Builder b) {
  b.setAccepted();
}
static void WriteAnswer(const workflow::job_view& v,
                        schema::WorkflowAnswer::Builder b) {
  b.setJob(Number(v.phase));
}
static void WriteAnswer(const workflow::job_not_found&,
                        schema::WorkflowAnswer::Builder b) {
  b.setNoSuchJob();
}
static void WriteAnswer(const workflow::queue_view& v,
                        schema::WorkflowAnswer::Builder b) {
  b.setQueued(v.queued);
}
static void WriteAnswer(const workflow::catalog_view& v,
                        schema::WorkflowAnswer::Builder b) {
  auto g = b.initCatalog();
  g.setVersion(v.version);
  g.setDocument(Data(v.document));
}
static void WriteAnswer(const core::failure& v,
                        schema::WorkflowAnswer::Builder b) {
  Write(v, b.initFailure());
}

static workflow::answer_body ReadAnswer(schema::WorkflowAnswer::Reader r,
                                        budget& left) {
  using schema::WorkflowAnswer;
  switch (r.which()) {
    case WorkflowAnswer::ACCEPTED:
      return workflow::accepted{};
    case WorkflowAnswer::JOB:
      return workflow::job_view{
          Enumerator(r.getJob(), workflow::job_phase::kCancelled)};
    case WorkflowAnswer::NO_SUCH_JOB:
      return workflow::job_not_found{};
    case WorkflowAnswer::QUEUED:
      return workflow::queue_view{r.getQueued()};
    case WorkflowAnswer::CATALOG:
      return workflow::catalog_view{r.getCatalog().getVersion(),
                                    String(r.getCatalog().getDocument())};
    case WorkflowAnswer::FAILURE: {
      core::failure f;
      Read(r.getFailure(), f, left);
      return f;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow answer");
}

static void WriteMessage(const workflow::hello& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initHello();
  g.setName(Text(v.name));
  g.setAsksEligibility(v.can_check_eligibility);
}
static void WriteMessage(const workflow::hello_reply& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initGreeting();
  g.setSelf(Text(v.self.v));
  g.setLeader(Text(v.leader.v));
  auto members = g.initMembers(v.members.size());
  for (std::size_t i = 0; i < v.members.size(); ++i) {
    members.set(static_cast<unsigned>(i), Text(v.members[i].v));
  }
}
static void WriteMessage(const workflow::request& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initRequest();
  g.setId(v.id);
  std::visit([&](const auto& body) { WriteRequest(body, g); }, v.body);
}
static void WriteMessage(const workflow::answer& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initAnswer();
  g.setId(v.id);
  std::visit([&](const auto& body) { WriteAnswer(body, g); }, v.body);
}
static void WriteMessage(const workflow::eligibility_request& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initAskEligibility();
  g.setId(v.id);
  Write(v.step, g.initStep());
  auto workers = g.initWorkers(v.workers.size());
  for (std::size_t i = 0; i < v.workers.size(); ++i) {
    workers.set(static_cast<unsigned>(i), Text(v.workers[i].v));
  }
}
static void WriteMessage(const workflow::eligibility_reply& v,
                         schema::WorkflowMessage::Builder b) {
  auto g = b.initEligibility();
  g.setId(v.id);
  g.setKnown(v.known);
  auto rows = g.initEligible(v.eligible.size());
  for (std::size_t i = 0; i < v.eligible.size(); ++i) {
    rows[static_cast<unsigned>(i)].setId(Text(v.eligible[i].id.v));
    rows[static_cast<unsigned>(i)].setTicket(Text(v.eligible[i].ticket));
  }
}

static void Read(schema::EligibleWorker::Reader r, workflow::eligible_worker& v,
                 budget&) {
  v = {{String(r.getId())}, String(r.getTicket())};
}

static workflow::message ReadMessage(schema::WorkflowMessage::Reader r,
                                     budget& left) {
  using schema::WorkflowMessage;
  switch (r.which()) {
    case WorkflowMessage::HELLO:
      return workflow::hello{String(r.getHello().getName()),
                             r.getHello().getAsksEligibility()};
    case WorkflowMessage::GREETING: {
      workflow::hello_reply v;
      v.self.v = String(r.getGreeting().getSelf());
      v.leader.v = String(r.getGreeting().getLeader());
      ReadList(r.getGreeting().getMembers(), v.members, left);
      return v;
    }
    case WorkflowMessage::REQUEST:
      return workflow::request{r.getRequest().getId(),
                               ReadRequest(r.getRequest(), left)};
    case WorkflowMessage::ANSWER:
      return workflow::answer{r.getAnswer().getId(),
                              ReadAnswer(r.getAnswer(), left)};
    case WorkflowMessage::ASK_ELIGIBILITY: {
      const auto g = r.getAskEligibility();
      workflow::eligibility_request v;
      v.id = g.getId();
      Read(g.getStep(), v.step, left);
      ReadList(g.getWorkers(), v.workers, left);
      return v;
    }
    case WorkflowMessage::ELIGIBILITY: {
      const auto g = r.getEligibility();
      workflow::eligibility_reply v;
      v.id = g.getId();
      v.known = g.getKnown();
      ReadList(g.getEligible(), v.eligible, left);
      return v;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow message");
}

void Write(const workflow::message& v, schema::WorkflowMessage::Builder b) {
  std::visit([&](const auto& m) { WriteMessage(m, b); }, v);
}

void Read(schema::WorkflowMessage::Reader r, workflow::message& v,
          budget& left) {
  v = ReadMessage(r, left);
}

}  // namespace mangoplank::wire
