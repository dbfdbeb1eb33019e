#include <gtest/gtest.h>

#include "calls/fakes.h"

namespace mangoplank::calls {
namespace {

using cell::ending;
using fakes::fake_cell;
using namespace std::chrono_literals;

/// A call of a history and what its caller heard.
struct asked {
  call c;
  bool once = false;
  int heard = 0;
  call_end end;
};

/// Random calls through two entries, with faults of links, workers, control
/// and an entry that restarts.
class history {
 public:
  explicit history(std::uint64_t seed) : cell_(seed), random_(seed) {
    for (int i = 0; i < 4; ++i) {
      cell_.AddWorker("w" + std::to_string(i), i < 3 ? "kalisz" : "olesno", 4);
    }
    entries_.push_back(cell_.MakeDispatcher("e1", "kalisz", settings_));
    entries_.push_back(cell_.MakeDispatcher("e2", "olesno", settings_));
    const double p = Real() * 0.1;
    cell_.transport.rates = {p, p, p};
    cell_.control.rates.commit_unknown = p;
    cell_.control.rates.unavailable = p;
  }

  void Run() {
    for (int step = 0; step < 250; ++step) {
      if (step % 50 == 0) GrantAll();
      Ask(step);
      if (Chance(0.02)) cell_.RestartWorker({"w" + std::to_string(Pick(4))});
      if (Chance(0.02)) RestartEntry();
      if (Chance(0.02)) entries_[Pick(2)]->SetCutOff(Chance(0.3));
      cell_.control.is_down = Chance(0.05);
      cell_.time.RunFor(std::chrono::milliseconds(Pick(12)));
    }
    cell_.control.is_down = false;
    cell_.time.RunFor(60s);
  }

  void Check() {
    for (const auto& a : asked_) {
      // Guards against a call that is never answered, or answered twice.
      ASSERT_EQ(a->heard, 1) << a->c.body;
      const int starts = cell_.Starts(a->c.body);
      // Guards against the answer of another call.
      if (a->end.e == ending::kDone) {
        ASSERT_EQ(a->end.body, "answer:" + a->c.body);
        ASSERT_GE(starts, 1);
      }
      // Guards against a booking that runs twice.
      if (a->once) ASSERT_LE(starts, 1) << a->c.body;
      // Guards against not_run said of a call that ran. A call that is sent
      // again under its key may run then.
      const bool sent_again = resent_.contains(a->c.idempotency_key);
      if (a->end.e == ending::kNotRun && !sent_again) {
        ASSERT_EQ(starts, 0) << a->c.body;
      }
      if (a->once && a->end.e == ending::kDone) CheckRecord(*a);
    }
    // Guards against a worker that runs more calls than it has slots.
    for (const auto& [id, w] : cell_.transport.workers) {
      ASSERT_LE(w.most_running, w.record.slots);
    }
    ASSERT_EQ(cell_.transport.sent_after_deadline, 0u);
  }

  std::size_t Count(ending e) const {
    return static_cast<std::size_t>(
        std::count_if(asked_.begin(), asked_.end(),
                      [&](const auto& a) { return a->end.e == e; }));
  }

 private:
  double Real() { return std::uniform_real_distribution<double>()(random_); }
  bool Chance(double p) { return Real() < p; }
  std::size_t Pick(std::size_t n) { return random_() % n; }

  void GrantAll() {
    for (const auto& e : entries_) cell_.Grant(*e, 2);
  }
  /// The entry's process ends, and its calls with it, as its callers see it.
  void RestartEntry() {
    const std::size_t i = Pick(2);
    const core::region_id region{i == 0 ? "kalisz" : "olesno"};
    ended_entries_.push_back(std::move(entries_[i]));
    entries_[i] = cell_.MakeDispatcher(i == 0 ? "e1" : "e2", region.v,
                                       settings_, ++incarnation_);
    cell_.Grant(*entries_[i], 2);
  }

  void Ask(int step) {
    auto a = std::make_shared<asked>();
    a->once = Chance(0.5);
    const core::duration timeout = std::chrono::milliseconds(20 + Pick(800));
    const std::string body = "b" + std::to_string(step);
    const std::string key = a->once ? "k" + std::to_string(step) : "";
    a->c = cell_.Call(a->once       ? "book"
                      : Chance(0.2) ? "plan"
                                    : "check",
                      body, timeout, key);
    Send(a, Pick(2));
    if (a->once && Chance(0.5)) {
      // The caller lost patience and asks through another entry.
      auto again = std::make_shared<asked>(*a);
      again->c.deadline += 300ms;
      resent_.insert(key);
      boost::asio::co_spawn(cell_.time.io, SendLater(this, again, Pick(2)),
                            boost::asio::detached);
    }
  }
  static core::awaitable<void> SendLater(history* self,
                                         std::shared_ptr<asked> a,
                                         std::size_t entry) {
    co_await core::SleepFor(self->cell_.time.clock,
                            std::chrono::milliseconds(self->Pick(400)));
    self->Send(a, entry);
  }
  void Send(const std::shared_ptr<asked>& a, std::size_t entry) {
    asked_.push_back(a);
    boost::asio::co_spawn(cell_.time.io, Keep(entries_[entry].get(), a),
                          boost::asio::detached);
  }
  static core::awaitable<void> Keep(dispatcher* d, std::shared_ptr<asked> a) {
    a->end = co_await d->Run(a->c);
    ++a->heard;
  }

  void CheckRecord(const asked& a) {
    const cell::call_record* const record = cell_.control.state.FindCall(
        {a.c.department, a.c.service, a.c.idempotency_key});
    // Guards against an answer that differs from the recorded outcome.
    ASSERT_TRUE(record && record->outcome) << a.c.body;
    ASSERT_EQ(record->outcome->ending, ending::kDone);
    ASSERT_EQ(record->outcome->body, a.end.body);
  }

  fake_cell cell_;
  std::mt19937_64 random_;
  dispatcher_settings settings_;
  std::vector<std::unique_ptr<dispatcher>> entries_;
  std::vector<std::unique_ptr<dispatcher>> ended_entries_;
  std::vector<std::shared_ptr<asked>> asked_;
  std::set<std::string> resent_;
  core::incarnation incarnation_ = 1;
};

// Guards the promises to callers in any order of faults: one whole answer of
// the own call, not_run only of calls that did not run, at most one run of a
// once-call, no worker above its slots, nothing sent after the deadline.
TEST(DispatcherHistoryTest, PromisesHoldUnderRandomFaults) {
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
  // Guards against a test that no longer reaches the cases it is about.
  for (const auto& [e, n] : ends) EXPECT_GE(n, 100u);
}

}  // namespace
}  // namespace mangoplank::calls
