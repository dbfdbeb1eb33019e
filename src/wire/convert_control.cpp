#include "wire/convert.h"

/// Conversions of the messages of the control connection.
namespace mangoplank::wire {

using core::overloaded;

namespace {

void WriteHello(const control::hello& value, schema::Hello::Builder builder) {
  builder.setCell(Text(value.cell.v));
  builder.setEntry(Text(value.entry.v));
  builder.setIncarnation(value.incarnation);
  builder.setRegion(Text(value.region.v));
  builder.setVersion(value.version);
}

control::hello ReadHello(schema::Hello::Reader reader) {
  return {{String(reader.getCell())},
          {String(reader.getEntry())},
          reader.getIncarnation(),
          {String(reader.getRegion())},
          reader.getVersion()};
}

void WriteRequest(const control::numbered_request& value,
                  schema::NumberedRequest::Builder builder) {
  builder.setNumber(value.number);
  builder.setDeadlineMs(value.time_left.count());
  Write(value.request, builder.initRequest());
}

void ReadRequest(schema::NumberedRequest::Reader reader,
                 control::numbered_request& value, memory_budget& budget) {
  value.number = reader.getNumber();
  value.time_left = core::milliseconds(reader.getDeadlineMs());
  Read(reader.getRequest(), value.request, budget);
}

void WriteAnswer(const control::numbered_answer& value,
                 schema::NumberedAnswer::Builder builder) {
  builder.setNumber(value.number);
  if (value.answer) {
    Write(*value.answer, builder.initAnswer());
  } else {
    Write(value.answer.error(), builder.initFailure());
  }
}

void ReadAnswer(schema::NumberedAnswer::Reader reader,
                control::numbered_answer& value, memory_budget& budget) {
  using schema::NumberedAnswer;
  value.number = reader.getNumber();
  switch (reader.which()) {
    case NumberedAnswer::ANSWER: {
      control::answer a;
      Read(reader.getAnswer(), a, budget);
      value.answer = std::move(a);
      return;
    }
    case NumberedAnswer::FAILURE: {
      core::failure f;
      Read(reader.getFailure(), f, budget);
      value.answer = std::move(f);
      return;
    }
  }
  KJ_FAIL_REQUIRE("unknown alternative of numbered answer");
}

void WriteFollow(const control::subscribe_request& value,
                 schema::FollowRequest::Builder builder) {
  builder.setFeed(value.feed);
  builder.setTopic(Number(value.topic));
  builder.setDepartment(Text(value.department.v));
  builder.setFrom(value.from);
}

control::subscribe_request ReadFollow(schema::FollowRequest::Reader reader) {
  return {reader.getFeed(),
          Enumerator(reader.getTopic(), control::topic::kDepartment),
          {String(reader.getDepartment())},
          reader.getFrom()};
}

void WriteFeed(const control::feed_batch& value,
               schema::FeedBatch::Builder builder) {
  builder.setFeed(value.feed);
  builder.setTo(value.to);
  builder.setAt(value.sent_at);
  builder.setReset(value.reset);
  WriteList(value.changes, builder.initChanges(value.changes.size()));
}

void ReadFeed(schema::FeedBatch::Reader reader, control::feed_batch& value,
              memory_budget& budget) {
  value.feed = reader.getFeed();
  value.to = reader.getTo();
  value.sent_at = reader.getAt();
  value.reset = reader.getReset();
  ReadList(reader.getChanges(), value.changes, budget);
}

}  // namespace

void Write(const control::message& value,
           schema::ControlMessage::Builder builder) {
  std::visit(
      overloaded{
          [&](const control::hello& m) { WriteHello(m, builder.initHello()); },
          [&](const control::numbered_request& m) {
            WriteRequest(m, builder.initRequest());
          },
          [&](const control::numbered_answer& m) {
            WriteAnswer(m, builder.initAnswer());
          },
          [&](const control::subscribe_request& m) {
            WriteFollow(m, builder.initFollow());
          },
          [&](const control::unsubscribe_request& m) {
            builder.setUnfollow(m.feed);
          },
          [&](const control::feed_batch& m) {
            WriteFeed(m, builder.initFeed());
          },
          [&](const control::announcement_batch& m) {
            WriteList(m.announcements,
                      builder.initAnnouncements(m.announcements.size()));
          },
          [&](const control::reply_batch& m) {
            WriteList(m.replies, builder.initReplies(m.replies.size()));
          },
          [&](const control::slot_report& m) {
            Write(m, builder.initSlotReport());
          },
          [&](const control::slot_grants& m) {
            Write(m, builder.initSlotGrants());
          },
          [&](const control::heartbeat& m) {
            builder.setHeartbeat(m.revision);
          },
          [&](const control::shutdown_notice& m) {
            builder.setGoodbye(m.reconnect_after.count());
          }},
      value);
}

void Read(schema::ControlMessage::Reader reader, control::message& value,
          memory_budget& budget) {
  using schema::ControlMessage;
  switch (reader.which()) {
    case ControlMessage::HELLO:
      value = ReadHello(reader.getHello());
      return;
    case ControlMessage::REQUEST:
      return ReadRequest(reader.getRequest(),
                         value.emplace<control::numbered_request>(), budget);
    case ControlMessage::ANSWER:
      return ReadAnswer(reader.getAnswer(),
                        value.emplace<control::numbered_answer>(), budget);
    case ControlMessage::FOLLOW:
      value = ReadFollow(reader.getFollow());
      return;
    case ControlMessage::UNFOLLOW:
      value = control::unsubscribe_request{reader.getUnfollow()};
      return;
    case ControlMessage::FEED:
      return ReadFeed(reader.getFeed(), value.emplace<control::feed_batch>(),
                      budget);
    case ControlMessage::ANNOUNCEMENTS:
      return ReadList(
          reader.getAnnouncements(),
          value.emplace<control::announcement_batch>().announcements, budget);
    case ControlMessage::REPLIES:
      return ReadList(reader.getReplies(),
                      value.emplace<control::reply_batch>().replies, budget);
    case ControlMessage::SLOT_REPORT:
      return Read(reader.getSlotReport(), value.emplace<control::slot_report>(),
                  budget);
    case ControlMessage::SLOT_GRANTS:
      return Read(reader.getSlotGrants(), value.emplace<control::slot_grants>(),
                  budget);
    case ControlMessage::HEARTBEAT:
      value = control::heartbeat{reader.getHeartbeat()};
      return;
    case ControlMessage::GOODBYE:
      value = control::shutdown_notice{core::milliseconds(reader.getGoodbye())};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of control message");
}

}  // namespace mangoplank::wire
