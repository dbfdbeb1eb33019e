#include "caller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <cmath>

namespace stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace core = mangoplank::core;

namespace {

constexpr auto kCheckEvery = std::chrono::milliseconds(500);
constexpr auto kCheckTimeout = std::chrono::milliseconds(1000);
/// Added to a call's deadline, for the way to the entry and back.
constexpr auto kAnswerGrace = std::chrono::milliseconds(500);
constexpr auto kResendPause = std::chrono::milliseconds(200);

}  // namespace

balancer::balancer(const std::vector<asio::ip::tcp::endpoint>& entries,
                   asio::any_io_executor executor, core::clock& clock)
    : executor_(std::move(executor)), clock_(clock) {
  for (const auto& endpoint : entries) {
    auto e = std::make_shared<entry>();
    e->calls = std::make_shared<http_client>(endpoint);
    e->checks = std::make_shared<http_client>(endpoint);
    entries_.push_back(std::move(e));
  }
}

void balancer::Start() {
  for (const auto& e : entries_) {
    asio::co_spawn(executor_, CheckLoop(e), asio::detached);
  }
}

asio::awaitable<void> balancer::CheckLoop(std::shared_ptr<entry> e) {
  while (true) {
    http_request request(http::verb::get, "/readyz", 11);
    const auto answer = co_await e->checks->Ask(request, kCheckTimeout);
    e->ready = answer && answer->result_int() == 200;
    co_await core::SleepFor(clock_, kCheckEvery);
  }
}

std::shared_ptr<http_client> balancer::Next() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const auto& e = entries_[next_++ % entries_.size()];
    if (e->ready) return e->calls;
  }
  return entries_[next_++ % entries_.size()]->calls;
}

caller::caller(caller_options options, balancer& balancer,
               asio::any_io_executor executor, core::clock& clock, journal& j)
    : options_(std::move(options)),
      balancer_(balancer),
      executor_(executor),
      clock_(clock),
      journal_(j),
      random_(options_.seed),
      ended_(executor, clock) {}

asio::awaitable<void> caller::Run() {
  std::vector<double> weights;
  for (const call_kind& k : options_.mix) weights.push_back(k.weight);
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(options_.rate);
  core::time_point next = clock_.Now();
  for (std::size_t i = 0; i < options_.calls; ++i) {
    next += std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(gap(random_)));
    const call_kind& kind = options_.mix[pick(random_)];
    if (clock_.Now() < next) co_await core::SleepUntil(clock_, next);
    if (in_flight_ >= options_.max_in_flight) {
      ++counts_["not_sent"];
      continue;
    }
    const std::string id = options_.name + "-" + std::to_string(options_.seed) +
                           "-" + std::to_string(i);
    std::string body = json::serialize(json::object{{"id", id}});
    body.resize(std::max(body.size(), options_.body_bytes), ' ');
    ++in_flight_;
    asio::co_spawn(executor_, OneCall(kind, std::move(body), id),
                   asio::detached);
  }
  while (in_flight_ > 0) co_await ended_.Wait();
}

asio::awaitable<void> caller::OneCall(call_kind kind, std::string body,
                                      std::string key) {
  const core::time_point start = clock_.Now();
  json::object asked{{"id", key},
                     {"operation", kind.operation},
                     {"once", kind.once},
                     {"deadline_ms", kind.deadline.count()}};
  journal_.Write("asked", std::move(asked));
  std::string outcome;
  for (int tries = 0; tries <= (kind.once ? options_.resends : 0); ++tries) {
    if (tries > 0) co_await core::SleepFor(clock_, kResendPause);
    outcome = co_await Send(kind, body, key);
    const bool final = outcome == "done" || outcome == "failed" ||
                       outcome == "not_run" || outcome == "wrong_answer";
    if (final) break;
  }
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      clock_.Now() - start);
  ++counts_[outcome];
  if (outcome == "done") times_.push_back(took);
  json::object heard{{"id", key},
                     {"operation", kind.operation},
                     {"once", kind.once},
                     {"outcome", outcome},
                     {"took_us", took.count()}};
  journal_.Write("ended", std::move(heard));
  --in_flight_;
  ended_.NotifyAll();
}

asio::awaitable<std::string> caller::Send(call_kind kind, std::string body,
                                          std::string key) {
  const std::string path = "/v1/departments/" + options_.department +
                           "/services/" + options_.service + "/calls/" +
                           kind.operation;
  http_request request(http::verb::post, path, 11);
  request.set(http::field::authorization, "Bearer " + options_.token);
  request.set(http::field::content_type, "application/json");
  request.set("Mangoplank-Deadline-Ms", std::to_string(kind.deadline.count()));
  if (kind.once) request.set("Idempotency-Key", key);
  request.body() = body;
  const auto entry = balancer_.Next();
  const auto answer =
      co_await entry->Ask(std::move(request), kind.deadline + kAnswerGrace);
  std::string outcome = "no_answer";
  json::object line{{"id", key}, {"entry_port", entry->Server().port()}};
  if (answer) {
    const auto header = answer->find("Mangoplank-Outcome");
    outcome = header != answer->end()
                  ? std::string(header->value())
                  : "status_" + std::to_string(answer->result_int());
    line["status"] = answer->result_int();
  }
  if (outcome == "done" && !IsOwnAnswer(answer->body(), body)) {
    outcome = "wrong_answer";
    line["body"] = answer->body().substr(0, 500);
  }
  line["outcome"] = outcome;
  journal_.Write("heard", std::move(line));
  co_return outcome;
}

bool caller::IsOwnAnswer(const std::string& answer,
                         const std::string& body) const {
  json::error_code ec;
  const json::value v = json::parse(answer, ec);
  if (ec || !v.is_object()) return false;
  const json::value* const echo = v.as_object().if_contains("echo");
  return echo != nullptr && echo->is_string() && echo->as_string() == body;
}

std::chrono::microseconds caller::Quantile(double q) {
  if (times_.empty()) return std::chrono::microseconds(0);
  std::sort(times_.begin(), times_.end());
  const auto last = static_cast<double>(times_.size() - 1);
  return times_[static_cast<std::size_t>(std::llround(q * last))];
}

}  // namespace stand_in
