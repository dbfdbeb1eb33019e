#ifndef MANGOPLANK_API_HTTP_H_
#define MANGOPLANK_API_HTTP_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "mangoplank/core/clock.h"

/// The HTTP/JSON interface of a process.
namespace mangoplank::api {

/// Header names in lower case. Repeated headers are joined by ", ".
using header_map = std::map<std::string, std::string, std::less<>>;

/// A complete HTTP request.
struct request {
  /// Upper case; HEAD is passed on as GET.
  std::string method;
  /// Path and query as received, still escaped.
  std::string target;
  header_map headers;
  std::string body;
  /// Address of the client, for logs.
  std::string peer;

  /// @return the header's value, or an empty string if it is absent.
  std::string_view Header(std::string_view name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : it->second;
  }

  friend bool operator==(const request&, const request&) = default;
};

struct response {
  unsigned status = 200;
  header_map headers;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

/// A response body that is sent in pieces as they become available.
class body_stream {
 public:
  virtual ~body_stream() = default;
  /// @return the next piece, empty if there is none by `deadline`, or no value
  /// at the end of the body.
  virtual core::awaitable<std::optional<std::string>> Next(
      core::time_point deadline) = 0;
};

/// A response with a chunked body; `head.body` is not used.
struct streamed_response {
  response head;
  std::unique_ptr<body_stream> body;
};

using reply = std::variant<response, streamed_response>;

/// Handles requests. Called once for each request; calls may overlap.
class handler {
 public:
  virtual ~handler() = default;
  virtual core::awaitable<reply> Handle(api::request request) = 0;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_HTTP_H_
