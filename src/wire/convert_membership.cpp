#include "wire/convert.h"

/// Conversions of announcements, orders, slot reports and slot grants.
namespace mangoplank::wire {

using core::overloaded;

void Write(const control::task_state& value,
           schema::TaskState::Builder builder) {
  Write(value.id, builder.initId());
  builder.setAttempt(value.attempt);
  builder.setPhase(Number(value.phase));
  Write(value.used, builder.initUsed());
  builder.setDetail(Text(value.detail));
}

void Read(schema::TaskState::Reader reader, control::task_state& value,
          memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.attempt = reader.getAttempt();
  value.phase = Enumerator(reader.getPhase(), cell::task_phase::kUnknown);
  Read(reader.getUsed(), value.used, budget);
  value.detail = String(reader.getDetail());
}

void Write(const control::announcement& value,
           schema::Announcement::Builder builder) {
  Write(value.worker, builder.initWorker());
  builder.setSequence(value.sequence);
  WriteList(value.tasks, builder.initTasks(value.tasks.size()));
  builder.setLeaving(value.leaving);
}

void Read(schema::Announcement::Reader reader, control::announcement& value,
          memory_budget& budget) {
  Read(reader.getWorker(), value.worker, budget);
  value.sequence = reader.getSequence();
  ReadList(reader.getTasks(), value.tasks, budget);
  value.leaving = reader.getLeaving();
}

namespace {

void WriteStart(const control::start_order& value,
                schema::StartOrder::Builder builder) {
  Write(value.id, builder.initId());
  builder.setAttempt(value.attempt);
  builder.setIsService(value.is_service);
  Write(value.need, builder.initNeed());
  builder.setProgram(Data(value.program));
  builder.setName(Text(value.name));
  builder.setDepartment(Text(value.department.v));
}

void ReadStart(schema::StartOrder::Reader reader, control::start_order& value,
               memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.attempt = reader.getAttempt();
  value.is_service = reader.getIsService();
  Read(reader.getNeed(), value.need, budget);
  value.program = String(reader.getProgram());
  value.name = String(reader.getName());
  value.department.v = String(reader.getDepartment());
}

void WriteStop(const control::stop_order& value,
               schema::StopOrder::Builder builder) {
  Write(value.id, builder.initId());
  builder.setAttempt(value.attempt);
  builder.setCheckpoint(value.checkpoint);
}

void ReadStop(schema::StopOrder::Reader reader, control::stop_order& value,
              memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.attempt = reader.getAttempt();
  value.checkpoint = reader.getCheckpoint();
}

void WriteThrottle(const control::throttle_order& value,
                   schema::ThrottleOrder::Builder builder) {
  Write(value.id, builder.initId());
  builder.setAttempt(value.attempt);
  Write(value.limit, builder.initLimit());
}

void ReadThrottle(schema::ThrottleOrder::Reader reader,
                  control::throttle_order& value, memory_budget& budget) {
  Read(reader.getId(), value.id, budget);
  value.attempt = reader.getAttempt();
  Read(reader.getLimit(), value.limit, budget);
}

}  // namespace

void Write(const control::order& value, schema::Order::Builder builder) {
  std::visit(overloaded{[&](const control::start_order& o) {
                          WriteStart(o, builder.initStart());
                        },
                        [&](const control::stop_order& o) {
                          WriteStop(o, builder.initStop());
                        },
                        [&](const control::throttle_order& o) {
                          WriteThrottle(o, builder.initThrottle());
                        }},
             value);
}

void Read(schema::Order::Reader reader, control::order& value,
          memory_budget& budget) {
  using schema::Order;
  switch (reader.which()) {
    case Order::START:
      return ReadStart(reader.getStart(), value.emplace<control::start_order>(),
                       budget);
    case Order::STOP:
      return ReadStop(reader.getStop(), value.emplace<control::stop_order>(),
                      budget);
    case Order::THROTTLE:
      return ReadThrottle(reader.getThrottle(),
                          value.emplace<control::throttle_order>(), budget);
  }
  KJ_FAIL_REQUIRE("unknown alternative of order");
}

void Write(const control::announcement_reply& value,
           schema::AnnouncementReply::Builder builder) {
  builder.setWorker(Text(value.worker.v));
  builder.setIncarnation(value.incarnation);
  builder.setSequence(value.sequence);
  builder.setTerm(value.term);
  builder.setLeaseMs(value.lease.count());
  WriteList(value.orders, builder.initOrders(value.orders.size()));
  builder.setSuperseded(value.superseded);
}

void Read(schema::AnnouncementReply::Reader reader,
          control::announcement_reply& value, memory_budget& budget) {
  value.worker.v = String(reader.getWorker());
  value.incarnation = reader.getIncarnation();
  value.sequence = reader.getSequence();
  value.term = reader.getTerm();
  value.lease = core::milliseconds(reader.getLeaseMs());
  ReadList(reader.getOrders(), value.orders, budget);
  value.superseded = reader.getSuperseded();
}

void Write(const control::slot_demand& value,
           schema::SlotDemand::Builder builder) {
  Write(value.service, builder.initService());
  builder.setWanted(value.wanted);
}

void Read(schema::SlotDemand::Reader reader, control::slot_demand& value,
          memory_budget& budget) {
  Read(reader.getService(), value.service, budget);
  value.wanted = reader.getWanted();
}

void Write(const control::slot_grant& value,
           schema::SlotGrant::Builder builder) {
  builder.setWorker(Text(value.worker.v));
  builder.setIncarnation(value.incarnation);
  builder.setSlots(value.slots);
}

void Read(schema::SlotGrant::Reader reader, control::slot_grant& value,
          memory_budget&) {
  value.worker.v = String(reader.getWorker());
  value.incarnation = reader.getIncarnation();
  value.slots = reader.getSlots();
}

void Write(const control::slot_grants& value,
           schema::SlotGrants::Builder builder) {
  builder.setTerm(value.term);
  builder.setSequence(value.sequence);
  builder.setReport(value.report_number);
  builder.setLeaseMs(value.lease.count());
  WriteList(value.grants, builder.initGrants(value.grants.size()));
}

void Read(schema::SlotGrants::Reader reader, control::slot_grants& value,
          memory_budget& budget) {
  value.term = reader.getTerm();
  value.sequence = reader.getSequence();
  value.report_number = reader.getReport();
  value.lease = core::milliseconds(reader.getLeaseMs());
  ReadList(reader.getGrants(), value.grants, budget);
}

void Write(const control::slot_report& value,
           schema::SlotReport::Builder builder) {
  builder.setNumber(value.number);
  builder.setTerm(value.term);
  builder.setKeptSequence(value.applied_sequence);
  WriteList(value.demand, builder.initDemand(value.demand.size()));
  WriteList(value.held, builder.initHeld(value.held.size()));
}

void Read(schema::SlotReport::Reader reader, control::slot_report& value,
          memory_budget& budget) {
  value.number = reader.getNumber();
  value.term = reader.getTerm();
  value.applied_sequence = reader.getKeptSequence();
  ReadList(reader.getDemand(), value.demand, budget);
  ReadList(reader.getHeld(), value.held, budget);
}

}  // namespace mangoplank::wire
