#include "mangoplank/api/process_handler.h"

namespace mangoplank::api {

namespace {

response MakeTextResponse(unsigned status, std::string body) {
  api::response response{.status = status, .body = std::move(body)};
  response.headers["content-type"] = "text/plain; charset=utf-8";
  return response;
}

}  // namespace

process_handler::process_handler(const metrics::registry& metrics,
                                 std::function<bool()> is_ready)
    : metrics_(metrics), is_ready_(std::move(is_ready)) {}

core::awaitable<reply> process_handler::Handle(api::request request) {
  if (request.method != "GET")
    co_return MakeTextResponse(405, "only GET is served\n");
  if (request.target == "/healthz") co_return MakeTextResponse(200, "ok\n");
  if (request.target == "/metrics")
    co_return MakeTextResponse(200, metrics_.Expose());
  if (request.target != "/readyz")
    co_return MakeTextResponse(404, "not found\n");
  const bool ready = is_ready_();
  co_return MakeTextResponse(ready ? 200 : 503,
                             ready ? "ready\n" : "no leader\n");
}

}  // namespace mangoplank::api
