#include "mangoplank/wire/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <exception>

#include "wire/convert.h"
#include "wire/convert_workflow.h"

namespace mangoplank::wire {

namespace {

/// Size of the first segment; most messages fit into it.
constexpr unsigned kFirstSegmentWords = 256;
/// Limit of the words read, as a multiple of the message size. Most parts are
/// read once; a few accessors are called twice.
constexpr std::uint64_t kTraversalFactor = 4;
/// Added to the traversal limit for small messages.
constexpr std::uint64_t kExtraTraversalWords = 64;

template <class Schema, class T>
std::string EncodeAs(const T& value) {
  capnp::MallocMessageBuilder builder(kFirstSegmentWords);
  Write(value, builder.initRoot<Schema>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Copies the bytes, as a message must be aligned to words.
kj::Array<capnp::word> ToWords(std::string_view bytes) {
  KJ_REQUIRE(bytes.size() % sizeof(capnp::word) == 0,
             "message size is not a multiple of the word size");
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  if (!bytes.empty()) std::memcpy(words.begin(), bytes.data(), bytes.size());
  return words;
}

template <class Schema, class T>
T ReadAs(std::string_view bytes) {
  const auto words = ToWords(bytes);
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kTraversalFactor * words.size() + kExtraTraversalWords;
  capnp::FlatArrayMessageReader reader(words, options);
  KJ_REQUIRE(reader.getEnd() == words.end(),
             "trailing bytes after the message");
  memory_budget budget(kMemoryFactor * bytes.size());
  T value;
  Read(reader.getRoot<Schema>(), value, budget);
  return value;
}

template <class Schema, class T>
core::result<T> DecodeAs(std::string_view bytes,
                         const core::failure& malformed) {
  try {
    return ReadAs<Schema, T>(bytes);
  } catch (const kj::Exception&) {
    return core::Fail(malformed);
  } catch (const std::exception&) {
    return core::Fail(malformed);
  }
}

}  // namespace

std::string Encode(const cell::command& value) {
  return EncodeAs<schema::Command>(value);
}

std::string Encode(const cell::state_image& value) {
  return EncodeAs<schema::StateImage>(value);
}

std::string Encode(const consensus::message& value) {
  return EncodeAs<schema::ConsensusMessage>(value);
}

std::string Encode(const consensus::membership& value) {
  return EncodeAs<schema::Membership>(value);
}

std::string Encode(const control::message& value) {
  return EncodeAs<schema::ControlMessage>(value);
}

std::string Encode(const peer_hello& value) {
  return EncodeAs<schema::PeerHello>(value);
}

std::string Encode(const std::vector<workflow::event>& value) {
  return EncodeAs<schema::WorkflowEvents>(value);
}

std::string Encode(const workflow::state::image& value) {
  return EncodeAs<schema::WorkflowImage>(value);
}

std::string Encode(const workflow::message& value) {
  return EncodeAs<schema::WorkflowMessage>(value);
}

core::result<cell::command> DecodeCommand(std::string_view bytes,
                                          const core::failure& malformed) {
  return DecodeAs<schema::Command, cell::command>(bytes, malformed);
}

core::result<cell::state_image> DecodeStateImage(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::StateImage, cell::state_image>(bytes, malformed);
}

core::result<consensus::membership> DecodeMembership(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::Membership, consensus::membership>(bytes, malformed);
}

core::result<consensus::message> DecodeConsensusMessage(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::ConsensusMessage, consensus::message>(bytes,
                                                                malformed);
}

core::result<control::message> DecodeControlMessage(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::ControlMessage, control::message>(bytes, malformed);
}

core::result<std::vector<workflow::event>> DecodeWorkflowEvents(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::WorkflowEvents, std::vector<workflow::event>>(
      bytes, malformed);
}

core::result<workflow::state::image> DecodeWorkflowImage(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::WorkflowImage, workflow::state::image>(bytes,
                                                                 malformed);
}

core::result<workflow::message> DecodeWorkflowMessage(
    std::string_view bytes, const core::failure& malformed) {
  return DecodeAs<schema::WorkflowMessage, workflow::message>(bytes, malformed);
}

core::result<peer_hello> DecodePeerHello(std::string_view bytes,
                                         const core::failure& malformed) {
  return DecodeAs<schema::PeerHello, peer_hello>(bytes, malformed);
}

}  // namespace mangoplank::wire
