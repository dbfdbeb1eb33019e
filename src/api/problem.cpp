#include "api/problem.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "api/json_codec.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;
using core::overloaded;

json::object BodyOf(const problem& p) {
  json::object o;
  o["type"] = "urn:mangoplank:problem:" + p.type;
  o["title"] = p.title;
  o["status"] = p.status;
  o["detail"] = p.detail;
  if (!p.fields.empty()) {
    json::array fields;
    for (const core::field_error& f : p.fields) {
      fields.push_back(json::object{{"field", f.field}, {"reason", f.reason}});
    }
    o["fields"] = std::move(fields);
  }
  return o;
}

response HeadOf(const problem& p) {
  response r;
  r.status = p.status;
  r.headers["content-type"] = "application/problem+json";
  if (p.status == 401) r.headers["www-authenticate"] = "Bearer";
  if (p.retry_after) {
    // Retry-After counts whole seconds.
    const auto s = std::chrono::ceil<std::chrono::seconds>(*p.retry_after);
    r.headers["retry-after"] = std::to_string(std::max(s.count(), 1L));
  }
  return r;
}

}  // namespace

problem ProblemOf(const core::failure& f) {
  const std::string text = core::Describe(f);
  return std::visit(
      overloaded{
          [&](const core::invalid_request& e) {
            return problem{400, "invalid-request", "The request is not valid",
                           text, e.fields};
          },
          [&](const core::not_found&) {
            return problem{404, "not-found", "There is no such resource", text};
          },
          [&](const core::version_conflict&) {
            return problem{412, "version-conflict", "Another change came first",
                           text};
          },
          [&](const core::already_exists&) {
            return problem{409, "already-exists",
                           "The name or request id is taken", text};
          },
          [&](const core::unauthenticated&) {
            return problem{401, "unauthenticated", "The token is not known",
                           text};
          },
          [&](const core::forbidden&) {
            return problem{403, "forbidden", "The role does not allow this",
                           text};
          },
          [&](const core::not_leader&) {
            return problem{503,  "no-leader", "No leader was found",
                           text, {},          core::milliseconds(1000)};
          },
          [&](const core::commit_unknown&) {
            return problem{504, "commit-unknown",
                           "Whether the change was made is not known",
                           "send it again with the same Mangoplank-Request-Id"};
          },
          [&](const core::unavailable& e) {
            return problem{
                503, "unavailable", "The entry can't serve now", text,
                {},  e.retry_after};
          },
          [&](const core::deadline_exceeded&) {
            return problem{504, "deadline-exceeded",
                           "No answer came before the deadline", text};
          },
          [&](const core::connection_failed&) {
            return problem{503,  "no-quorum", "No control process was reached",
                           text, {},          core::milliseconds(1000)};
          },
          [&](const core::storage_failed&) {
            // The path on the control VM is not for callers.
            return problem{500, "storage", "Storage failed",
                           "a control process reported a storage failure"};
          },
          [&](const core::revision_compacted&) {
            return problem{410, "revision-compacted",
                           "The history from this revision on is gone", text};
          },
          [&](const core::invalid_setting&) {
            return problem{500, "invalid-setting", "A setting is not valid",
                           "see the log of the entry"};
          },
          [&](const core::shutting_down&) {
            return problem{503,
                           "shutting-down",
                           "The entry is shutting down",
                           text,
                           {},
                           core::milliseconds(1000)};
          },
      },
      f);
}

response Render(const problem& p) {
  response r = HeadOf(p);
  r.body = json::serialize(BodyOf(p)) + "\n";
  return r;
}

response Render(const problem& p, cell::ending outcome) {
  const std::string_view word = EndingWord(outcome);
  json::object body = BodyOf(p);
  body["outcome"] = json::string(word);
  response r = HeadOf(p);
  r.headers[std::string(kOutcomeHeader)] = word;
  r.body = json::serialize(body) + "\n";
  return r;
}

}  // namespace mangoplank::api
