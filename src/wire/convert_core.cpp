#include "wire/convert.h"

namespace mangoplank::wire {

using core::overloaded;

void memory_budget::Consume(std::size_t count, std::size_t bytes_each) {
  KJ_REQUIRE(count <= remaining_ / bytes_each,
             "list exceeds the memory budget");
  remaining_ -= count * bytes_each;
}

std::optional<tenancy::key_digest> ReadDigest(capnp::Data::Reader bytes) {
  if (bytes.size() == 0) return std::nullopt;
  tenancy::key_digest digest;
  KJ_REQUIRE(bytes.size() == digest.bytes.size(), "digest of another size");
  std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
  return digest;
}

void Write(const core::resources& value, schema::Resources::Builder builder) {
  builder.setCpuMilli(value.cpu_milli);
  builder.setMemoryMib(value.memory_mib);
  builder.setAccelerators(value.accelerators);
}

void Read(schema::Resources::Reader reader, core::resources& value,
          memory_budget&) {
  value.cpu_milli = reader.getCpuMilli();
  value.memory_mib = reader.getMemoryMib();
  value.accelerators = reader.getAccelerators();
}

void Write(const core::endpoint& value, schema::Endpoint::Builder builder) {
  builder.setAddress(Text(value.address));
  builder.setPort(value.port);
}

void Read(schema::Endpoint::Reader reader, core::endpoint& value,
          memory_budget&) {
  value.address = String(reader.getAddress());
  value.port = reader.getPort();
}

void Write(const core::location& value, schema::Location::Builder builder) {
  builder.setRegion(Text(value.region.v));
  builder.setDataCentre(Text(value.data_centre.v));
  builder.setRack(Text(value.rack.v));
}

void Read(schema::Location::Reader reader, core::location& value,
          memory_budget&) {
  value.region.v = String(reader.getRegion());
  value.data_centre.v = String(reader.getDataCentre());
  value.rack.v = String(reader.getRack());
}

void Write(const core::field_error& value,
           schema::FieldError::Builder builder) {
  builder.setField(Text(value.field));
  builder.setReason(Text(value.reason));
}

void Read(schema::FieldError::Reader reader, core::field_error& value,
          memory_budget&) {
  value.field = String(reader.getField());
  value.reason = String(reader.getReason());
}

void Write(const core::failure& value, schema::Failure::Builder builder) {
  std::visit(
      overloaded{
          [&](const core::invalid_request& f) {
            WriteList(f.fields, builder.initInvalidRequest(f.fields.size()));
          },
          [&](const core::not_found& f) { builder.setNotFound(Text(f.name)); },
          [&](const core::version_conflict& f) {
            builder.setVersionConflict(f.current);
          },
          [&](const core::already_exists& f) {
            builder.setAlreadyExists(Text(f.name));
          },
          [&](const core::unauthenticated&) { builder.setUnauthenticated(); },
          [&](const core::forbidden& f) { builder.setForbidden(Text(f.role)); },
          [&](const core::not_leader& f) {
            if (f.leader) {
              builder.setNotLeader(Text(f.leader->v));
            } else {
              // Selects the alternative and leaves its text null.
              builder.adoptNotLeader(capnp::Orphan<capnp::Text>());
            }
          },
          [&](const core::commit_unknown&) { builder.setCommitUnknown(); },
          [&](const core::unavailable& f) {
            auto u = builder.initUnavailable();
            u.setReason(Text(f.reason));
            u.setRetryAfterMs(f.retry_after.count());
          },
          [&](const core::deadline_exceeded&) {
            builder.setDeadlineExceeded();
          },
          [&](const core::connection_failed& f) {
            auto c = builder.initConnectionFailed();
            c.setKind(Number(f.k));
            c.setPeer(Text(f.peer));
          },
          [&](const core::storage_failed& f) {
            auto s = builder.initStorageFailed();
            s.setKind(Number(f.k));
            s.setPath(Text(f.path));
            s.setDetail(Text(f.detail));
          },
          [&](const core::revision_compacted& f) {
            builder.setRevisionCompacted(f.oldest);
          },
          [&](const core::invalid_setting& f) {
            auto s = builder.initInvalidSetting();
            s.setFile(Text(f.file));
            s.setLine(f.line);
            s.setKey(Text(f.key));
            s.setReason(Text(f.reason));
          },
          [&](const core::shutting_down&) { builder.setShuttingDown(); }},
      value);
}

namespace {

core::not_leader ReadNotLeader(schema::Failure::Reader reader) {
  if (!reader.hasNotLeader()) return {};
  return {core::member_id{String(reader.getNotLeader())}};
}

core::connection_failed ReadConnectionFailed(
    schema::Failure::ConnectionFailed::Reader reader) {
  using kind = core::connection_failed::kind;
  return {Enumerator(reader.getKind(), kind::kTooLarge),
          String(reader.getPeer())};
}

core::storage_failed ReadStorageFailed(
    schema::Failure::StorageFailed::Reader reader) {
  using kind = core::storage_failed::kind;
  return {Enumerator(reader.getKind(), kind::kNoDescriptor),
          String(reader.getPath()), String(reader.getDetail())};
}

core::invalid_setting ReadInvalidSetting(
    schema::Failure::InvalidSetting::Reader reader) {
  return {String(reader.getFile()), reader.getLine(), String(reader.getKey()),
          String(reader.getReason())};
}

}  // namespace

void Read(schema::Failure::Reader reader, core::failure& value,
          memory_budget& budget) {
  using schema::Failure;
  switch (reader.which()) {
    case Failure::INVALID_REQUEST: {
      auto& f = value.emplace<core::invalid_request>();
      ReadList(reader.getInvalidRequest(), f.fields, budget);
      return;
    }
    case Failure::NOT_FOUND:
      value = core::not_found{String(reader.getNotFound())};
      return;
    case Failure::VERSION_CONFLICT:
      value = core::version_conflict{reader.getVersionConflict()};
      return;
    case Failure::ALREADY_EXISTS:
      value = core::already_exists{String(reader.getAlreadyExists())};
      return;
    case Failure::UNAUTHENTICATED:
      value = core::unauthenticated{};
      return;
    case Failure::FORBIDDEN:
      value = core::forbidden{String(reader.getForbidden())};
      return;
    case Failure::NOT_LEADER:
      value = ReadNotLeader(reader);
      return;
    case Failure::COMMIT_UNKNOWN:
      value = core::commit_unknown{};
      return;
    case Failure::UNAVAILABLE: {
      const auto u = reader.getUnavailable();
      value = core::unavailable{String(u.getReason()),
                                core::milliseconds(u.getRetryAfterMs())};
      return;
    }
    case Failure::DEADLINE_EXCEEDED:
      value = core::deadline_exceeded{};
      return;
    case Failure::CONNECTION_FAILED:
      value = ReadConnectionFailed(reader.getConnectionFailed());
      return;
    case Failure::STORAGE_FAILED:
      value = ReadStorageFailed(reader.getStorageFailed());
      return;
    case Failure::REVISION_COMPACTED:
      value = core::revision_compacted{reader.getRevisionCompacted()};
      return;
    case Failure::INVALID_SETTING:
      value = ReadInvalidSetting(reader.getInvalidSetting());
      return;
    case Failure::SHUTTING_DOWN:
      value = core::shutting_down{};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of failure");
}

}  // namespace mangoplank::wire
