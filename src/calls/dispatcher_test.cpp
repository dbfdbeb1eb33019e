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
  /// One worker in the own region with 8 slots, 2 of them granted.
  void SetUp() override {
    worker_ = &cell_.AddWorker("w1", "kalisz", 8);
    dispatcher_ = cell_.MakeDispatcher("e1", "kalisz");
    cell_.GrantSlots(*dispatcher_, 2);
  }
  const cell::call_record* FindRecord() {
    return cell_.control.state.FindCall(kKey);
  }
  std::uint64_t CountFaults(fault_kind k) {
    return cell_.metrics
        .Counter("mangoplank_call_faults_total", "",
                 {{"kind", std::string(Name(k))}})
        .Value();
  }
  using pending = std::shared_ptr<std::optional<call_end>>;
  pending StartCheck(const std::string& body, core::duration timeout = 300ms) {
    return cell_.Start(*dispatcher_, cell_.MakeCall("check", body, timeout));
  }

  fake_cell cell_{1};
  fakes::fake_worker* worker_ = nullptr;
  std::unique_ptr<dispatcher> dispatcher_;
};

// Guards against a lost answer, and against a wait for control.
TEST_F(DispatcherTest, AnswersIdempotentCallsWithoutControl) {
  const call_end end =
      cell_.Run(*dispatcher_, cell_.MakeCall("check", "a", 300ms));
  EXPECT_EQ(end.ending, ending::kDone);
  EXPECT_EQ(end.body, "answer:a");
  EXPECT_EQ(cell_.control.requests_received, 0u);
}

// Guards against not_run for a booking that ran, when an entry that is full,
// draining or cut off refuses the resend: the caller would book twice.
TEST_F(DispatcherTest, ReturnsRecordedOutcomeWhenAResendIsRefused) {
  const call book = cell_.MakeCall("book", "a", 1s, "k1");
  ASSERT_EQ(cell_.Run(*dispatcher_, book).ending, ending::kDone);
  const auto full = cell_.MakeDispatcher("e2", "kalisz");
  const auto run = [&](const std::string& body, const std::string& key) {
    const auto end =
        cell_.Start(*full, cell_.MakeCall("book", body, 50ms, key));
    cell_.time.RunFor(1s);
    return end->value();
  };
  EXPECT_EQ(run("a", "k1").body, "answer:a");
  EXPECT_EQ(run("b", "k2").ending, ending::kNotRun);
  full->SetCutOff(true);
  EXPECT_EQ(run("a", "k1").ending, ending::kOutcomeUnknown);
  EXPECT_EQ(run("a", "k1").handle, kKey);
}

// Guards against a booking that is sent before its intent is recorded, or
// answered before its outcome is recorded.
TEST_F(DispatcherTest, RecordsIntentBeforeSendAndOutcomeBeforeAnswer) {
  const auto end =
      cell_.Start(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  cell_.time.RunFor(1ms);
  EXPECT_EQ(cell_.transport.exchanges, 0u);
  cell_.time.RunFor(1s);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->ending, ending::kDone);
  ASSERT_TRUE(FindRecord() && FindRecord()->outcome);
  EXPECT_EQ(FindRecord()->outcome->body, "answer:a");
  EXPECT_EQ(cell_.CountStarts("a"), 1);
}

TEST_F(DispatcherTest, RefusesUndeclaredTargetsAndMissingKeys) {
  call c = cell_.MakeCall("check", "a", 300ms);
  c.service = "none";
  EXPECT_EQ(cell_.Run(*dispatcher_, c).reason, end_reason::kUnknownService);
  EXPECT_EQ(cell_.Run(*dispatcher_, cell_.MakeCall("none", "a", 300ms)).reason,
            end_reason::kUnknownOperation);
  EXPECT_EQ(cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 300ms)).reason,
            end_reason::kKeyMissing);
  EXPECT_EQ(cell_.CountStarts("a"), 0);
}

// Guards against a second run of a booking, or the answer of another one.
TEST_F(DispatcherTest, RunsAKeyOnceAndBindsItToItsBody) {
  cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  const call_end again =
      cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  EXPECT_EQ(again.body, "answer:a");
  const call_end other =
      cell_.Run(*dispatcher_, cell_.MakeCall("book", "b", 1s, "k1"));
  EXPECT_EQ(other.ending, ending::kNotRun);
  EXPECT_EQ(other.reason, end_reason::kKeyReused);
  EXPECT_EQ(cell_.CountStarts("a"), 1);
}

// Guards against losing the outcome of a call that ends after its deadline.
TEST_F(DispatcherTest, RecordsOutcomeOfACallThatEndsAfterItsDeadline) {
  worker_->service_time = 500ms;
  const call_end end =
      cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 100ms, "k1"));
  EXPECT_EQ(end.ending, ending::kOutcomeUnknown);
  EXPECT_EQ(end.handle, kKey);
  cell_.time.RunFor(5s);
  EXPECT_EQ(FindRecord()->outcome->body, "answer:a");
  const call_end again =
      cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  EXPECT_EQ(again.ending, ending::kDone);
  EXPECT_EQ(cell_.CountStarts("a"), 1);
}

// Guards against a second run by an entry that finds the intent of another,
// and against an outcome that only the worker knows.
TEST_F(DispatcherTest, QueriesTheWorkerOfACallOfAnotherEntry) {
  worker_->service_time = 100ms;
  cell_.Start(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  cell_.time.RunFor(20ms);
  // The first entry can't record the outcome; the second one can.
  cell_.control.is_down = true;
  cell_.time.RunFor(200ms);
  cell_.control.is_down = false;
  const auto other = cell_.MakeDispatcher("e2", "kalisz");
  cell_.GrantSlots(*other, 2);
  const call_end end = cell_.Run(*other, cell_.MakeCall("book", "a", 1s, "k1"));
  EXPECT_EQ(end.ending, ending::kDone);
  EXPECT_EQ(cell_.CountStarts("a"), 1);
}

// Guards against not_run for a call that ran before its worker restarted: the
// new incarnation refuses the resend.
TEST_F(DispatcherTest, OutcomeStaysUnknownWhenARestartedWorkerRefuses) {
  worker_->service_time = 400ms;
  const auto end =
      cell_.Start(*dispatcher_, cell_.MakeCall("book", "a", 1s, "k1"));
  cell_.time.RunFor(100ms);
  ASSERT_EQ(cell_.CountStarts("a"), 1);
  cell_.transport.Restart({"w1"});
  cell_.time.RunFor(1s);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->ending, ending::kOutcomeUnknown);
  EXPECT_EQ(cell_.CountStarts("a"), 1);
}

// Guards against a booking that is not retried after its worker refused it.
TEST_F(DispatcherTest, RetriesARefusedAtMostOnceCallOnAnotherWorker) {
  cell_.AddWorker("w2", "kalisz", 8);
  cell_.GrantSlots(*dispatcher_, 2);
  cell_.transport.workers.at({"w1"}).record.slots = 0;
  cell_.transport.workers.at({"w2"}).record.slots = 0;
  for (const char* name : {"w1", "w2"}) {
    cell_.transport.workers.at({name}).record.slots = 8;
    const std::string key = std::string("key-") + name;
    const call_end end =
        cell_.Run(*dispatcher_, cell_.MakeCall("book", key, 1s, key));
    EXPECT_EQ(end.ending, ending::kDone);
    EXPECT_EQ(cell_.CountStarts(key), 1);
    cell_.transport.workers.at({name}).record.slots = 0;
  }
}

// Guards against faults that are not counted, or not retried on another worker.
TEST_F(DispatcherTest, CountsFaultsAndRetriesOnAnotherWorker) {
  // About 7 retries, within the initial budget of 10 plus what calls earn.
  cell_.transport.rates.connect_refused = 0.25;
  int done = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    done +=
        cell_.Run(*dispatcher_, cell_.MakeCall("check", body, 300ms)).ending ==
        ending::kDone;
  }
  EXPECT_GT(CountFaults(fault_kind::kConnectRefused), 0u);
  EXPECT_EQ(done, 20);
}

// Guards against a slow worker that uses up the whole deadline.
TEST_F(DispatcherTest, HedgesASlowAttemptOnAnotherWorker) {
  cell_.AddWorker("w2", "kalisz", 8);
  cell_.GrantSlots(*dispatcher_, 4);
  for (int i = 0; i < 40; ++i) {
    cell_.Run(*dispatcher_, cell_.MakeCall("check", std::to_string(i), 300ms));
  }
  cell_.transport.workers.at({"w1"}).service_time = 10s;
  const core::time_point start = cell_.time.clock.Now();
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(
        cell_.Run(*dispatcher_, cell_.MakeCall("check", "x", 300ms)).ending,
        ending::kDone);
  }
  EXPECT_LT(cell_.time.clock.Now() - start, 4 * 100ms);
}

// Guards against calls beyond the granted slots, and against reporting a
// smaller grant set as in force while more calls are in flight.
TEST_F(DispatcherTest, StaysWithinGrantsAndTheirLease) {
  worker_->service_time = 50ms;
  for (int i = 0; i < 6; ++i) StartCheck(std::to_string(i));
  cell_.time.RunFor(10ms);
  EXPECT_EQ(worker_->running, 2);
  cell_.GrantSlots(*dispatcher_, 1, 200ms);
  const std::uint64_t before = dispatcher_->BuildReport().applied_sequence;
  cell_.time.RunFor(100ms);
  EXPECT_LE(worker_->running, 1);
  EXPECT_EQ(dispatcher_->BuildReport().applied_sequence, before + 1);
  cell_.time.RunFor(300ms);
  const auto late = StartCheck("late", 100ms);
  cell_.time.RunFor(200ms);
  EXPECT_EQ(cell_.CountStarts("late"), 0);
  EXPECT_TRUE(dispatcher_->BuildReport().held.empty());
}

// Guards against a grant set that arrives late and gets a full lease.
TEST_F(DispatcherTest, LeaseStartsWhenTheReportWasSent) {
  const control::slot_report report = dispatcher_->BuildReport();
  control::slot_grants grants;
  grants.term = 2;
  grants.sequence = 1;
  grants.report_number = report.number;
  grants.lease = 1000ms;
  grants.grants = {{{"w1"}, 1, 8}};
  cell_.time.RunFor(1500ms);
  dispatcher_->ApplyGrants(grants);
  const auto end = StartCheck("a", 100ms);
  cell_.time.RunFor(200ms);
  EXPECT_EQ(cell_.CountStarts("a"), 0);
}

core::awaitable<void> StoreNeeded(dispatcher& d, bool& needed) {
  co_await d.ReportNeeded().Wait();
  needed = true;
}

// Guards against a first call that waits for the next periodic report.
TEST_F(DispatcherTest, RequestsAReportWhenNoSlotIsGranted) {
  const auto d = cell_.MakeDispatcher("e2", "kalisz");
  bool needed = false;
  boost::asio::co_spawn(cell_.time.io, StoreNeeded(*d, needed),
                        boost::asio::detached);
  cell_.time.RunFor(1ms);
  const auto end = cell_.Start(*d, cell_.MakeCall("check", "a", 300ms));
  cell_.time.RunFor(1ms);
  EXPECT_TRUE(needed);
  cell_.GrantSlots(*d, 1);
  cell_.time.RunFor(50ms);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->ending, ending::kDone);
}

// Guards against billed cross-region traffic while the own region can answer,
// and against a refusal when only another region can.
TEST_F(DispatcherTest, UsesAnotherRegionOnlyIfTheOwnIsTooLate) {
  cell_.AddWorker("far", "olesno", 8);
  cell_.GrantSlots(*dispatcher_, 2);
  for (int i = 0; i < 10; ++i) StartCheck(std::to_string(i));
  cell_.time.RunFor(300ms);
  EXPECT_TRUE(cell_.transport.workers.at({"far"}).starts.empty());
  cell_.Apply(cell::worker_removed{{"w1"}, 1});
  EXPECT_EQ(cell_.Run(*dispatcher_, cell_.MakeCall("check", "x", 300ms)).ending,
            ending::kDone);
  EXPECT_GT(cell_.metrics
                .Counter("mangoplank_call_cross_region_bytes_total", "",
                         {{"direction", "out"}})
                .Value(),
            0u);
}

// Guards against queueing calls that can't be answered in time.
TEST_F(DispatcherTest, RefusesOverloadEarlyAsNotRun) {
  int refused_at_once = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto end = StartCheck(std::to_string(i), 100ms);
    cell_.time.RunFor(1ms);
    const bool refused = *end && (*end)->ending == ending::kNotRun;
    if (!refused) continue;
    ++refused_at_once;
    EXPECT_EQ((*end)->reason, end_reason::kOverloaded);
    EXPECT_TRUE((*end)->retry_after.has_value());
  }
  EXPECT_GT(refused_at_once, 1000);
}

// Guards against one department starving another.
TEST_F(DispatcherTest, ServesDepartmentsRoundRobin) {
  cell_.AddService("tally", "sheets");
  cell_.PlaceTasks(worker_->record);
  for (int i = 0; i < 100; ++i) StartCheck("k" + std::to_string(i), 5s);
  cell_.time.RunFor(1ms);
  std::vector<pending> tally;
  for (int i = 0; i < 10; ++i) {
    call c = cell_.MakeCall("check", "t" + std::to_string(i), 5s);
    c.department = {"tally"};
    c.service = "sheets";
    tally.push_back(cell_.Start(*dispatcher_, c));
  }
  cell_.time.RunFor(200ms);
  for (const auto& end : tally) EXPECT_TRUE(*end);
}

// Guards against an entry that sends calls while cut off, and against a drain
// that aborts calls in flight.
TEST_F(DispatcherTest, CutOffAndDrainRefuseNewCallsOnly) {
  worker_->service_time = 100ms;
  const auto in_flight = StartCheck("a");
  cell_.time.RunFor(5ms);
  dispatcher_->SetCutOff(true);
  EXPECT_EQ(cell_.Run(*dispatcher_, cell_.MakeCall("check", "b", 300ms)).reason,
            end_reason::kCutOff);
  dispatcher_->SetCutOff(false);
  bool drained = false;
  const core::time_point until = cell_.time.clock.Now() + 5s;
  boost::asio::co_spawn(cell_.time.io, dispatcher_->Drain(until),
                        [&](std::exception_ptr) { drained = true; });
  cell_.time.RunFor(1ms);
  EXPECT_FALSE(drained);
  EXPECT_EQ(cell_.Run(*dispatcher_, cell_.MakeCall("check", "c", 300ms)).reason,
            end_reason::kDraining);
  cell_.time.RunFor(300ms);
  EXPECT_TRUE(drained);
  EXPECT_EQ((*in_flight)->ending, ending::kDone);
}

core::awaitable<void> StoreResolved(
    dispatcher& d, core::time_point deadline,
    std::optional<core::outcome<call_end>>& found) {
  cell::call_key key = kKey;
  found = co_await d.Resolve(key, deadline);
}

// Guards against a handle that does not resolve at another entry.
TEST_F(DispatcherTest, ResolveFindsTheOutcomeOfAnotherEntrysCall) {
  const auto resolve = [&](dispatcher& d) {
    std::optional<core::outcome<call_end>> found;
    boost::asio::co_spawn(cell_.time.io,
                          StoreResolved(d, cell_.time.clock.Now() + 1s, found),
                          boost::asio::detached);
    cell_.time.RunFor(2s);
    return *found;
  };
  const auto other = cell_.MakeDispatcher("e2", "kalisz");
  EXPECT_FALSE(resolve(*other));
  worker_->service_time = 400ms;
  cell_.Run(*dispatcher_, cell_.MakeCall("book", "a", 100ms, "k1"));
  const auto found = resolve(*other);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->body, "answer:a");
}

}  // namespace
}  // namespace mangoplank::calls
