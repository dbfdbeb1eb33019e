#ifndef MANGOPLANK_API_TARGET_H_
#define MANGOPLANK_API_TARGET_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Request paths parsed into typed routes.
namespace mangoplank::api {

/// `/healthz`
struct health_route {
  friend bool operator==(const health_route&, const health_route&) = default;
};
/// `/readyz`
struct ready_route {
  friend bool operator==(const ready_route&, const ready_route&) = default;
};
/// `/metrics`
struct metrics_route {
  friend bool operator==(const metrics_route&, const metrics_route&) = default;
};
/// `/v1/status`
struct status_route {
  friend bool operator==(const status_route&, const status_route&) = default;
};
/// `/v1/objectives`
struct objectives_route {
  friend bool operator==(const objectives_route&,
                         const objectives_route&) = default;
};
/// All objects of a kind, in one department if the kind is departmental.
struct collection_route {
  cell::object_kind kind = cell::object_kind::kService;
  core::department_id department;
  friend bool operator==(const collection_route&,
                         const collection_route&) = default;
};
struct item_route {
  cell::object_key key;
  friend bool operator==(const item_route&, const item_route&) = default;
};
struct cancel_route {
  cell::object_key key;
  friend bool operator==(const cancel_route&, const cancel_route&) = default;
};
struct explain_route {
  cell::object_key key;
  friend bool operator==(const explain_route&, const explain_route&) = default;
};
/// `/v1/workers/{name}/drain` and `/undrain`
struct drain_route {
  cell::object_key key;
  bool drain = true;
  friend bool operator==(const drain_route&, const drain_route&) = default;
};
/// `/v1/workers/{name}/announce`
struct announce_route {
  core::worker_id worker;
  friend bool operator==(const announce_route&,
                         const announce_route&) = default;
};
/// `.../services/{service}/calls/{operation}`
struct call_route {
  core::department_id department;
  std::string service;
  std::string operation;
  friend bool operator==(const call_route&, const call_route&) = default;
};
/// `.../services/{service}/calls?key=`
struct call_record_route {
  core::department_id department;
  std::string service;
  friend bool operator==(const call_record_route&,
                         const call_record_route&) = default;
};

using route = std::variant<health_route, ready_route, metrics_route,
                           status_route, objectives_route, collection_route,
                           item_route, cancel_route, explain_route, drain_route,
                           announce_route, call_route, call_record_route>;

using query_map = std::map<std::string, std::string, std::less<>>;

struct target {
  api::route route;
  query_map query;
  friend bool operator==(const target&, const target&) = default;
};

/// Parses path and query.
/// @return the target, not_found for an unknown path, or invalid_request for a
/// malformed name, escape or query.
core::outcome<target> ParseTarget(std::string_view text);

/// @return whether the path is that of a call or of a query for its outcome, so
/// that the response must state an outcome even if the rest is malformed.
bool IsCallPath(std::string_view text);

/// @return the text with all bytes escaped but letters, digits, '-', '.', '_'
/// and '~'.
std::string EscapeSegment(std::string_view text);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_TARGET_H_
