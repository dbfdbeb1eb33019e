#include "wire/convert.h"

namespace mangoplank::wire {

using core::overloaded;

void budget::Take(std::size_t count, std::size_t bytes_each) {
  KJ_REQUIRE(count <= left_ / bytes_each, "list beyond the memory budget");
  left_ -= count * bytes_each;
}

void Write(const core::resources& v, schema::Resources::Builder b) {
  b.setCpuMilli(v.cpu_milli);
  b.setMemoryMib(v.memory_mib);
  b.setAccelerators(v.accelerators);
}

void Read(schema::Resources::Reader r, core::resources& v, budget&) {
  v.cpu_milli = r.getCpuMilli();
  v.memory_mib = r.getMemoryMib();
  v.accelerators = r.getAccelerators();
}

void Write(const core::endpoint& v, schema::Endpoint::Builder b) {
  b.setAddress(Text(v.address));
  b.setPort(v.port);
}

void Read(schema::Endpoint::Reader r, core::endpoint& v, budget&) {
  v.address = String(r.getAddress());
  v.port = r.getPort();
}

void Write(const core::location& v, schema::Location::Builder b) {
  b.setRegion(Text(v.region.v));
  b.setDataCentre(Text(v.data_centre.v));
  b.setRack(Text(v.rack.v));
}

void Read(schema::Location::Reader r, core::location& v, budget&) {
  v.region.v = String(r.getRegion());
  v.data_centre.v = String(r.getDataCentre());
  v.rack.v = String(r.getRack());
}

void Write(const core::field_error& v, schema::FieldError::Builder b) {
  b.setField(Text(v.field));
  b.setReason(Text(v.reason));
}

void Read(schema::FieldError::Reader r, core::field_error& v, budget&) {
  v.field = String(r.getField());
  v.reason = String(r.getReason());
}

void Write(const core::failure& v, schema::Failure::Builder b) {
  std::visit(
      overloaded{
          [&](const core::invalid_request& f) {
            WriteList(f.fields, b.initInvalidRequest(f.fields.size()));
          },
          [&](const core::not_found& f) { b.setNotFound(Text(f.name)); },
          [&](const core::version_conflict& f) {
            b.setVersionConflict(f.current);
          },
          [&](const core::already_exists& f) {
            b.setAlreadyExists(Text(f.name));
          },
          [&](const core::unauthenticated&) { b.setUnauthenticated(); },
          [&](const core::forbidden& f) { b.setForbidden(Text(f.role)); },
          [&](const core::not_leader& f) {
            if (f.leader) {
              b.setNotLeader(Text(f.leader->v));
            } else {
              // Selects the alternative and leaves its text null.
              b.adoptNotLeader(capnp::Orphan<capnp::Text>());
            }
          },
          [&](const core::commit_unknown&) { b.setCommitUnknown(); },
          [&](const core::unavailable& f) {
            auto u = b.initUnavailable();
            u.setReason(Text(f.reason));
            u.setRetryAfterMs(f.retry_after.count());
          },
          [&](const core::deadline_exceeded&) { b.setDeadlineExceeded(); },
          [&](const core::connection_failed& f) {
            auto c = b.initConnectionFailed();
            c.setKind(Number(f.k));
            c.setPeer(Text(f.peer));
          },
          [&](const core::storage_failed& f) {
            auto s = b.initStorageFailed();
            s.setKind(Number(f.k));
            s.setPath(Text(f.path));
            s.setDetail(Text(f.detail));
          },
          [&](const core::revision_compacted& f) {
            b.setRevisionCompacted(f.oldest);
          },
          [&](const core::invalid_setting& f) {
            auto s = b.initInvalidSetting();
            s.setFile(Text(f.file));
            s.setLine(f.line);
            s.setKey(Text(f.key));
            s.setReason(Text(f.reason));
          },
          [&](const core::shutting_down&) { b.setShuttingDown(); }},
      v);
}

namespace {

core::not_leader ReadNotLeader(schema::Failure::Reader r) {
  if (!r.hasNotLeader()) return {};
  return {core::member_id{String(r.getNotLeader())}};
}

core::connection_failed ReadConnectionFailed(
    schema::Failure::ConnectionFailed::Reader r) {
  using kind = core::connection_failed::kind;
  return {Enumerator(r.getKind(), kind::kTooLarge), String(r.getPeer())};
}

core::storage_failed ReadStorageFailed(
    schema::Failure::StorageFailed::Reader r) {
  using kind = core::storage_failed::kind;
  return {Enumerator(r.getKind(), kind::kNewerVersion), String(r.getPath()),
          String(r.getDetail())};
}

core::invalid_setting ReadInvalidSetting(
    schema::Failure::InvalidSetting::Reader r) {
  return {String(r.getFile()), r.getLine(), String(r.getKey()),
          String(r.getReason())};
}

}  // namespace

void Read(schema::Failure::Reader r, core::failure& v, budget& left) {
  using schema::Failure;
  switch (r.which()) {
    case Failure::INVALID_REQUEST: {
      auto& f = v.emplace<core::invalid_request>();
      ReadList(r.getInvalidRequest(), f.fields, left);
      return;
    }
    case Failure::NOT_FOUND:
      v = core::not_found{String(r.getNotFound())};
      return;
    case Failure::VERSION_CONFLICT:
      v = core::version_conflict{r.getVersionConflict()};
      return;
    case Failure::ALREADY_EXISTS:
      v = core::already_exists{String(r.getAlreadyExists())};
      return;
    case Failure::UNAUTHENTICATED:
      v = core::unauthenticated{};
      return;
    case Failure::FORBIDDEN:
      v = core::forbidden{String(r.getForbidden())};
      return;
    case Failure::NOT_LEADER:
      v = ReadNotLeader(r);
      return;
    case Failure::COMMIT_UNKNOWN:
      v = core::commit_unknown{};
      return;
    case Failure::UNAVAILABLE: {
      const auto u = r.getUnavailable();
      v = core::unavailable{String(u.getReason()),
                            core::milliseconds(u.getRetryAfterMs())};
      return;
    }
    case Failure::DEADLINE_EXCEEDED:
      v = core::deadline_exceeded{};
      return;
    case Failure::CONNECTION_FAILED:
      v = ReadConnectionFailed(r.getConnectionFailed());
      return;
    case Failure::STORAGE_FAILED:
      v = ReadStorageFailed(r.getStorageFailed());
      return;
    case Failure::REVISION_COMPACTED:
      v = core::revision_compacted{r.getRevisionCompacted()};
      return;
    case Failure::INVALID_SETTING:
      v = ReadInvalidSetting(r.getInvalidSetting());
      return;
    case Failure::SHUTTING_DOWN:
      v = core::shutting_down{};
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of failure");
}

}  // namespace mangoplank::wire
