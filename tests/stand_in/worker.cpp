#include "worker.h"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
namespace core = mangoplank::core;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kAnnounceEvery = std::chrono::seconds(2);
/// Longer than the 2 s for which a reply may be held back.
constexpr auto kReplyTimeout = std::chrono::milliseconds(3500);
/// Groups changes of phase that come together.
constexpr auto kAnnounceSpacing = std::chrono::milliseconds(20);

std::uint64_t NewIncarnation(std::uint64_t last) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return std::max<std::uint64_t>(static_cast<std::uint64_t>(us), last + 1);
}

std::int64_t Number(const json::object& o, const char* key) {
  const json::value* const v = o.if_contains(key);
  return v == nullptr ? 0 : v->to_number<std::int64_t>();
}

std::string Text(const json::object& o, const char* key) {
  const json::value* const v = o.if_contains(key);
  return v != nullptr && v->is_string() ? json::value_to<std::string>(*v) : "";
}

bool Flag(const json::object& o, const char* key) {
  const json::value* const v = o.if_contains(key);
  return v != nullptr && v->is_bool() && v->as_bool();
}

}  // namespace

worker::worker(worker_options options, asio::any_io_executor executor,
               core::clock& clock, journal& j)
    : options_(std::move(options)),
      executor_(executor),
      clock_(clock),
      journal_(j),
      random_(options_.seed),
      incarnation_(NewIncarnation(0)),
      phase_changed_(executor, clock),
      once_changed_(executor, clock) {
  for (const auto& server : options_.announce) {
    clients_.push_back(std::make_unique<http_client>(server));
  }
  if (!clients_.empty()) next_client_ = random_() % clients_.size();
}

void worker::Start() {
  asio::co_spawn(executor_, Listen(), asio::detached);
  if (!clients_.empty()) {
    asio::co_spawn(executor_, AnnounceLoop(), asio::detached);
  }
}

void worker::Leave() {
  leaving_ = true;
  phase_changed_.NotifyAll();
}

void worker::Note(const char* what, const std::string& id, std::string detail) {
  json::object line;
  line["worker"] = options_.name;
  line["incarnation"] = incarnation_;
  line["id"] = id;
  if (!detail.empty()) line["detail"] = std::move(detail);
  journal_.Write(what, std::move(line));
}

void worker::CheckOwnLimits() {
  amounts used;
  for (const auto& [key, t] : tasks_) {
    if (t.phase != "running") continue;
    used.cpu_milli += t.need.cpu_milli;
    used.memory_mib += t.need.memory_mib;
    used.accelerators += t.need.accelerators;
  }
  const bool over = used.cpu_milli > options_.cpu_milli ||
                    used.memory_mib > options_.memory_mib ||
                    used.accelerators > options_.accelerators ||
                    running_calls_ > options_.slots;
  if (!over) return;
  Note("violation", "", "committed beyond capacity");
  spdlog::error("{}: committed beyond capacity", options_.name);
}

bool worker::HoldsLease() const { return clock_.Now() < lease_until_; }

std::string worker::AnnouncementBody() {
  json::array tasks;
  for (auto& [key, t] : tasks_) {
    if (t.phase != "running" && t.ended_in == 0) t.ended_in = sequence_;
    const bool runs = t.phase == "running";
    tasks.push_back(json::object{
        {"job", key.first},
        {"index", key.second},
        {"attempt", t.attempt},
        {"phase", t.phase},
        {"used",
         json::object{{"cpu_milli", runs ? t.need.cpu_milli / 2 : 0},
                      {"memory_mib", runs ? t.need.memory_mib / 2 : 0},
                      {"accelerators", runs ? t.need.accelerators : 0}}},
        {"detail", t.detail}});
  }
  const std::string address = options_.listen.address().to_string() + ":" +
                              std::to_string(options_.listen.port());
  return json::serialize(json::object{
      {"incarnation", incarnation_},
      {"sequence", sequence_},
      {"address", address},
      {"region", options_.region},
      {"data_centre", options_.data_centre},
      {"rack", options_.rack},
      {"capacity", json::object{{"cpu_milli", options_.cpu_milli},
                                {"memory_mib", options_.memory_mib},
                                {"accelerators", options_.accelerators}}},
      {"slots", options_.slots},
      {"leaving", leaving_},
      {"tasks", std::move(tasks)}});
}

asio::awaitable<void> worker::AnnounceLoop() {
  while (true) {
    const core::time_point next = clock_.Now() + kAnnounceEvery;
    asio::co_spawn(executor_, AnnounceOnce(), asio::detached);
    if (co_await phase_changed_.WaitUntil(next)) {
      co_await core::SleepFor(clock_, kAnnounceSpacing);
    }
  }
}

asio::awaitable<void> worker::AnnounceOnce() {
  if (lease_until_ != time_point{} && !HoldsLease()) {
    RestartUnderNewIncarnation("lease ended");
  }
  ++sequence_;
  const time_point sent = clock_.Now();
  http_request request(http::verb::post,
                       "/v1/workers/" + options_.name + "/announce", 11);
  request.set(http::field::authorization, "Bearer " + options_.token);
  request.set(http::field::content_type, "application/json");
  request.body() = AnnouncementBody();
  const std::size_t index = next_client_ % clients_.size();
  const auto answer =
      co_await clients_[index]->Ask(std::move(request), kReplyTimeout);
  if (answer && answer->result_int() == 200) {
    json::error_code ec;
    const json::value reply = json::parse(answer->body(), ec);
    if (!ec && reply.is_object()) ApplyReply(reply.as_object(), sent);
    co_return;
  }
  next_client_ = index + 1;
  const int status = answer ? static_cast<int>(answer->result_int()) : 0;
  Note("announce_failed", "", std::to_string(status));
  std::uniform_int_distribution<int> jitter(50, 250);
  std::chrono::milliseconds pause(jitter(random_));
  if (answer && answer->result_int() == 503) {
    const std::string after((*answer)[http::field::retry_after]);
    int seconds = 1;
    std::from_chars(after.data(), after.data() + after.size(), seconds);
    pause += std::chrono::seconds(seconds);
  }
  co_await core::SleepFor(clock_, pause);
  phase_changed_.NotifyAll();
}

void worker::ApplyReply(const json::object& reply, time_point sent) {
  const auto incarnation =
      static_cast<std::uint64_t>(Number(reply, "incarnation"));
  const auto term = static_cast<std::uint64_t>(Number(reply, "term"));
  if (incarnation != incarnation_ || term < term_) return;
  term_ = term;
  if (Flag(reply, "superseded")) {
    Note("superseded", "");
    for (auto& [key, t] : tasks_) {
      if (t.phase == "running") EndTask(key, "stopped", "superseded");
    }
    lease_until_ = sent;
    return;
  }
  const std::chrono::milliseconds lease(Number(reply, "lease_ms"));
  lease_until_ = std::max(lease_until_, sent + lease);
  const auto sequence = static_cast<std::uint64_t>(Number(reply, "sequence"));
  std::erase_if(tasks_, [&](const auto& entry) {
    const task& t = entry.second;
    return t.phase != "running" && t.ended_in != 0 && t.ended_in <= sequence;
  });
  const json::value* const orders = reply.if_contains("orders");
  if (orders == nullptr || !orders->is_array()) return;
  for (const json::value& order : orders->as_array()) {
    ApplyOrder(order.as_object());
  }
}

void worker::RestartUnderNewIncarnation(const char* why) {
  Note("incarnation_ended", "", why);
  for (auto& [key, t] : tasks_) {
    if (t.phase == "running") EndTask(key, "stopped", why);
  }
  tasks_.clear();
  seen_attempts_.clear();
  once_.clear();
  incarnation_ = NewIncarnation(incarnation_);
  sequence_ = 0;
  lease_until_ = {};
}

void worker::ApplyOrder(const json::object& order) {
  const std::string kind = Text(order, "order");
  const task_key key{Number(order, "job"), Number(order, "index")};
  const std::int64_t attempt = Number(order, "attempt");
  if (kind == "start") {
    if (attempt <= seen_attempts_[key]) return;
    seen_attempts_[key] = attempt;
    StartTask(key, order);
    return;
  }
  const auto it = tasks_.find(key);
  const bool runs = it != tasks_.end() && it->second.attempt == attempt &&
                    it->second.phase == "running";
  if (kind == "stop" && runs) {
    EndTask(key, "stopped", Flag(order, "checkpoint") ? "checkpoint" : "");
  } else if (kind == "stop" && attempt > seen_attempts_[key]) {
    // The start may come later and must then be ignored.
    seen_attempts_[key] = attempt;
    task refused;
    refused.attempt = attempt;
    refused.phase = "not_run";
    tasks_[key] = refused;
    phase_changed_.NotifyAll();
  } else if (kind == "throttle" && runs) {
    Note("throttled", std::to_string(key.first));
  }
}

bool worker::Fits(const amounts& need) const {
  amounts used = need;
  for (const auto& [key, t] : tasks_) {
    if (t.phase != "running") continue;
    used.cpu_milli += t.need.cpu_milli;
    used.memory_mib += t.need.memory_mib;
    used.accelerators += t.need.accelerators;
  }
  return used.cpu_milli <= options_.cpu_milli &&
         used.memory_mib <= options_.memory_mib &&
         used.accelerators <= options_.accelerators;
}

void worker::StartTask(task_key key, const json::object& order) {
  task t;
  t.attempt = Number(order, "attempt");
  t.department = Text(order, "department");
  t.name = Text(order, "name");
  t.service = Flag(order, "service");
  if (const json::value* need = order.if_contains("need")) {
    t.need = {Number(need->as_object(), "cpu_milli"),
              Number(need->as_object(), "memory_mib"),
              Number(need->as_object(), "accelerators")};
  }
  const std::string id = std::to_string(key.first) + "/" +
                         std::to_string(key.second) + "/" +
                         std::to_string(t.attempt);
  if (!Fits(t.need) || leaving_) {
    t.phase = "not_run";
    t.detail = leaving_ ? "leaving" : "does not fit";
    Note("task_refused", id, t.detail);
    tasks_[key] = t;
    phase_changed_.NotifyAll();
    return;
  }
  Note("task_started", id, t.name);
  const bool fails =
      options_.mode == misbehaviour::kFailTasks ||
      std::bernoulli_distribution(options_.task_failure_rate)(random_);
  tasks_[key] = t;
  CheckOwnLimits();
  phase_changed_.NotifyAll();
  if (t.service && options_.mode != misbehaviour::kFailTasks) return;
  asio::co_spawn(executor_, RunTask(key, t.attempt, incarnation_, fails),
                 asio::detached);
}

asio::awaitable<void> worker::RunTask(task_key key, std::int64_t attempt,
                                      std::uint64_t incarnation, bool fails) {
  const bool at_once = options_.mode == misbehaviour::kFailTasks;
  if (options_.task_time.count() == 0 && !at_once) co_return;
  const auto run_time =
      at_once ? std::chrono::milliseconds(1) : options_.task_time;
  co_await core::SleepFor(clock_, run_time);
  const auto it = tasks_.find(key);
  const bool runs = incarnation == incarnation_ && it != tasks_.end() &&
                    it->second.attempt == attempt &&
                    it->second.phase == "running";
  if (!runs) co_return;
  EndTask(key, fails ? "failed" : "succeeded", fails ? "exit code 1" : "");
}

void worker::EndTask(task_key key, const char* phase,
                     const std::string& detail) {
  task& t = tasks_.at(key);
  t.phase = phase;
  t.detail = detail;
  Note("task_ended",
       std::to_string(key.first) + "/" + std::to_string(key.second) + "/" +
           std::to_string(t.attempt),
       phase);
  phase_changed_.NotifyAll();
}

bool worker::RunsService(const std::string& department,
                         const std::string& service) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    const task& t = entry.second;
    return t.service && t.phase == "running" && t.department == department &&
           t.name == service;
  });
}

}  // namespace stand_in
