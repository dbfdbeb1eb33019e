#include "wire/convert.h"

/// Conversions of the messages of the control connection.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteHello(const control::hello& v, schema::Hello::Builder b) {
  b.setCell(Text(v.cell.v));
  b.setEntry(Text(v.entry.v));
  b.setIncarnation(v.incarnation);
  b.setRegion(Text(v.region.v));
  b.setVersion(v.version);
}

control::hello ReadHello(schema::Hello::Reader r) {
  return {{String(r.getCell())},
          {String(r.getEntry())},
          r.getIncarnation(),
          {String(r.getRegion())},
          r.getVersion()};
}

void WriteRequest(const control::numbered_request& v,
                  schema::NumberedRequest::Builder b) {
  b.setNumber(v.number);
  b.setDeadlineMs(v.time_left.count());
  Write(v.request, b.initRequest());
}

void ReadRequest(schema::NumberedRequest::Reader r,
                 control::numbered_request& v, budget& left) {
  v.number = r.getNumber();
  v.time_left = core::milliseconds(r.getDeadlineMs());
  Read(r.getRequest(), v.request, left);
}

void WriteAnswer(const control::numbered_answer& v,
                 schema::NumberedAnswer::Builder b) {
  b.setNumber(v.number);
  if (v.answer) {
    Write(*v.answer, b.initAnswer());
  } else {
    Write(v.answer.error(), b.initFailure());
  }
}

void ReadAnswer(schema::NumberedAnswer::Reader r, control::numbered_answer& v,
                budget& left) {
  using schema::NumberedAnswer;
  v.number = r.getNumber();
  switch (r.which()) {
    case NumberedAnswer::ANSWER: {
      control::answer a;
      Read(r.getAnswer(), a, left);
      v.answer = std::move(a);
      return;
    }
    case NumberedAnswer::FAILURE: {
      core::failure f;
      Read(r.getFailure(), f, left);
      v.answer = std::move(f);
      return;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of numbered answer");
}

void WriteFollow(const control::subscribe_request& v,
                 schema::FollowRequest::Builder b) {
  b.setFeed(v.feed);
  b.setTopic(Number(v.topic));
  b.setDepartment(Text(v.department.v));
  b.setFrom(v.from);
}

control::subscribe_request ReadFollow(schema::FollowRequest::Reader r) {
  return {r.getFeed(),
          Enumerator(r.getTopic(), control::topic::kDepartment),
          {String(r.getDepartment())},
          r.getFrom()};
}

void WriteFeed(const control::feed_batch& v, schema::FeedBatch::Builder b) {
  b.setFeed(v.feed);
  b.setTo(v.to);
  b.setAt(v.sent_at);
  b.setReset(v.reset);
  WriteList(v.changes, b.initChanges(v.changes.size()));
}

void ReadFeed(schema::FeedBatch::Reader r, control::feed_batch& v,
              budget& left) {
  v.feed = r.getFeed();
  v.to = r.getTo();
  v.sent_at = r.getAt();
  v.reset = r.getReset();
  ReadList(r.getChanges(), v.changes, left);
}

}  // namespace

void Write(const control::message& v, schema::ControlMessage::Builder b) {
  std::visit(
      overloaded{
          [&](const control::hello& m) { WriteHello(m, b.initHello()); },
          [&](const control::numbered_request& m) {
            WriteRequest(m, b.initRequest());
          },
          [&](const control::numbered_answer& m) {
            WriteAnswer(m, b.initAnswer());
          },
          [&](const control::subscribe_request& m) {
            WriteFollow(m, b.initFollow());
          },
          [&](const control::unsubscribe_request& m) { b.setUnfollow(m.feed); },
          [&](const control::feed_batch& m) { WriteFeed(m, b.initFeed()); },
          [&](const control::announcement_batch& m) {
            WriteList(m.announcements,
                      b.initAnnouncements(m.announcements.size()));
          },
          [&](const control::reply_batch& m) {
            WriteList(m.replies, b.initReplies(m.replies.size()));
          },
          [&](const control::slot_report& m) { Write(m, b.initSlotReport()); },
          [&](const control::slot_grants& m) { Write(m, b.initSlotGrants()); },
          [&](const control::heartbeat& m) { b.setHeartbeat(m.revision); },
          [&](const control::shutdown_notice& m) {
            b.setGoodbye(m.reconnect_after.count());
          }},
      v);
}

void Read(schema::ControlMessage::Reader r, control::message& v, budget& left) {
  using schema::ControlMessage;
  switch (r.which()) {
    case ControlMessage::HELLO:
      v = ReadHello(r.getHello());
      return;
    case ControlMessage::REQUEST:
      return ReadRequest(r.getRequest(), v.emplace<control::numbered_request>(),
                         left);
    case ControlMessage::ANSWER:
      return ReadAnswer(r.getAnswer(), v.emplace<control::numbered_answer>(),
                        left);
    case ControlMessage::FOLLOW:
      v = ReadFollow(r.getFollow());
      return;
    case ControlMessage::UNFOLLOW:
      v = control::unsubscribe_request{r.getUnfollow()};
      return;
    case ControlMessage::FEED:
      return ReadFeed(r.getFeed(), v.emplace<control::feed_batch>(), left);
    case ControlMessage::ANNOUNCEMENTS:
      return ReadList(r.getAnnouncements(),
                      v.emplace<control::announcement_batch>().announcements,
                      left);
    case ControlMessage::REPLIES:
      return ReadList(r.getReplies(), v.emplace<control::reply_batch>().replies,
                      left);
    case ControlMessage::SLOT_REPORT:
      return Read(r.getSlotReport(), v.emplace<control::slot_report>(), left);
    case ControlMessage::SLOT_GRANTS:
      return Read(r.getSlotGrants(), v.emplace<control::slot_grants>(), left);
    case ControlMessage::HEARTBEAT:
      v = control::heartbeat{r.getHeartbeat()};
      return;
    case ControlMessage::GOODBYE:
      v = control::shutdown_notice{core::milliseconds(r.getGoodbye())};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of control message");
}

}  // namespace mangoplank::wire
