#include "api/problem.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "api/json_codec.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;
using core::overloaded;

json::object BodyOf(const api::problem& problem) {
  json::object o;
  o["type"] = "urn:mangoplank:problem:" + problem.type;
  o["title"] = problem.title;
  o["status"] = problem.status;
  o["detail"] = problem.detail;
  if (!problem.fields.empty()) {
    json::array fields;
    for (const core::field_error& f : problem.fields) {
      fields.push_back(json::object{{"field", f.field}, {"reason", f.reason}});
    }
    o["fields"] = std::move(fields);
  }
  return o;
}

response HeadOf(const api::problem& problem) {
  api::response response;
  response.status = problem.status;
  response.headers["content-type"] = "application/problem+json";
  if (problem.status == 401) response.headers["www-authenticate"] = "Bearer";
  if (problem.retry_after) {
    // Retry-After is in whole seconds.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*problem.retry_after);
    response.headers["retry-after"] =
        std::to_string(std::max(seconds.count(), 1L));
  }
  return response;
}

}  // namespace

problem ProblemOf(const core::failure& failure) {
  const std::string text = core::Describe(failure);
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
            // Callers must not see paths of the control VM.
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
      failure);
}

response Render(const api::problem& problem) {
  api::response response = HeadOf(problem);
  response.body = json::serialize(BodyOf(problem)) + "\n";
  return response;
}

response Render(const api::problem& problem, cell::ending outcome) {
  const std::string_view outcome_name = EndingName(outcome);
  json::object body = BodyOf(problem);
  body["outcome"] = json::string(outcome_name);
  api::response response = HeadOf(problem);
  response.headers[std::string(kOutcomeHeader)] = outcome_name;
  response.body = json::serialize(body) + "\n";
  return response;
}

}  // namespace mangoplank::api
