#include <gtest/gtest.h>

#include "calls/fakes.h"

namespace mangoplank::calls {
namespace {

using cell::ending;
using fakes::fake_cell;
using namespace std::chrono_literals;

/// Reference implementation, simple enough to verify by inspection: runs calls
/// serially on the first worker and stores the ends of at-most-once calls.
class naive_dispatcher : public runner {
 public:
  explicit naive_dispatcher(fake_cell& cell)
      : cell_(cell), freed_(cell.time.io.get_executor(), cell.time.clock) {}

  core::awaitable<call_end> Run(call c) override {
    // A ticket lock serves calls in the order of arrival.
    const std::uint64_t ticket = next_ticket_++;
    while (serving_ticket_ != ticket) co_await freed_.Wait();
    call_end end = co_await RunLocked(std::move(c));
    ++serving_ticket_;
    freed_.NotifyAll();
    co_return end;
  }
  core::awaitable<core::outcome<call_end>> Resolve(cell::call_key,
                                                   core::time_point) override {
    co_return core::failure(core::not_found{});
  }

 private:
  static call_end NotRun(end_reason why) {
    return {ending::kNotRun, why, "", std::nullopt, std::nullopt};
  }
  core::awaitable<call_end> RunLocked(call c) {
    const cell::object* const service =
        cell_.view.Find({cell::object_kind::kService, c.department, c.service});
    if (service == nullptr) co_return NotRun(end_reason::kUnknownService);
    const cell::operation* found = nullptr;
    for (const auto& op :
         std::get<cell::service_spec>(service->spec).operations) {
      if (op.name == c.operation) found = &op;
    }
    if (found == nullptr) co_return NotRun(end_reason::kUnknownOperation);
    if (found->idempotent) co_return co_await Send(c);
    if (c.idempotency_key.empty()) co_return NotRun(end_reason::kKeyMissing);
    const auto it = ends_by_key_.find(c.idempotency_key);
    if (it != ends_by_key_.end()) {
      const auto& [earlier, end] = it->second;
      const bool same =
          earlier.body == c.body && earlier.operation == c.operation;
      co_return same ? end : NotRun(end_reason::kKeyReused);
    }
    const call_end end = co_await Send(c);
    ends_by_key_[c.idempotency_key] = {c, end};
    co_return end;
  }
  core::awaitable<call_end> Send(call c) {
    const cell::worker_record& w =
        cell_.transport.workers.begin()->second.record;
    worker_request r;
    r.id = "n" + std::to_string(++next_id_);
    r.department = c.department;
    r.service = c.service;
    r.operation = c.operation;
    r.body = c.body;
    r.deadline = cell_.time.clock.Now() + 1h;
    const worker_target to{w.id, w.incarnation, w.address};
    const exchange_result result =
        co_await cell_.transport.Exchange(to, r, r.deadline);
    const auto* const done = std::get_if<worker_done>(&result.reply);
    co_return call_end{ending::kDone, end_reason::kNone,
                       done == nullptr ? "none" : done->body, std::nullopt,
                       std::nullopt};
  }

  fake_cell& cell_;
  core::event freed_;
  std::uint64_t next_ticket_ = 0;
  std::uint64_t serving_ticket_ = 0;
  std::uint64_t next_id_ = 0;
  std::map<std::string, std::pair<call, call_end>> ends_by_key_;
};

struct timed_call {
  core::duration start_offset{};
  call request;
  std::shared_ptr<std::optional<call_end>> end;
};

/// Calls with long deadlines, so that timing does not affect the ends. Keys are
/// reused with the same and with different bodies.
std::vector<timed_call> RandomCalls(fake_cell& cell, std::mt19937_64& random) {
  std::vector<timed_call> all;
  core::duration start_offset{};
  for (int i = 0; i < 120; ++i) {
    start_offset += std::chrono::milliseconds(random() % 8);
    const std::uint64_t kind = random() % 10;
    const std::string number = std::to_string(random() % 40);
    call c = kind < 4 ? cell.MakeCall("check", "c" + std::to_string(i), 600s)
                      : cell.MakeCall("book", "b" + number, 600s, "k" + number);
    if (kind == 7) c.body = "other" + number;
    if (kind == 8) c.operation = "none";
    if (kind == 9) c.idempotency_key.clear();
    all.push_back({start_offset, std::move(c), nullptr});
  }
  return all;
}

std::vector<std::pair<call, call_end>> RunCalls(fake_cell& cell, runner& r,
                                                std::vector<timed_call> all) {
  const core::time_point start = cell.time.clock.Now();
  for (timed_call& a : all) {
    cell.time.RunUntil(start + a.start_offset);
    a.end = cell.Start(r, a.request);
  }
  cell.time.RunFor(60s);
  std::vector<std::pair<call, call_end>> ends;
  for (const timed_call& a : all) ends.emplace_back(a.request, a.end->value());
  return ends;
}

// Guards against answers that depend on concurrency, queues, slots or hedges:
// without faults, each call must end as in serial execution.
TEST(NaiveDispatcherTest, EndsEqualThoseOfSerialExecution) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    fake_cell naive_cell(seed);
    fake_cell cell(seed);
    for (fake_cell* c : {&naive_cell, &cell}) {
      for (int i = 0; i < 3; ++i) {
        c->AddWorker("w" + std::to_string(i), i < 2 ? "kalisz" : "olesno", 4);
      }
    }
    std::mt19937_64 random(seed);
    const std::vector<timed_call> all = RandomCalls(cell, random);
    naive_dispatcher naive(naive_cell);
    const auto d = cell.MakeDispatcher("e1", "kalisz");
    cell.GrantSlots(*d, 2);
    const auto expected = RunCalls(naive_cell, naive, all);
    const auto ends = RunCalls(cell, *d, all);
    for (std::size_t i = 0; i < all.size(); ++i) {
      const call_end& a = expected[i].second;
      const call_end& b = ends[i].second;
      ASSERT_EQ(a.ending, b.ending) << i << " " << static_cast<int>(b.reason);
      ASSERT_EQ(a.reason, b.reason) << i;
      ASSERT_EQ(a.body, b.body) << i;
    }
  }
}

}  // namespace
}  // namespace mangoplank::calls
