#include "wire/convert_workflow.h"

/// Conversions of the messages between gateways and the leader.
namespace mangoplank::wire {

// Static rather than in an unnamed namespace, as in convert_workflow.cpp.
static void Read(schema::EligibleWorker::Reader reader,
                 workflow::eligible_worker& value, memory_budget& budget);
template <class Tag>
static void Read(capnp::Text::Reader reader, core::named_id<Tag>& value,
                 memory_budget&) {
  value.v = String(reader);
}

/// The key is a field of the address, so that members of another version can
/// read the address.
static void Write(const workflow::job_address& value,
                  const std::optional<tenancy::key_digest>& key,
                  schema::JobAddress::Builder builder) {
  builder.setHost(Text(value.host));
  builder.setPath(Text(value.path));
  if (key) builder.setKey(DigestData(*key));
}

static workflow::job_address ReadAddress(schema::JobAddress::Reader reader) {
  return {String(reader.getHost()), String(reader.getPath())};
}

static void WriteRequest(const workflow::submit_job& value,
                         schema::WorkflowRequest::Builder builder) {
  auto g = builder.initSubmit();
  Write(value.address, value.key, g.initTo());
  Write(value.spec, g.initSpec());
}
static void WriteRequest(const workflow::get_job& value,
                         schema::WorkflowRequest::Builder builder) {
  Write(value.address, value.key, builder.initGet());
  builder.setWaitMs(value.wait.count());
}
static void WriteRequest(const workflow::cancel_job& value,
                         schema::WorkflowRequest::Builder builder) {
  Write(value.address, value.key, builder.initCancel());
}
static void WriteRequest(const workflow::worker_heartbeat& value,
                         schema::WorkflowRequest::Builder builder) {
  auto g = builder.initAnnounce();
  Write(value.worker, g.initWorker());
  g.setClockMs(value.clock_ms);
}
static void WriteRequest(const workflow::deregister_worker& value,
                         schema::WorkflowRequest::Builder builder) {
  Write(workflow::worker_key{value.id, value.incarnation},
        builder.initRemoveWorker());
}
static void WriteRequest(const workflow::declare_catalog& value,
                         schema::WorkflowRequest::Builder builder) {
  Write(value.catalog, builder.initDeclare());
}
static void WriteRequest(const workflow::read_catalog&,
                         schema::WorkflowRequest::Builder builder) {
  builder.setReadCatalog();
}
static void WriteRequest(const workflow::join_members& value,
                         schema::WorkflowRequest::Builder builder) {
  auto g = builder.initJoinMembers();
  g.setId(Text(value.id.v));
  Write(value.address, g.initAddress());
}

static workflow::request_body ReadRequest(
    schema::WorkflowRequest::Reader reader, memory_budget& budget) {
  using schema::WorkflowRequest;
  switch (reader.which()) {
    case WorkflowRequest::SUBMIT: {
      workflow::submit_job value;
      value.address = ReadAddress(reader.getSubmit().getTo());
      Read(reader.getSubmit().getSpec(), value.spec, budget);
      value.key = ReadDigest(reader.getSubmit().getTo().getKey());
      return value;
    }
    case WorkflowRequest::GET:
      return workflow::get_job{ReadAddress(reader.getGet()),
                               ReadDigest(reader.getGet().getKey()),
                               core::milliseconds(reader.getWaitMs())};
    case WorkflowRequest::CANCEL:
      return workflow::cancel_job{ReadAddress(reader.getCancel()),
                                  ReadDigest(reader.getCancel().getKey())};
    case WorkflowRequest::ANNOUNCE: {
      workflow::worker_heartbeat value;
      Read(reader.getAnnounce().getWorker(), value.worker, budget);
      value.clock_ms = reader.getAnnounce().getClockMs();
      return value;
    }
    case WorkflowRequest::REMOVE_WORKER: {
      workflow::worker_key key;
      Read(reader.getRemoveWorker(), key, budget);
      return workflow::deregister_worker{key.id, key.incarnation};
    }
    case WorkflowRequest::DECLARE: {
      workflow::declare_catalog value;
      Read(reader.getDeclare(), value.catalog, budget);
      return value;
    }
    case WorkflowRequest::READ_CATALOG:
      return workflow::read_catalog{};
    case WorkflowRequest::JOIN_MEMBERS: {
      workflow::join_members value;
      value.id.v = String(reader.getJoinMembers().getId());
      Read(reader.getJoinMembers().getAddress(), value.address, budget);
      return value;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow request");
}

static void WriteAnswer(const workflow::accepted&,
                        schema::WorkflowAnswer::Builder builder) {
  builder.setAccepted();
}
static void WriteAnswer(const workflow::job_view& value,
                        schema::WorkflowAnswer::Builder builder) {
  builder.setJob(Number(value.phase));
  builder.setJobFailure(Number(value.failure));
}
static void WriteAnswer(const workflow::job_not_found&,
                        schema::WorkflowAnswer::Builder builder) {
  builder.setNoSuchJob();
}
static void WriteAnswer(const workflow::queue_view& value,
                        schema::WorkflowAnswer::Builder builder) {
  builder.setQueued(value.queued);
}
static void WriteAnswer(const workflow::catalog_view& value,
                        schema::WorkflowAnswer::Builder builder) {
  auto g = builder.initCatalog();
  g.setVersion(value.version);
  g.setDocument(Data(value.document));
}
static void WriteAnswer(const core::failure& value,
                        schema::WorkflowAnswer::Builder builder) {
  Write(value, builder.initFailure());
}

static workflow::answer_body ReadAnswer(schema::WorkflowAnswer::Reader reader,
                                        memory_budget& budget) {
  using schema::WorkflowAnswer;
  switch (reader.which()) {
    case WorkflowAnswer::ACCEPTED:
      return workflow::accepted{};
    case WorkflowAnswer::JOB:
      return workflow::job_view{
          Enumerator(reader.getJob(), workflow::job_phase::kCancelled),
          Enumerator(reader.getJobFailure(),
                     workflow::job_failure::kWorkerCrashes)};
    case WorkflowAnswer::NO_SUCH_JOB:
      return workflow::job_not_found{};
    case WorkflowAnswer::QUEUED:
      return workflow::queue_view{reader.getQueued()};
    case WorkflowAnswer::CATALOG:
      return workflow::catalog_view{reader.getCatalog().getVersion(),
                                    String(reader.getCatalog().getDocument())};
    case WorkflowAnswer::FAILURE: {
      core::failure f;
      Read(reader.getFailure(), f, budget);
      return f;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow answer");
}

template <class Id>
static void WriteIds(const std::vector<Id>& ids,
                     capnp::List<capnp::Text>::Builder builder) {
  for (std::size_t i = 0; i < ids.size(); ++i) {
    builder.set(static_cast<unsigned>(i), Text(ids[i].v));
  }
}

static void WriteMessage(const workflow::hello& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initHello();
  g.setName(Text(value.name));
  g.setAsksEligibility(value.can_check_eligibility);
  g.setRelaysOrders(value.can_relay_orders);
  g.setDataCentre(Text(value.data_centre));
}
static void WriteMessage(const workflow::hello_reply& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initGreeting();
  g.setSelf(Text(value.self.v));
  g.setLeader(Text(value.leader.v));
  g.setMembersRevision(value.members.revision);
  WriteIds(value.members.ids, g.initMembers(value.members.ids.size()));
}
static void WriteMessage(const workflow::members_changed& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initMembersChanged();
  g.setRevision(value.members.revision);
  WriteIds(value.members.ids, g.initMembers(value.members.ids.size()));
}
static void WriteMessage(const workflow::request& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initRequest();
  g.setId(value.id);
  std::visit([&](const auto& body) { WriteRequest(body, g); }, value.body);
}
static void WriteMessage(const workflow::answer& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initAnswer();
  g.setId(value.id);
  std::visit([&](const auto& body) { WriteAnswer(body, g); }, value.body);
}
static void WriteMessage(const workflow::eligibility_request& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initAskEligibility();
  g.setId(value.id);
  Write(value.step, g.initStep());
  WriteIds(value.workers, g.initWorkers(value.workers.size()));
}
static void WriteMessage(const workflow::eligibility_reply& value,
                         schema::WorkflowMessage::Builder builder) {
  auto g = builder.initEligibility();
  g.setId(value.id);
  g.setKnown(value.known);
  auto rows = g.initEligible(value.eligible.size());
  for (std::size_t i = 0; i < value.eligible.size(); ++i) {
    rows[static_cast<unsigned>(i)].setId(Text(value.eligible[i].id.v));
    rows[static_cast<unsigned>(i)].setTicket(Text(value.eligible[i].ticket));
  }
}

static void WriteMessage(const workflow::order_request& value,
                         schema::WorkflowMessage::Builder builder) {
  Write(value, builder.initOrderRequest());
}
static void WriteMessage(const workflow::order_reply& value,
                         schema::WorkflowMessage::Builder builder) {
  Write(value, builder.initOrderReply());
}

static void Read(schema::EligibleWorker::Reader reader,
                 workflow::eligible_worker& value, memory_budget&) {
  value = {{String(reader.getId())}, String(reader.getTicket())};
}

static workflow::message ReadMessage(schema::WorkflowMessage::Reader reader,
                                     memory_budget& budget) {
  using schema::WorkflowMessage;
  switch (reader.which()) {
    case WorkflowMessage::HELLO: {
      const auto g = reader.getHello();
      return workflow::hello{String(g.getName()), g.getAsksEligibility(),
                             g.getRelaysOrders(), String(g.getDataCentre())};
    }
    case WorkflowMessage::GREETING: {
      workflow::hello_reply value;
      value.self.v = String(reader.getGreeting().getSelf());
      value.leader.v = String(reader.getGreeting().getLeader());
      value.members.revision = reader.getGreeting().getMembersRevision();
      ReadList(reader.getGreeting().getMembers(), value.members.ids, budget);
      return value;
    }
    case WorkflowMessage::MEMBERS_CHANGED: {
      const auto g = reader.getMembersChanged();
      workflow::members_changed value;
      value.members.revision = g.getRevision();
      ReadList(g.getMembers(), value.members.ids, budget);
      return value;
    }
    case WorkflowMessage::REQUEST:
      return workflow::request{reader.getRequest().getId(),
                               ReadRequest(reader.getRequest(), budget)};
    case WorkflowMessage::ANSWER:
      return workflow::answer{reader.getAnswer().getId(),
                              ReadAnswer(reader.getAnswer(), budget)};
    case WorkflowMessage::ASK_ELIGIBILITY: {
      const auto g = reader.getAskEligibility();
      workflow::eligibility_request value;
      value.id = g.getId();
      Read(g.getStep(), value.step, budget);
      ReadList(g.getWorkers(), value.workers, budget);
      return value;
    }
    case WorkflowMessage::ELIGIBILITY: {
      const auto g = reader.getEligibility();
      workflow::eligibility_reply value;
      value.id = g.getId();
      value.known = g.getKnown();
      ReadList(g.getEligible(), value.eligible, budget);
      return value;
    }
    case WorkflowMessage::ORDER_REQUEST: {
      workflow::order_request value;
      Read(reader.getOrderRequest(), value, budget);
      return value;
    }
    case WorkflowMessage::ORDER_REPLY: {
      workflow::order_reply value;
      Read(reader.getOrderReply(), value, budget);
      return value;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of workflow message");
}

void Write(const workflow::message& value,
           schema::WorkflowMessage::Builder builder) {
  std::visit([&](const auto& m) { WriteMessage(m, builder); }, value);
}

void Read(schema::WorkflowMessage::Reader reader, workflow::message& value,
          memory_budget& budget) {
  value = ReadMessage(reader, budget);
}

}  // namespace mangoplank::wire
