#include "mangoplank/calls/dispatcher.h"

#include <gtest/gtest.h>

#include "calls/fakes.h"

namespace mangoplank::calls {
namespace {

using cell::ending;
using fakes::fake_cell;
using namespace std::chrono_literals;

const cell::call_key kKey{{"kitchens"}, "meals", "k1"};

class DispatcherTest : public ::testing::Test {
 protected:
  /// A worker of 8 slots in the own region, 2 of them granted.
  void SetUp() override {
    worker_ = &cell_.AddWorker("w1", "kalisz", 8);
    d_ = cell_.MakeDispatcher("e1", "kalisz");
    cell_.Grant(*d_, 2);
  }
  const cell::call_record* Record() {
    return cell_.control.state.FindCall(kKey);
  }
  std::uint64_t Faults(fault_kind k) {
    return cell_.metrics
        .Counter("mangoplank_call_faults_total", "",
                 {{"kind", std::string(Name(k))}})
        .Value();
  }
  using pending = std::shared_ptr<std::optional<call_end>>;
  pending Check(const std::string& body, core::duration timeout = 300ms) {
    return cell_.Start(*d_, cell_.Call("check", body, timeout));
  }

  fake_cell cell_{1};
  fakes::fake_worker* worker_ = nullptr;
  std::unique_ptr<dispatcher> d_;
};

// Guards against a path without any answer, and against a wait for control.
TEST_F(DispatcherTest, AnIdempotentCallIsAnsweredWithoutControl) {
  const call_end end = cell_.Run(*d_, cell_.Call("check", "a", 300ms));
  EXPECT_EQ(end.e, ending::kDone);
  EXPECT_EQ(end.body, "answer:a");
  EXPECT_EQ(cell_.control.asked, 0u);
}

// Guards against a caller who hears not_run of a booking that ran, since the
// resend met an entry that is full, draining or cut off, and books again.
TEST_F(DispatcherTest, ARefusedResendHearsTheRecordedOutcome) {
  const call book = cell_.Call("book", "a", 1s, "k1");
  ASSERT_EQ(cell_.Run(*d_, book).e, ending::kDone);
  const auto full = cell_.MakeDispatcher("e2", "kalisz");
  const auto run = [&](const std::string& body, const std::string& key) {
    const auto end = cell_.Start(*full, cell_.Call("book", body, 50ms, key));
    cell_.time.RunFor(1s);
    return end->value();
  };
  EXPECT_EQ(run("a", "k1").body, "answer:a");
  EXPECT_EQ(run("b", "k2").e, ending::kNotRun);
  full->SetCutOff(true);
  EXPECT_EQ(run("a", "k1").e, ending::kOutcomeUnknown);
  EXPECT_EQ(run("a", "k1").handle, kKey);
}

// Guards against a booking that reaches a worker without a recorded intent, or
// a caller who hears of it before the outcome is recorded.
TEST_F(DispatcherTest, AOnceCallIsRecordedBeforeItIsSentAndAnswered) {
  const auto end = cell_.Start(*d_, cell_.Call("book", "a", 1s, "k1"));
  cell_.time.RunFor(1ms);
  EXPECT_EQ(cell_.transport.exchanges, 0u);
  cell_.time.RunFor(1s);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->e, ending::kDone);
  ASSERT_TRUE(Record() && Record()->outcome);
  EXPECT_EQ(Record()->outcome->body, "answer:a");
  EXPECT_EQ(cell_.Starts("a"), 1);
}

TEST_F(DispatcherTest, RefusesWhatIsNotDeclared) {
  call c = cell_.Call("check", "a", 300ms);
  c.service = "none";
  EXPECT_EQ(cell_.Run(*d_, c).why, end_reason::kUnknownService);
  EXPECT_EQ(cell_.Run(*d_, cell_.Call("none", "a", 300ms)).why,
            end_reason::kUnknownOperation);
  EXPECT_EQ(cell_.Run(*d_, cell_.Call("book", "a", 300ms)).why,
            end_reason::kKeyMissing);
  EXPECT_EQ(cell_.Starts("a"), 0);
}

// Guards against a second run of a booking, or another one's answer.
TEST_F(DispatcherTest, AKeyIsAnsweredOnceAndBoundToItsBody) {
  cell_.Run(*d_, cell_.Call("book", "a", 1s, "k1"));
  const call_end again = cell_.Run(*d_, cell_.Call("book", "a", 1s, "k1"));
  EXPECT_EQ(again.body, "answer:a");
  const call_end other = cell_.Run(*d_, cell_.Call("book", "b", 1s, "k1"));
  EXPECT_EQ(other.e, ending::kNotRun);
  EXPECT_EQ(other.why, end_reason::kKeyReused);
  EXPECT_EQ(cell_.Starts("a"), 1);
}

// Guards against work that is lost since its caller hung up or gave up.
TEST_F(DispatcherTest, StartedWorkGoesOnAfterItsDeadlineAndIsKept) {
  worker_->service_time = 500ms;
  const call_end end = cell_.Run(*d_, cell_.Call("book", "a", 100ms, "k1"));
  EXPECT_EQ(end.e, ending::kOutcomeUnknown);
  EXPECT_EQ(end.handle, kKey);
  cell_.time.RunFor(5s);
  EXPECT_EQ(Record()->outcome->body, "answer:a");
  const call_end again = cell_.Run(*d_, cell_.Call("book", "a", 1s, "k1"));
  EXPECT_EQ(again.e, ending::kDone);
  EXPECT_EQ(cell_.Starts("a"), 1);
}

// Guards against a second run by an entry that meets another one's intent, and
// against an answer that its worker alone knows.
TEST_F(DispatcherTest, AnotherEntrysCallIsAskedOfItsWorker) {
  worker_->service_time = 100ms;
  cell_.Start(*d_, cell_.Call("book", "a", 1s, "k1"));
  cell_.time.RunFor(20ms);
  // The first entry can't record what it hears; the second one can.
  cell_.control.is_down = true;
  cell_.time.RunFor(200ms);
  cell_.control.is_down = false;
  const auto other = cell_.MakeDispatcher("e2", "kalisz");
  cell_.Grant(*other, 2);
  const call_end end = cell_.Run(*other, cell_.Call("book", "a", 1s, "k1"));
  EXPECT_EQ(end.e, ending::kDone);
  EXPECT_EQ(cell_.Starts("a"), 1);
}

// Guards against not_run said of a call that ran before its worker restarted:
// the new incarnation refuses the repeated request.
TEST_F(DispatcherTest, ARestartedWorkersRefusalIsNotTakenForNotRun) {
  worker_->service_time = 400ms;
  const auto end = cell_.Start(*d_, cell_.Call("book", "a", 1s, "k1"));
  cell_.time.RunFor(100ms);
  ASSERT_EQ(cell_.Starts("a"), 1);
  cell_.transport.Restart({"w1"});
  cell_.time.RunFor(1s);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->e, ending::kOutcomeUnknown);
  EXPECT_EQ(cell_.Starts("a"), 1);
}

// Guards against a booking bound to a worker that refused it.
TEST_F(DispatcherTest, ARefusedOnceCallGoesToAnotherWorker) {
  cell_.AddWorker("w2", "kalisz", 8);
  cell_.Grant(*d_, 2);
  cell_.transport.workers.at({"w1"}).record.slots = 0;
  cell_.transport.workers.at({"w2"}).record.slots = 0;
  for (const char* name : {"w1", "w2"}) {
    cell_.transport.workers.at({name}).record.slots = 8;
    const std::string key = std::string("key-") + name;
    const call_end end = cell_.Run(*d_, cell_.Call("book", key, 1s, key));
    EXPECT_EQ(end.e, ending::kDone);
    EXPECT_EQ(cell_.Starts(key), 1);
    cell_.transport.workers.at({name}).record.slots = 0;
  }
}

// Guards against faults that are not counted or not retried elsewhere.
TEST_F(DispatcherTest, AFaultIsCountedAndTheCallGoesToAnotherWorker) {
  // About 7 retries, which the budget of 10 and what the calls earn allow.
  cell_.transport.rates.connect_refused = 0.25;
  int done = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    done += cell_.Run(*d_, cell_.Call("check", body, 300ms)).e == ending::kDone;
  }
  EXPECT_GT(Faults(fault_kind::kConnectRefused), 0u);
  EXPECT_EQ(done, 20);
}

// Guards against a silent worker that costs the whole deadline.
TEST_F(DispatcherTest, ASlowAttemptIsHedgedOnAnotherWorker) {
  cell_.AddWorker("w2", "kalisz", 8);
  cell_.Grant(*d_, 4);
  for (int i = 0; i < 40; ++i) {
    cell_.Run(*d_, cell_.Call("check", std::to_string(i), 300ms));
  }
  cell_.transport.workers.at({"w1"}).service_time = 10s;
  const core::time_point start = cell_.time.clock.Now();
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(cell_.Run(*d_, cell_.Call("check", "x", 300ms)).e, ending::kDone);
  }
  EXPECT_LT(cell_.time.clock.Now() - start, 4 * 100ms);
}

// Guards against calls beyond the granted slots, and against a smaller grant
// that is reported as kept while more calls are in flight.
TEST_F(DispatcherTest, GrantsAreKeptAndEndWithTheirLease) {
  worker_->service_time = 50ms;
  for (int i = 0; i < 6; ++i) Check(std::to_string(i));
  cell_.time.RunFor(10ms);
  EXPECT_EQ(worker_->running, 2);
  cell_.Grant(*d_, 1, 200ms);
  const std::uint64_t before = d_->Report().applied_sequence;
  cell_.time.RunFor(100ms);
  EXPECT_LE(worker_->running, 1);
  EXPECT_EQ(d_->Report().applied_sequence, before + 1);
  cell_.time.RunFor(300ms);
  const auto late = Check("late", 100ms);
  cell_.time.RunFor(200ms);
  EXPECT_EQ(cell_.Starts("late"), 0);
  EXPECT_TRUE(d_->Report().held.empty());
}

// Guards against a set of grants that arrives late and counts as fresh.
TEST_F(DispatcherTest, TheLeaseCountsFromTheReport) {
  const control::slot_report report = d_->Report();
  control::slot_grants g;
  g.term = 2;
  g.sequence = 1;
  g.report_number = report.number;
  g.lease = 1000ms;
  g.grants = {{{"w1"}, 1, 8}};
  cell_.time.RunFor(1500ms);
  d_->Grant(g);
  const auto end = Check("a", 100ms);
  cell_.time.RunFor(200ms);
  EXPECT_EQ(cell_.Starts("a"), 0);
}

core::awaitable<void> KeepNeeded(dispatcher& d, bool& needed) {
  co_await d.NeedsReport().Wait();
  needed = true;
}

// Guards against a first call that waits for the next regular report.
TEST_F(DispatcherTest, AsksForAReportWhenNoSlotIsGranted) {
  const auto d = cell_.MakeDispatcher("e2", "kalisz");
  bool needed = false;
  boost::asio::co_spawn(cell_.time.io, KeepNeeded(*d, needed),
                        boost::asio::detached);
  cell_.time.RunFor(1ms);
  const auto end = cell_.Start(*d, cell_.Call("check", "a", 300ms));
  cell_.time.RunFor(1ms);
  EXPECT_TRUE(needed);
  cell_.Grant(*d, 1);
  cell_.time.RunFor(50ms);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->e, ending::kDone);
}

// Guards against billed bytes while the own region can answer, and against a
// refusal while only another region can.
TEST_F(DispatcherTest, AnotherRegionServesOnlyWhenTheOwnCantInTime) {
  cell_.AddWorker("far", "olesno", 8);
  cell_.Grant(*d_, 2);
  for (int i = 0; i < 10; ++i) Check(std::to_string(i));
  cell_.time.RunFor(300ms);
  EXPECT_TRUE(cell_.transport.workers.at({"far"}).starts.empty());
  cell_.Apply(cell::worker_removed{{"w1"}, 1});
  EXPECT_EQ(cell_.Run(*d_, cell_.Call("check", "x", 300ms)).e, ending::kDone);
  EXPECT_GT(cell_.metrics
                .Counter("mangoplank_call_cross_region_bytes_total", "",
                         {{"direction", "out"}})
                .Value(),
            0u);
}

// Guards against calls that wait although they can't be answered in time.
TEST_F(DispatcherTest, OverloadIsRefusedEarlyAsNotRun) {
  int refused_at_once = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto end = Check(std::to_string(i), 100ms);
    cell_.time.RunFor(1ms);
    const bool refused = *end && (*end)->e == ending::kNotRun;
    if (!refused) continue;
    ++refused_at_once;
    EXPECT_EQ((*end)->why, end_reason::kOverloaded);
    EXPECT_TRUE((*end)->retry_after.has_value());
  }
  EXPECT_GT(refused_at_once, 1000);
}

// Guards against a department that starves another one.
TEST_F(DispatcherTest, DepartmentsTakeTurns) {
  cell_.AddService("tally", "sheets");
  cell_.PlaceOn(worker_->record);
  for (int i = 0; i < 100; ++i) Check("k" + std::to_string(i), 5s);
  cell_.time.RunFor(1ms);
  std::vector<pending> tally;
  for (int i = 0; i < 10; ++i) {
    call c = cell_.Call("check", "t" + std::to_string(i), 5s);
    c.department = {"tally"};
    c.service = "sheets";
    tally.push_back(cell_.Start(*d_, c));
  }
  cell_.time.RunFor(200ms);
  for (const auto& end : tally) EXPECT_TRUE(*end);
}

// Guards against an entry that is cut off and still sends, and against a drain
// that cuts off calls in flight.
TEST_F(DispatcherTest, CutOffAndDrainRefuseNewCallsOnly) {
  worker_->service_time = 100ms;
  const auto in_flight = Check("a");
  cell_.time.RunFor(5ms);
  d_->SetCutOff(true);
  EXPECT_EQ(cell_.Run(*d_, cell_.Call("check", "b", 300ms)).why,
            end_reason::kCutOff);
  d_->SetCutOff(false);
  bool drained = false;
  const core::time_point until = cell_.time.clock.Now() + 5s;
  boost::asio::co_spawn(cell_.time.io, d_->Drain(until),
                        [&](std::exception_ptr) { drained = true; });
  cell_.time.RunFor(1ms);
  EXPECT_FALSE(drained);
  EXPECT_EQ(cell_.Run(*d_, cell_.Call("check", "c", 300ms)).why,
            end_reason::kDraining);
  cell_.time.RunFor(300ms);
  EXPECT_TRUE(drained);
  EXPECT_EQ((*in_flight)->e, ending::kDone);
}

core::awaitable<void> KeepResolved(
    dispatcher& d, core::time_point deadline,
    std::optional<core::outcome<call_end>>& found) {
  cell::call_key key = kKey;
  found = co_await d.Resolve(key, deadline);
}

// Guards against a handle that leads nowhere.
TEST_F(DispatcherTest, ResolveFindsTheOutcomeOfAnotherEntrysCall) {
  const auto resolve = [&](dispatcher& d) {
    std::optional<core::outcome<call_end>> found;
    boost::asio::co_spawn(cell_.time.io,
                          KeepResolved(d, cell_.time.clock.Now() + 1s, found),
                          boost::asio::detached);
    cell_.time.RunFor(2s);
    return *found;
  };
  const auto other = cell_.MakeDispatcher("e2", "kalisz");
  EXPECT_FALSE(resolve(*other));
  worker_->service_time = 400ms;
  cell_.Run(*d_, cell_.Call("book", "a", 100ms, "k1"));
  const auto found = resolve(*other);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->body, "answer:a");
}

}  // namespace
}  // namespace mangoplank::calls
