#include "wire/convert_workflow.h"

/// Conversions of the orders that a control process relays to workers.
namespace mangoplank::wire {

static void Read(schema::RunningRun::Reader reader,
                 workflow::running_run& value, memory_budget& budget) {
  Read(reader.getRun(), value.run, budget);
  value.checkpoint = String(reader.getCheckpoint());
  value.percent = reader.getPercent();
}
static void Read(schema::EndedRun::Reader reader, workflow::ended_run& value,
                 memory_budget& budget) {
  value.number = reader.getNumber();
  Read(reader.getRun(), value.run, budget);
  value.ending =
      Enumerator(reader.getHow(), workflow::kLastRunEnd);
  value.checkpoint = String(reader.getCheckpoint());
}

static void Write(const workflow::running_run& value,
                  schema::RunningRun::Builder builder) {
  Write(value.run, builder.initRun());
  builder.setCheckpoint(Text(value.checkpoint));
  builder.setPercent(value.percent);
}
static void Write(const workflow::ended_run& value,
                  schema::EndedRun::Builder builder) {
  builder.setNumber(value.number);
  Write(value.run, builder.initRun());
  builder.setHow(Number(value.ending));
  builder.setCheckpoint(Text(value.checkpoint));
}

// WriteList does not find the functions of this file.
template <class T, class ListBuilder>
static void WriteRuns(const std::vector<T>& runs, ListBuilder list) {
  for (std::size_t i = 0; i < runs.size(); ++i) {
    Write(runs[i], list[static_cast<unsigned>(i)]);
  }
}

static void WriteOrder(const workflow::start_order& value,
                       schema::OrderRequest::Builder builder) {
  builder.setFence(value.fence.v);
  auto g = builder.initStart();
  Write(value.run, g.initRun());
  g.setPayload(Data(value.payload));
  g.setLeaseUntilMs(value.lease_until_ms);
  g.setCheckpoint(Text(value.checkpoint));
  g.setTicket(Text(value.ticket));
}
static void WriteOrder(const workflow::stop_order& value,
                       schema::OrderRequest::Builder builder) {
  builder.setFence(value.fence.v);
  Write(value.run, builder.initStop());
}
static void WriteOrder(const workflow::poll_order& value,
                       schema::OrderRequest::Builder builder) {
  builder.setFence(value.fence.v);
  auto g = builder.initPoll();
  g.setRecordedEnds(value.recorded_ends);
  g.setRenewsLease(value.lease_until_ms.has_value());
  g.setRenewedUntilMs(value.lease_until_ms.value_or(0));
  g.setWaitMs(Number(value.wait));
}

static workflow::order ReadOrder(schema::OrderRequest::Reader reader,
                                 memory_budget& budget) {
  using schema::OrderRequest;
  switch (reader.which()) {
    case OrderRequest::START: {
      const auto g = reader.getStart();
      workflow::start_order value;
      value.fence.v = reader.getFence();
      Read(g.getRun(), value.run, budget);
      value.payload = String(g.getPayload());
      value.lease_until_ms = g.getLeaseUntilMs();
      value.checkpoint = String(g.getCheckpoint());
      value.ticket = String(g.getTicket());
      return value;
    }
    case OrderRequest::STOP: {
      workflow::stop_order value;
      value.fence.v = reader.getFence();
      Read(reader.getStop(), value.run, budget);
      return value;
    }
    case OrderRequest::POLL: {
      const auto g = reader.getPoll();
      workflow::poll_order value;
      value.fence.v = reader.getFence();
      value.recorded_ends = g.getRecordedEnds();
      if (g.getRenewsLease()) value.lease_until_ms = g.getRenewedUntilMs();
      value.wait = core::milliseconds(g.getWaitMs());
      return value;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of order request");
}

static void WriteAnswer(const workflow::order_done& value,
                        schema::OrderReply::Builder builder) {
  builder.setDone(value.clock_ms);
}
static void WriteAnswer(const workflow::order_refused& value,
                        schema::OrderReply::Builder builder) {
  builder.setRefused(Number(value.reason));
}
static void WriteAnswer(const workflow::other_incarnation&,
                        schema::OrderReply::Builder builder) {
  builder.setOtherIncarnation();
}
static void WriteAnswer(const workflow::no_answer&,
                        schema::OrderReply::Builder builder) {
  builder.setNoAnswer();
}
static void WriteAnswer(const workflow::not_sent&,
                        schema::OrderReply::Builder builder) {
  builder.setNotSent();
}
static void WriteAnswer(const workflow::worker_report& value,
                        schema::OrderReply::Builder builder) {
  auto g = builder.initReport();
  g.setClockMs(value.clock_ms);
  WriteRuns(value.running, g.initRunning(value.running.size()));
  WriteRuns(value.ended, g.initEnded(value.ended.size()));
  g.setNamesIncarnation(value.names_incarnation);
}

static workflow::order_answer ReadAnswer(schema::OrderReply::Reader reader,
                                         memory_budget& budget) {
  using schema::OrderReply;
  switch (reader.which()) {
    case OrderReply::DONE:
      return workflow::order_done{reader.getDone()};
    case OrderReply::REFUSED:
      return workflow::order_refused{
          Enumerator(reader.getRefused(), workflow::refusal::kUnhealthy)};
    case OrderReply::OTHER_INCARNATION:
      return workflow::other_incarnation{};
    case OrderReply::NO_ANSWER:
      return workflow::no_answer{};
    case OrderReply::NOT_SENT:
      return workflow::not_sent{};
    case OrderReply::REPORT: {
      const auto g = reader.getReport();
      workflow::worker_report value;
      value.clock_ms = g.getClockMs();
      ReadList(g.getRunning(), value.running, budget);
      ReadList(g.getEnded(), value.ended, budget);
      value.names_incarnation = g.getNamesIncarnation();
      return value;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of order reply");
}

void Write(const workflow::order_request& value,
           schema::OrderRequest::Builder builder) {
  builder.setId(value.id);
  Write(value.worker, builder.initWorker());
  Write(value.address, builder.initAddress());
  builder.setTimeoutMs(Number(value.timeout));
  builder.setSentAtMs(value.sent_at_ms);
  std::visit([&](const auto& order) { WriteOrder(order, builder); },
             value.order);
}

void Read(schema::OrderRequest::Reader reader, workflow::order_request& value,
          memory_budget& budget) {
  value.id = reader.getId();
  Read(reader.getWorker(), value.worker, budget);
  Read(reader.getAddress(), value.address, budget);
  value.timeout = core::milliseconds(reader.getTimeoutMs());
  value.sent_at_ms = reader.getSentAtMs();
  value.order = ReadOrder(reader, budget);
}

void Write(const workflow::order_reply& value,
           schema::OrderReply::Builder builder) {
  builder.setId(value.id);
  std::visit([&](const auto& answer) { WriteAnswer(answer, builder); },
             value.answer);
}

void Read(schema::OrderReply::Reader reader, workflow::order_reply& value,
          memory_budget& budget) {
  value.id = reader.getId();
  value.answer = ReadAnswer(reader, budget);
}

}  // namespace mangoplank::wire
