#include "mangoplank/core/failure.h"

#include <fmt/format.h>

namespace mangoplank::core {

namespace {

const char* Name(connection_failed::kind kind) {
  switch (kind) {
    case connection_failed::kind::kRefused:
      return "connection refused";
    case connection_failed::kind::kClosed:
      return "connection closed";
    case connection_failed::kind::kSilent:
      return "no heartbeat within the deadline";
    case connection_failed::kind::kMalformed:
      return "malformed message";
    case connection_failed::kind::kTooLarge:
      return "message over the size limit";
  }
  return "connection failed";
}

const char* Name(storage_failed::kind kind) {
  switch (kind) {
    case storage_failed::kind::kIo:
      return "input/output error";
    case storage_failed::kind::kFull:
      return "disk full";
    case storage_failed::kind::kSync:
      return "sync failed";
    case storage_failed::kind::kCorrupt:
      return "corrupt record";
    case storage_failed::kind::kMissingSnapshot:
      return "missing snapshot";
    case storage_failed::kind::kOtherCell:
      return "data folder of another cell";
    case storage_failed::kind::kNewerVersion:
      return "data folder of a newer version";
    case storage_failed::kind::kNoDescriptor:
      return "no file descriptor";
  }
  return "storage failed";
}

std::string DescribeFields(const invalid_request& request) {
  std::string text = "invalid request";
  for (const field_error& error : request.fields) {
    text += fmt::format("; {}: {}", error.field, error.reason);
  }
  return text;
}

}  // namespace

std::string Describe(const failure& f) {
  return std::visit(
      overloaded{
          [](const invalid_request& e) { return DescribeFields(e); },
          [](const not_found& e) {
            return fmt::format("{} not found", e.name);
          },
          [](const version_conflict& e) {
            return fmt::format("version conflict, current version is {}",
                               e.current);
          },
          [](const already_exists& e) {
            return fmt::format("{} already exists", e.name);
          },
          [](const unauthenticated&) { return std::string("unauthenticated"); },
          [](const forbidden& e) {
            return fmt::format("not allowed for role {}", e.role);
          },
          [](const not_leader& e) {
            return fmt::format("not the leader; leader is {}",
                               e.leader ? e.leader->v : "unknown");
          },
          [](const commit_unknown&) {
            return std::string("no commit within the deadline");
          },
          [](const unavailable& e) {
            return fmt::format("unavailable: {}", e.reason);
          },
          [](const deadline_exceeded&) {
            return std::string("deadline exceeded");
          },
          [](const connection_failed& e) {
            return fmt::format("{}: {}", e.peer, Name(e.k));
          },
          [](const storage_failed& e) {
            return fmt::format("{}: {}: {}", e.path, Name(e.k), e.detail);
          },
          [](const revision_compacted& e) {
            return fmt::format("history before revision {} is not kept",
                               e.oldest);
          },
          [](const invalid_setting& e) {
            return fmt::format("{}:{}: {}: {}", e.file, e.line, e.key,
                               e.reason);
          },
          [](const shutting_down&) { return std::string("shutting down"); },
      },
      f);
}

void throw_exception_from_error(const failure& f,
                                const boost::source_location&) {
  throw bad_outcome(f);
}

}  // namespace mangoplank::core
