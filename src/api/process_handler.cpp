#include "mangoplank/api/process_handler.h"

namespace mangoplank::api {

namespace {

response Text(unsigned status, std::string body) {
  response r{.status = status, .body = std::move(body)};
  r.headers["content-type"] = "text/plain; charset=utf-8";
  return r;
}

}  // namespace

process_handler::process_handler(const metrics::registry& metrics,
                                 std::function<bool()> is_ready)
    : metrics_(metrics), is_ready_(std::move(is_ready)) {}

core::awaitable<reply> process_handler::Handle(request r) {
  if (r.method != "GET") co_return Text(405, "only GET is served\n");
  if (r.target == "/healthz") co_return Text(200, "ok\n");
  if (r.target == "/metrics") co_return Text(200, metrics_.Expose());
  if (r.target != "/readyz") co_return Text(404, "not found\n");
  const bool ready = is_ready_();
  co_return Text(ready ? 200 : 503, ready ? "ready\n" : "no leader\n");
}

}  // namespace mangoplank::api
