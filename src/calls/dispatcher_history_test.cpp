#include <gtest/gtest.h>

#include "calls/fakes.h"

namespace mangoplank::calls {
namespace {

using cell::ending;
using fakes::fake_cell;
using namespace std::chrono_literals;

/// A call of a history and the answer that its caller received.
struct sent_call {
  call request;
  bool at_most_once = false;
  int answer_count = 0;
  call_end end;
};

/// Random calls through two entries, with faults of links, workers and
/// control, and restarts of entries.
class history {
 public:
  explicit history(std::uint64_t seed) : cell_(seed), random_(seed) {
    for (int i = 0; i < 4; ++i) {
      cell_.AddWorker("w" + std::to_string(i), i < 3 ? "kalisz" : "olesno", 4);
    }
    entries_.push_back(cell_.MakeDispatcher("e1", "kalisz", settings_));
    entries_.push_back(cell_.MakeDispatcher("e2", "olesno", settings_));
    const double p = DrawUniform() * 0.1;
    cell_.transport.rates = {p, p, p};
    cell_.control.rates.commit_unknown = p;
    cell_.control.rates.unavailable = p;
  }

  void Run() {
    for (int step = 0; step < 250; ++step) {
      if (step % 50 == 0) GrantAll();
      StartCall(step);
      if (Draw(0.02)) cell_.RestartWorker({"w" + std::to_string(DrawIndex(4))});
      if (Draw(0.02)) RestartEntry();
      if (Draw(0.02)) entries_[DrawIndex(2)]->SetCutOff(Draw(0.3));
      cell_.control.is_down = Draw(0.05);
      cell_.time.RunFor(std::chrono::milliseconds(DrawIndex(12)));
    }
    cell_.control.is_down = false;
    cell_.time.RunFor(60s);
  }

  void Check() {
    for (const auto& sent : sent_calls_) {
      // Guards against a call with no answer or with two.
      ASSERT_EQ(sent->answer_count, 1) << sent->request.body;
      const int starts = cell_.CountStarts(sent->request.body);
      // Guards against the answer of another call.
      if (sent->end.ending == ending::kDone) {
        ASSERT_EQ(sent->end.body, "answer:" + sent->request.body);
        ASSERT_GE(starts, 1);
      }
      // Guards against an at-most-once call that runs twice.
      if (sent->at_most_once) ASSERT_LE(starts, 1) << sent->request.body;
      // Guards against not_run for a call that ran. A call that is resent with
      // its key may run then.
      const bool sent_again = resent_.contains(sent->request.idempotency_key);
      if (sent->end.ending == ending::kNotRun && !sent_again) {
        ASSERT_EQ(starts, 0) << sent->request.body;
      }
      if (sent->at_most_once && sent->end.ending == ending::kDone)
        CheckRecord(*sent);
    }
    // Guards against a worker that runs more calls than it has slots.
    for (const auto& [id, w] : cell_.transport.workers) {
      ASSERT_LE(w.max_running, w.record.slots);
    }
    ASSERT_EQ(cell_.transport.sent_after_deadline, 0u);
  }

  std::size_t Count(ending e) const {
    return static_cast<std::size_t>(
        std::count_if(sent_calls_.begin(), sent_calls_.end(),
                      [&](const auto& a) { return a->end.ending == e; }));
  }

 private:
  double DrawUniform() {
    return std::uniform_real_distribution<double>()(random_);
  }
  bool Draw(double p) { return DrawUniform() < p; }
  std::size_t DrawIndex(std::size_t n) { return random_() % n; }

  void GrantAll() {
    for (const auto& e : entries_) cell_.GrantSlots(*e, 2);
  }
  /// Replaces the entry by a new incarnation; the old one finishes its calls.
  void RestartEntry() {
    const std::size_t i = DrawIndex(2);
    const core::region_id region{i == 0 ? "kalisz" : "olesno"};
    replaced_entries_.push_back(std::move(entries_[i]));
    entries_[i] = cell_.MakeDispatcher(i == 0 ? "e1" : "e2", region.v,
                                       settings_, ++incarnation_);
    cell_.GrantSlots(*entries_[i], 2);
  }

  void StartCall(int step) {
    auto a = std::make_shared<sent_call>();
    a->at_most_once = Draw(0.5);
    const core::duration timeout =
        std::chrono::milliseconds(20 + DrawIndex(800));
    const std::string body = "b" + std::to_string(step);
    const std::string key = a->at_most_once ? "k" + std::to_string(step) : "";
    a->request = cell_.MakeCall(a->at_most_once ? "book"
                                : Draw(0.2)     ? "plan"
                                                : "check",
                                body, timeout, key);
    Send(a, DrawIndex(2));
    if (a->at_most_once && Draw(0.5)) {
      // The caller resends the call, possibly through the other entry.
      auto again = std::make_shared<sent_call>(*a);
      again->request.deadline += 300ms;
      resent_.insert(key);
      boost::asio::co_spawn(cell_.time.io, SendLater(this, again, DrawIndex(2)),
                            boost::asio::detached);
    }
  }
  static core::awaitable<void> SendLater(history* self,
                                         std::shared_ptr<sent_call> a,
                                         std::size_t entry) {
    co_await core::SleepFor(self->cell_.time.clock,
                            std::chrono::milliseconds(self->DrawIndex(400)));
    self->Send(a, entry);
  }
  void Send(const std::shared_ptr<sent_call>& a, std::size_t entry) {
    sent_calls_.push_back(a);
    boost::asio::co_spawn(cell_.time.io, StoreEnd(entries_[entry].get(), a),
                          boost::asio::detached);
  }
  static core::awaitable<void> StoreEnd(dispatcher* d,
                                        std::shared_ptr<sent_call> a) {
    a->end = co_await d->Run(a->request);
    ++a->answer_count;
  }

  void CheckRecord(const sent_call& a) {
    const cell::call_record* const record = cell_.control.state.FindCall(
        {a.request.department, a.request.service, a.request.idempotency_key});
    // Guards against an answer that differs from the recorded outcome.
    ASSERT_TRUE(record && record->outcome) << a.request.body;
    ASSERT_EQ(record->outcome->ending, ending::kDone);
    ASSERT_EQ(record->outcome->body, a.end.body);
  }

  fake_cell cell_;
  std::mt19937_64 random_;
  dispatcher_settings settings_;
  std::vector<std::unique_ptr<dispatcher>> entries_;
  std::vector<std::unique_ptr<dispatcher>> replaced_entries_;
  std::vector<std::shared_ptr<sent_call>> sent_calls_;
  std::set<std::string> resent_;
  core::incarnation incarnation_ = 1;
};

// Guards the guarantees to callers under any sequence of faults: one complete
// answer to each call, not_run only for calls that did not run, at-most-once
// execution, no worker above its slots, nothing sent after the deadline.
TEST(DispatcherHistoryTest, GuaranteesHoldUnderRandomFaults) {
  std::map<ending, std::size_t> ends;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    history h(seed);
    h.Run();
    h.Check();
    if (HasFatalFailure()) return;
    for (const ending e : {ending::kDone, ending::kFailed, ending::kNotRun,
                           ending::kOutcomeUnknown}) {
      ends[e] += h.Count(e);
    }
  }
  // Guards against a test that no longer covers each ending.
  for (const auto& [e, n] : ends) EXPECT_GE(n, 100u);
}

}  // namespace
}  // namespace mangoplank::calls
