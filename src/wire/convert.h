#ifndef MANGOPLANK_SRC_WIRE_CONVERT_H_
#define MANGOPLANK_SRC_WIRE_CONVERT_H_

#include <kj/debug.h>

#include <string>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/consensus/messages.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/tenancy/tenant.h"
#include "mangoplank/wire/codec.h"
#include "wire/cell.capnp.h"
#include "wire/consensus.capnp.h"
#include "wire/control.capnp.h"

/// Conversions between values and Cap'n Proto messages. `Write` fills a
/// message, `Read` fills a value. `Read` throws kj::Exception for an invalid
/// message, as the accessors of Cap'n Proto do; the codec catches it.
namespace mangoplank::wire {

/// Bounds the memory for the lists of one decoded message, as a list of empty
/// structs takes no space in the message.
class memory_budget {
 public:
  explicit memory_budget(std::size_t bytes) : remaining_(bytes) {}
  /// Throws kj::Exception if the budget is exceeded.
  void Consume(std::size_t count, std::size_t bytes_each);

 private:
  std::size_t remaining_;
};

inline capnp::Text::Reader Text(const std::string& text) {
  return {text.c_str(), text.size()};
}
inline capnp::Data::Reader Data(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}
inline std::string String(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}
inline std::string String(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}
inline capnp::Data::Reader DigestData(const tenancy::key_digest& digest) {
  return {digest.bytes.data(), digest.bytes.size()};
}
/// @return no value if `bytes` is empty.
std::optional<tenancy::key_digest> ReadDigest(capnp::Data::Reader bytes);
inline std::int64_t Number(core::milliseconds duration) {
  return duration.count();
}

template <class E>
std::uint8_t Number(E enumerator) requires std::is_enum_v<E> {
  return static_cast<std::uint8_t>(enumerator);
}

/// @param last last enumerator of E.
template <class E>
E Enumerator(std::uint8_t number, E last) {
  KJ_REQUIRE(number <= static_cast<std::uint8_t>(last),
             "enumerator out of range");
  return static_cast<E>(number);
}

// --- core and cell ---------------------------------------------------------

void Write(const core::resources& value, schema::Resources::Builder builder);
void Read(schema::Resources::Reader reader, core::resources& value,
          memory_budget& budget);
void Write(const core::endpoint& value, schema::Endpoint::Builder builder);
void Read(schema::Endpoint::Reader reader, core::endpoint& value,
          memory_budget& budget);
void Write(const core::location& value, schema::Location::Builder builder);
void Read(schema::Location::Reader reader, core::location& value,
          memory_budget& budget);
void Write(const core::field_error& value, schema::FieldError::Builder builder);
void Read(schema::FieldError::Reader reader, core::field_error& value,
          memory_budget& budget);
void Write(const core::failure& value, schema::Failure::Builder builder);
void Read(schema::Failure::Reader reader, core::failure& value,
          memory_budget& budget);

void Write(const cell::object_key& value, schema::ObjectKey::Builder builder);
void Read(schema::ObjectKey::Reader reader, cell::object_key& value,
          memory_budget& budget);
void Write(const cell::operation& value, schema::Operation::Builder builder);
void Read(schema::Operation::Reader reader, cell::operation& value,
          memory_budget& budget);
void Write(const cell::token_grant& value, schema::TokenGrant::Builder builder);
void Read(schema::TokenGrant::Reader reader, cell::token_grant& value,
          memory_budget& budget);
void Write(const cell::object_spec& value, schema::ObjectSpec::Builder builder);
void Read(schema::ObjectSpec::Reader reader, cell::object_spec& value,
          memory_budget& budget);
void Write(const cell::object& value, schema::Object::Builder builder);
void Read(schema::Object::Reader reader, cell::object& value,
          memory_budget& budget);
void Write(const cell::worker_record& value,
           schema::WorkerRecord::Builder builder);
void Read(schema::WorkerRecord::Reader reader, cell::worker_record& value,
          memory_budget& budget);
void Write(const cell::task_id& value, schema::TaskId::Builder builder);
void Read(schema::TaskId::Reader reader, cell::task_id& value,
          memory_budget& budget);
void Write(const cell::task_record& value, schema::TaskRecord::Builder builder);
void Read(schema::TaskRecord::Reader reader, cell::task_record& value,
          memory_budget& budget);
void Write(const cell::job_status& value, schema::JobStatus::Builder builder);
void Read(schema::JobStatus::Reader reader, cell::job_status& value,
          memory_budget& budget);
void Write(const cell::call_key& value, schema::CallKey::Builder builder);
void Read(schema::CallKey::Reader reader, cell::call_key& value,
          memory_budget& budget);
void Write(const cell::call_outcome& value,
           schema::CallOutcome::Builder builder);
void Read(schema::CallOutcome::Reader reader, cell::call_outcome& value,
          memory_budget& budget);
void Write(const cell::call_record& value, schema::CallRecord::Builder builder);
void Read(schema::CallRecord::Reader reader, cell::call_record& value,
          memory_budget& budget);
void Write(const cell::task_placement& value,
           schema::TaskPlacement::Builder builder);
void Read(schema::TaskPlacement::Reader reader, cell::task_placement& value,
          memory_budget& budget);
void Write(const cell::task_report& value, schema::TaskReport::Builder builder);
void Read(schema::TaskReport::Reader reader, cell::task_report& value,
          memory_budget& budget);
void Write(const cell::command& value, schema::Command::Builder builder);
void Read(schema::Command::Reader reader, cell::command& value,
          memory_budget& budget);
void Write(const cell::change& value, schema::Change::Builder builder);
void Read(schema::Change::Reader reader, cell::change& value,
          memory_budget& budget);
void Write(const cell::accepted& value, schema::Accepted::Builder builder);
void Read(schema::Accepted::Reader reader, cell::accepted& value,
          memory_budget& budget);
void Write(const cell::state_image::request_image& value,
           schema::AnsweredRequest::Builder builder);
void Read(schema::AnsweredRequest::Reader reader,
          cell::state_image::request_image& value, memory_budget& budget);
void Write(const cell::state_image& value, schema::StateImage::Builder builder);
void Read(schema::StateImage::Reader reader, cell::state_image& value,
          memory_budget& budget);

// --- consensus -------------------------------------------------------------

void Write(const consensus::member& value, schema::Member::Builder builder);
void Read(schema::Member::Reader reader, consensus::member& value,
          memory_budget& budget);
void Write(const consensus::membership& value,
           schema::Membership::Builder builder);
void Read(schema::Membership::Reader reader, consensus::membership& value,
          memory_budget& budget);
void Write(const consensus::log_entry& value,
           schema::LogEntry::Builder builder);
void Read(schema::LogEntry::Reader reader, consensus::log_entry& value,
          memory_budget& budget);
void Write(const consensus::message& value,
           schema::ConsensusMessage::Builder builder);
void Read(schema::ConsensusMessage::Reader reader, consensus::message& value,
          memory_budget& budget);
void Write(const peer_hello& value, schema::PeerHello::Builder builder);
void Read(schema::PeerHello::Reader reader, peer_hello& value,
          memory_budget& budget);

// --- control ---------------------------------------------------------------

void Write(const control::task_state& value,
           schema::TaskState::Builder builder);
void Read(schema::TaskState::Reader reader, control::task_state& value,
          memory_budget& budget);
void Write(const control::announcement& value,
           schema::Announcement::Builder builder);
void Read(schema::Announcement::Reader reader, control::announcement& value,
          memory_budget& budget);
void Write(const control::order& value, schema::Order::Builder builder);
void Read(schema::Order::Reader reader, control::order& value,
          memory_budget& budget);
void Write(const control::announcement_reply& value,
           schema::AnnouncementReply::Builder builder);
void Read(schema::AnnouncementReply::Reader reader,
          control::announcement_reply& value, memory_budget& budget);
void Write(const control::slot_demand& value,
           schema::SlotDemand::Builder builder);
void Read(schema::SlotDemand::Reader reader, control::slot_demand& value,
          memory_budget& budget);
void Write(const control::slot_grant& value,
           schema::SlotGrant::Builder builder);
void Read(schema::SlotGrant::Reader reader, control::slot_grant& value,
          memory_budget& budget);
void Write(const control::slot_grants& value,
           schema::SlotGrants::Builder builder);
void Read(schema::SlotGrants::Reader reader, control::slot_grants& value,
          memory_budget& budget);
void Write(const control::slot_report& value,
           schema::SlotReport::Builder builder);
void Read(schema::SlotReport::Reader reader, control::slot_report& value,
          memory_budget& budget);
void Write(const control::request& value, schema::Request::Builder builder);
void Read(schema::Request::Reader reader, control::request& value,
          memory_budget& budget);
void Write(const control::object_view& value,
           schema::ObjectView::Builder builder);
void Read(schema::ObjectView::Reader reader, control::object_view& value,
          memory_budget& budget);
void Write(const control::entry_status& value,
           schema::EntryStatus::Builder builder);
void Read(schema::EntryStatus::Reader reader, control::entry_status& value,
          memory_budget& budget);
void Write(const control::control_status& value,
           schema::ControlStatus::Builder builder);
void Read(schema::ControlStatus::Reader reader, control::control_status& value,
          memory_budget& budget);
void Write(const control::department_share& value,
           schema::DepartmentShare::Builder builder);
void Read(schema::DepartmentShare::Reader reader,
          control::department_share& value, memory_budget& budget);
void Write(const control::answer& value, schema::Answer::Builder builder);
void Read(schema::Answer::Reader reader, control::answer& value,
          memory_budget& budget);
void Write(const control::message& value,
           schema::ControlMessage::Builder builder);
void Read(schema::ControlMessage::Reader reader, control::message& value,
          memory_budget& budget);

// --- lists -----------------------------------------------------------------

template <class T, class ListBuilder>
void WriteList(const std::vector<T>& values, ListBuilder list) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    Write(values[i], list[static_cast<unsigned>(i)]);
  }
}

template <class T, class ListReader>
void ReadList(ListReader list, std::vector<T>& values, memory_budget& budget) {
  budget.Consume(list.size(), sizeof(T));
  values.reserve(list.size());
  for (const auto item : list) Read(item, values.emplace_back(), budget);
}

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_SRC_WIRE_CONVERT_H_
