#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "worker.h"

namespace stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
namespace core = mangoplank::core;
using asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCallPath = "/v1/calls/";
constexpr std::size_t kMaxBody = 256 * 1024;

std::string Field(const http_request& r, const char* name) {
  const auto it = r.find(name);
  return it == r.end() ? "" : std::string(it->value());
}

}  // namespace

asio::awaitable<void> worker::Listen() {
  tcp::acceptor acceptor(executor_, options_.listen);
  while (true) {
    auto [ec, socket] = co_await acceptor.async_accept(kTuple);
    if (ec) continue;
    asio::co_spawn(executor_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> worker::Serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  stream.socket().set_option(tcp::no_delay(true));
  if (options_.mode == misbehaviour::kSilent) {
    co_await core::SleepFor(clock_, std::chrono::hours(1));
    co_return;
  }
  beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBody);
    const auto [broken, in] =
        co_await http::async_read(stream, buffer, parser, kTuple);
    if (broken) co_return;
    http_request request = parser.release();
    const bool keep_alive = request.keep_alive();
    http_response response = co_await Handle(std::move(request));
    response.keep_alive(keep_alive);
    response.prepare_payload();
    const bool stays = co_await SendAnswer(stream, std::move(response));
    if (!stays || !keep_alive) co_return;
  }
}

asio::awaitable<bool> worker::SendAnswer(beast::tcp_stream& stream,
                                         http_response response) {
  switch (options_.mode) {
    case misbehaviour::kNoAnswer:
      co_await core::SleepFor(clock_, std::chrono::hours(1));
      co_return false;
    case misbehaviour::kGarbage: {
      const std::string garbage = "\x01\x02garbage\r\n\r\n";
      co_await asio::async_write(stream, asio::buffer(garbage), kTuple);
      co_return true;
    }
    case misbehaviour::kCloseInAnswer: {
      std::ostringstream text;
      text << response;
      const std::string whole = text.str();
      const auto half = asio::buffer(whole, whole.size() - 3);
      co_await asio::async_write(stream, half, kTuple);
      co_return false;
    }
    case misbehaviour::kTwice:
      co_await http::async_write(stream, response, kTuple);
      break;
    case misbehaviour::kNone:
    case misbehaviour::kSilent:
    case misbehaviour::kFailTasks:
      break;
  }
  const auto [unsent, out] =
      co_await http::async_write(stream, response, kTuple);
  co_return !unsent;
}

asio::awaitable<http_response> worker::Handle(http_request request) {
  const std::string target(request.target());
  http_response response(http::status::not_found, 11);
  if (!target.starts_with(kCallPath)) co_return response;
  const std::string id = target.substr(kCallPath.size());
  answer a;
  if (Field(request, "Mangoplank-Incarnation") !=
      std::to_string(incarnation_)) {
    Note("call_refused", id, "other_incarnation");
    a = {503, "", "other_incarnation"};
  } else if (request.method() == http::verb::post) {
    a = co_await HandleRun(id, std::move(request));
  } else if (request.method() == http::verb::get) {
    a = HandleAsk(id);
  } else if (request.method() == http::verb::delete_) {
    a = HandleGiveUp(id);
  }
  response.result(a.status);
  response.set(http::field::content_type, "application/json");
  response.set("Mangoplank-Call", id);
  if (a.status == 503) {
    response.set("Mangoplank-End", "not_run");
    response.set("Mangoplank-Reason", a.reason);
  }
  response.body() = a.body;
  co_return response;
}

std::optional<worker::answer> worker::RefuseStart(const std::string& id,
                                                  const http_request& request) {
  std::string reason;
  if (!HoldsLease()) {
    reason = "lease_ended";
  } else if (running_calls_ >= options_.slots) {
    reason = "no_slot";
  } else if (!RunsService(Field(request, "Mangoplank-Department"),
                          Field(request, "Mangoplank-Service"))) {
    reason = "other";
  }
  if (reason.empty()) return std::nullopt;
  Note("call_refused", id, reason);
  return answer{503, "", reason};
}

asio::awaitable<worker::answer> worker::HandleRun(std::string id,
                                                  http_request request) {
  Note("call_asked", id);
  const bool once = Field(request, "Mangoplank-Once") == "true";
  const auto known = once_.find(id);
  if (once && known != once_.end()) {
    if (known->second.given_up) {
      Note("call_refused", id, "given_up");
      co_return answer{503, "", "given_up"};
    }
    const std::uint64_t incarnation = incarnation_;
    while (incarnation == incarnation_ && !once_[id].ended) {
      co_await once_changed_.Wait();
    }
    if (incarnation != incarnation_) {
      co_return answer{503, "", "other_incarnation"};
    }
    co_return *once_[id].ended;
  }
  const auto refused = RefuseStart(id, request);
  if (refused) co_return *refused;
  if (once) once_[id] = {};
  const std::uint64_t incarnation = incarnation_;
  const answer a = co_await RunCall(id, std::move(request));
  if (once && incarnation == incarnation_) {
    once_[id].ended = a;
    once_changed_.NotifyAll();
  }
  co_return a;
}

asio::awaitable<worker::answer> worker::RunCall(std::string id,
                                                http_request request) {
  ++running_calls_;
  CheckOwnLimits();
  const std::string operation = Field(request, "Mangoplank-Operation");
  Note("call_started", id, request.body().substr(0, 200));
  const auto it = options_.operation_time.find(operation);
  const auto mean =
      it == options_.operation_time.end() ? options_.service_time : it->second;
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  const auto run_time =
      std::chrono::duration_cast<core::duration>(mean * factor(random_));
  const bool fails =
      std::bernoulli_distribution(options_.call_failure_rate)(random_);
  co_await core::SleepFor(clock_, run_time);
  --running_calls_;
  Note("call_ended", id, fails ? "failed" : "done");
  json::object body{{"worker", options_.name},
                    {"operation", operation},
                    {"echo", request.body()}};
  if (fails) body["error"] = "the worker could not do it";
  co_return answer{fails ? 422u : 200u, json::serialize(body), ""};
}

worker::answer worker::HandleAsk(const std::string& id) {
  const auto it = once_.find(id);
  if (it == once_.end()) return {404, "", ""};
  if (it->second.given_up) return {503, "", "given_up"};
  if (!it->second.ended) return {202, "", ""};
  return *it->second.ended;
}

worker::answer worker::HandleGiveUp(const std::string& id) {
  const auto it = once_.find(id);
  if (it == once_.end() || it->second.given_up) {
    once_[id].given_up = true;
    Note("call_given_up", id);
    return {410, "", ""};
  }
  if (!it->second.ended) return {202, "", ""};
  return *it->second.ended;
}

}  // namespace stand_in
