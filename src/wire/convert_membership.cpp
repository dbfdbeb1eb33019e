#include "wire/convert.h"

/// Conversions of announcements, orders and slot shares.
namespace mangoplank::wire {

using core::overloaded;

void Write(const control::task_state& v, schema::TaskState::Builder b) {
  Write(v.id, b.initId());
  b.setAttempt(v.attempt);
  b.setPhase(Number(v.phase));
  Write(v.used, b.initUsed());
  b.setDetail(Text(v.detail));
}

void Read(schema::TaskState::Reader r, control::task_state& v, budget& left) {
  Read(r.getId(), v.id, left);
  v.attempt = r.getAttempt();
  v.phase = Enumerator(r.getPhase(), cell::task_phase::kUnknown);
  Read(r.getUsed(), v.used, left);
  v.detail = String(r.getDetail());
}

void Write(const control::announcement& v, schema::Announcement::Builder b) {
  Write(v.worker, b.initWorker());
  b.setSequence(v.sequence);
  WriteList(v.tasks, b.initTasks(v.tasks.size()));
  b.setLeaving(v.leaving);
}

void Read(schema::Announcement::Reader r, control::announcement& v,
          budget& left) {
  Read(r.getWorker(), v.worker, left);
  v.sequence = r.getSequence();
  ReadList(r.getTasks(), v.tasks, left);
  v.leaving = r.getLeaving();
}

namespace {

void WriteStart(const control::start_order& v, schema::StartOrder::Builder b) {
  Write(v.id, b.initId());
  b.setAttempt(v.attempt);
  b.setIsService(v.is_service);
  Write(v.need, b.initNeed());
  b.setProgram(Data(v.program));
  b.setName(Text(v.name));
  b.setDepartment(Text(v.department.v));
}

void ReadStart(schema::StartOrder::Reader r, control::start_order& v,
               budget& left) {
  Read(r.getId(), v.id, left);
  v.attempt = r.getAttempt();
  v.is_service = r.getIsService();
  Read(r.getNeed(), v.need, left);
  v.program = String(r.getProgram());
  v.name = String(r.getName());
  v.department.v = String(r.getDepartment());
}

void WriteStop(const control::stop_order& v, schema::StopOrder::Builder b) {
  Write(v.id, b.initId());
  b.setAttempt(v.attempt);
  b.setCheckpoint(v.checkpoint);
}

void ReadStop(schema::StopOrder::Reader r, control::stop_order& v,
              budget& left) {
  Read(r.getId(), v.id, left);
  v.attempt = r.getAttempt();
  v.checkpoint = r.getCheckpoint();
}

void WriteThrottle(const control::throttle_order& v,
                   schema::ThrottleOrder::Builder b) {
  Write(v.id, b.initId());
  b.setAttempt(v.attempt);
  Write(v.limit, b.initLimit());
}

void ReadThrottle(schema::ThrottleOrder::Reader r, control::throttle_order& v,
                  budget& left) {
  Read(r.getId(), v.id, left);
  v.attempt = r.getAttempt();
  Read(r.getLimit(), v.limit, left);
}

}  // namespace

void Write(const control::order& v, schema::Order::Builder b) {
  std::visit(
      overloaded{
          [&](const control::start_order& o) { WriteStart(o, b.initStart()); },
          [&](const control::stop_order& o) { WriteStop(o, b.initStop()); },
          [&](const control::throttle_order& o) {
            WriteThrottle(o, b.initThrottle());
          }},
      v);
}

void Read(schema::Order::Reader r, control::order& v, budget& left) {
  using schema::Order;
  switch (r.which()) {
    case Order::START:
      return ReadStart(r.getStart(), v.emplace<control::start_order>(), left);
    case Order::STOP:
      return ReadStop(r.getStop(), v.emplace<control::stop_order>(), left);
    case Order::THROTTLE:
      return ReadThrottle(r.getThrottle(), v.emplace<control::throttle_order>(),
                          left);
  }
  KJ_FAIL_REQUIRE("unknown alternative of order");
}

void Write(const control::announcement_reply& v,
           schema::AnnouncementReply::Builder b) {
  b.setWorker(Text(v.worker.v));
  b.setIncarnation(v.incarnation);
  b.setSequence(v.sequence);
  b.setTerm(v.term);
  b.setLeaseMs(v.lease.count());
  WriteList(v.orders, b.initOrders(v.orders.size()));
  b.setSuperseded(v.superseded);
}

void Read(schema::AnnouncementReply::Reader r, control::announcement_reply& v,
          budget& left) {
  v.worker.v = String(r.getWorker());
  v.incarnation = r.getIncarnation();
  v.sequence = r.getSequence();
  v.term = r.getTerm();
  v.lease = core::milliseconds(r.getLeaseMs());
  ReadList(r.getOrders(), v.orders, left);
  v.superseded = r.getSuperseded();
}

void Write(const control::slot_demand& v, schema::SlotDemand::Builder b) {
  Write(v.service, b.initService());
  b.setWanted(v.wanted);
}

void Read(schema::SlotDemand::Reader r, control::slot_demand& v, budget& left) {
  Read(r.getService(), v.service, left);
  v.wanted = r.getWanted();
}

void Write(const control::slot_grant& v, schema::SlotGrant::Builder b) {
  b.setWorker(Text(v.worker.v));
  b.setIncarnation(v.incarnation);
  b.setSlots(v.slots);
}

void Read(schema::SlotGrant::Reader r, control::slot_grant& v, budget&) {
  v.worker.v = String(r.getWorker());
  v.incarnation = r.getIncarnation();
  v.slots = r.getSlots();
}

void Write(const control::slot_grants& v, schema::SlotGrants::Builder b) {
  b.setTerm(v.term);
  b.setSequence(v.sequence);
  b.setReport(v.report_number);
  b.setLeaseMs(v.lease.count());
  WriteList(v.grants, b.initGrants(v.grants.size()));
}

void Read(schema::SlotGrants::Reader r, control::slot_grants& v, budget& left) {
  v.term = r.getTerm();
  v.sequence = r.getSequence();
  v.report_number = r.getReport();
  v.lease = core::milliseconds(r.getLeaseMs());
  ReadList(r.getGrants(), v.grants, left);
}

void Write(const control::slot_report& v, schema::SlotReport::Builder b) {
  b.setNumber(v.number);
  b.setTerm(v.term);
  b.setKeptSequence(v.applied_sequence);
  WriteList(v.demand, b.initDemand(v.demand.size()));
  WriteList(v.held, b.initHeld(v.held.size()));
}

void Read(schema::SlotReport::Reader r, control::slot_report& v, budget& left) {
  v.number = r.getNumber();
  v.term = r.getTerm();
  v.applied_sequence = r.getKeptSequence();
  ReadList(r.getDemand(), v.demand, left);
  ReadList(r.getHeld(), v.held, left);
}

}  // namespace mangoplank::wire
