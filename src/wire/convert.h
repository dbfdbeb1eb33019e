#ifndef MANGOPLANK_SRC_WIRE_CONVERT_H_
#define MANGOPLANK_SRC_WIRE_CONVERT_H_

#include <kj/debug.h>

#include <string>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/consensus/messages.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/wire/codec.h"
#include "wire/cell.capnp.h"
#include "wire/consensus.capnp.h"
#include "wire/control.capnp.h"

/// Conversions between values and Cap'n Proto messages. `Write` fills a
/// message, `Read` fills a value. A `Read` of a message that is not valid
/// throws kj::Exception, as the accessors of Cap'n Proto do; the codec catches
/// it.
namespace mangoplank::wire {

/// Bounds the memory of the lists of one decoded message, as a list of empty
/// structs takes no room in the message.
class budget {
 public:
  explicit budget(std::size_t bytes) : left_(bytes) {}
  /// Throws kj::Exception if more than the budget was taken.
  void Take(std::size_t count, std::size_t bytes_each);

 private:
  std::size_t left_;
};

inline capnp::Text::Reader Text(const std::string& s) {
  return {s.c_str(), s.size()};
}
inline capnp::Data::Reader Data(const std::string& s) {
  return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
inline std::string String(capnp::Text::Reader t) {
  return {t.begin(), t.size()};
}
inline std::string String(capnp::Data::Reader d) {
  return {reinterpret_cast<const char*>(d.begin()), d.size()};
}
inline std::int64_t Number(core::milliseconds m) { return m.count(); }

template <class E>
std::uint8_t Number(E e) requires std::is_enum_v<E> {
  return static_cast<std::uint8_t>(e);
}

/// @param last enumerator of E.
template <class E>
E Enumerator(std::uint8_t n, E last) {
  KJ_REQUIRE(n <= static_cast<std::uint8_t>(last), "number of an enumeration");
  return static_cast<E>(n);
}

// --- core and cell ---------------------------------------------------------

void Write(const core::resources& v, schema::Resources::Builder b);
void Read(schema::Resources::Reader r, core::resources& v, budget& left);
void Write(const core::endpoint& v, schema::Endpoint::Builder b);
void Read(schema::Endpoint::Reader r, core::endpoint& v, budget& left);
void Write(const core::location& v, schema::Location::Builder b);
void Read(schema::Location::Reader r, core::location& v, budget& left);
void Write(const core::field_error& v, schema::FieldError::Builder b);
void Read(schema::FieldError::Reader r, core::field_error& v, budget& left);
void Write(const core::failure& v, schema::Failure::Builder b);
void Read(schema::Failure::Reader r, core::failure& v, budget& left);

void Write(const cell::object_key& v, schema::ObjectKey::Builder b);
void Read(schema::ObjectKey::Reader r, cell::object_key& v, budget& left);
void Write(const cell::operation& v, schema::Operation::Builder b);
void Read(schema::Operation::Reader r, cell::operation& v, budget& left);
void Write(const cell::token_grant& v, schema::TokenGrant::Builder b);
void Read(schema::TokenGrant::Reader r, cell::token_grant& v, budget& left);
void Write(const cell::object_spec& v, schema::ObjectSpec::Builder b);
void Read(schema::ObjectSpec::Reader r, cell::object_spec& v, budget& left);
void Write(const cell::object& v, schema::Object::Builder b);
void Read(schema::Object::Reader r, cell::object& v, budget& left);
void Write(const cell::worker_record& v, schema::WorkerRecord::Builder b);
void Read(schema::WorkerRecord::Reader r, cell::worker_record& v, budget& left);
void Write(const cell::task_id& v, schema::TaskId::Builder b);
void Read(schema::TaskId::Reader r, cell::task_id& v, budget& left);
void Write(const cell::task_record& v, schema::TaskRecord::Builder b);
void Read(schema::TaskRecord::Reader r, cell::task_record& v, budget& left);
void Write(const cell::job_status& v, schema::JobStatus::Builder b);
void Read(schema::JobStatus::Reader r, cell::job_status& v, budget& left);
void Write(const cell::call_key& v, schema::CallKey::Builder b);
void Read(schema::CallKey::Reader r, cell::call_key& v, budget& left);
void Write(const cell::call_outcome& v, schema::CallOutcome::Builder b);
void Read(schema::CallOutcome::Reader r, cell::call_outcome& v, budget& left);
void Write(const cell::call_record& v, schema::CallRecord::Builder b);
void Read(schema::CallRecord::Reader r, cell::call_record& v, budget& left);
void Write(const cell::task_placement& v, schema::TaskPlacement::Builder b);
void Read(schema::TaskPlacement::Reader r, cell::task_placement& v,
          budget& left);
void Write(const cell::task_report& v, schema::TaskReport::Builder b);
void Read(schema::TaskReport::Reader r, cell::task_report& v, budget& left);
void Write(const cell::command& v, schema::Command::Builder b);
void Read(schema::Command::Reader r, cell::command& v, budget& left);
void Write(const cell::change& v, schema::Change::Builder b);
void Read(schema::Change::Reader r, cell::change& v, budget& left);
void Write(const cell::accepted& v, schema::Accepted::Builder b);
void Read(schema::Accepted::Reader r, cell::accepted& v, budget& left);
void Write(const cell::state_image::request_image& v,
           schema::AnsweredRequest::Builder b);
void Read(schema::AnsweredRequest::Reader r,
          cell::state_image::request_image& v, budget& left);
void Write(const cell::state_image& v, schema::StateImage::Builder b);
void Read(schema::StateImage::Reader r, cell::state_image& v, budget& left);

// --- consensus -------------------------------------------------------------

void Write(const consensus::member& v, schema::Member::Builder b);
void Read(schema::Member::Reader r, consensus::member& v, budget& left);
void Write(const consensus::membership& v, schema::Membership::Builder b);
void Read(schema::Membership::Reader r, consensus::membership& v, budget& left);
void Write(const consensus::log_entry& v, schema::LogEntry::Builder b);
void Read(schema::LogEntry::Reader r, consensus::log_entry& v, budget& left);
void Write(const consensus::message& v, schema::ConsensusMessage::Builder b);
void Read(schema::ConsensusMessage::Reader r, consensus::message& v,
          budget& left);
void Write(const peer_hello& v, schema::PeerHello::Builder b);
void Read(schema::PeerHello::Reader r, peer_hello& v, budget& left);

// --- control ---------------------------------------------------------------

void Write(const control::task_state& v, schema::TaskState::Builder b);
void Read(schema::TaskState::Reader r, control::task_state& v, budget& left);
void Write(const control::announcement& v, schema::Announcement::Builder b);
void Read(schema::Announcement::Reader r, control::announcement& v,
          budget& left);
void Write(const control::order& v, schema::Order::Builder b);
void Read(schema::Order::Reader r, control::order& v, budget& left);
void Write(const control::announcement_reply& v,
           schema::AnnouncementReply::Builder b);
void Read(schema::AnnouncementReply::Reader r, control::announcement_reply& v,
          budget& left);
void Write(const control::slot_demand& v, schema::SlotDemand::Builder b);
void Read(schema::SlotDemand::Reader r, control::slot_demand& v, budget& left);
void Write(const control::slot_grant& v, schema::SlotGrant::Builder b);
void Read(schema::SlotGrant::Reader r, control::slot_grant& v, budget& left);
void Write(const control::slot_grants& v, schema::SlotGrants::Builder b);
void Read(schema::SlotGrants::Reader r, control::slot_grants& v, budget& left);
void Write(const control::slot_report& v, schema::SlotReport::Builder b);
void Read(schema::SlotReport::Reader r, control::slot_report& v, budget& left);
void Write(const control::request& v, schema::Request::Builder b);
void Read(schema::Request::Reader r, control::request& v, budget& left);
void Write(const control::object_view& v, schema::ObjectView::Builder b);
void Read(schema::ObjectView::Reader r, control::object_view& v, budget& left);
void Write(const control::entry_status& v, schema::EntryStatus::Builder b);
void Read(schema::EntryStatus::Reader r, control::entry_status& v,
          budget& left);
void Write(const control::control_status& v, schema::ControlStatus::Builder b);
void Read(schema::ControlStatus::Reader r, control::control_status& v,
          budget& left);
void Write(const control::department_share& v,
           schema::DepartmentShare::Builder b);
void Read(schema::DepartmentShare::Reader r, control::department_share& v,
          budget& left);
void Write(const control::answer& v, schema::Answer::Builder b);
void Read(schema::Answer::Reader r, control::answer& v, budget& left);
void Write(const control::message& v, schema::ControlMessage::Builder b);
void Read(schema::ControlMessage::Reader r, control::message& v, budget& left);

// --- lists -----------------------------------------------------------------

template <class T, class ListBuilder>
void WriteList(const std::vector<T>& values, ListBuilder list) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    Write(values[i], list[static_cast<unsigned>(i)]);
  }
}

template <class T, class ListReader>
void ReadList(ListReader list, std::vector<T>& values, budget& left) {
  left.Take(list.size(), sizeof(T));
  values.reserve(list.size());
  for (const auto item : list) Read(item, values.emplace_back(), left);
}

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_SRC_WIRE_CONVERT_H_
