#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

constexpr milliseconds kRestartTime{700};
/// Starts of a task that may follow three crashes of workers under it.
constexpr std::size_t kMaxStarts = 5;

/// Workers that crash when they start a task of the job "deadly", and return
/// under the same id in a new incarnation.
class CrashTest : public DispatcherTest {
 protected:
  CrashTest() {
    workers_.on_start = [this](const worker_target& to,
                               const start_order& order) -> order_result {
      if (order.run.task.job == "deadly") {
        Crash(to.key);
        return no_answer{};
      }
      workers_.states[to.key.id].running[order.run] = "";
      return order_done{workers_.ClockMs()};
    };
  }

  void Crash(const workflow::worker_key& key) {
    ++crashes_;
    workers_.states[key.id] = {};
    workers_.silent.insert(key.id);
    restarts_[clock_.Now() + kRestartTime] = {key.id, key.incarnation + 1};
  }
  /// Runs the cell; workers that have crashed return, and all send heartbeats.
  void RunCell(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      while (!restarts_.empty() && restarts_.begin()->first <= clock_.Now()) {
        const workflow::worker_key key = restarts_.begin()->second;
        restarts_.erase(restarts_.begin());
        workers_.silent.erase(key.id);
        AddWorker(key.id.v, key.incarnation);
      }
      for (const auto& [id, worker] : event_log_.state.Workers()) {
        if (workers_.silent.contains(id)) continue;
        dispatcher_->OnHeartbeat(worker.key, workers_.ClockMs());
      }
      RunFor(milliseconds(100));
    }
  }

  std::size_t crashes_ = 0;
  std::map<core::time_point, workflow::worker_key> restarts_;
};

// Guards against a task that crashes every worker which starts it and goes on
// from worker to worker without an end.
TEST_F(CrashTest, ATaskThatCrashesItsWorkersIsGivenUp) {
  for (const char* id : {"w1", "w2", "w3", "w4"}) AddWorker(id);
  BeginTerm();
  Submit("deadly", {Step(1, 1'000)}, queue_);
  RunCell(seconds(30));
  EXPECT_LE(CountStarts("deadly"), kMaxStarts);
  EXPECT_GE(crashes_, 2u);
  EXPECT_EQ(Phase("deadly"), workflow::job_phase::kFailed);
}

}  // namespace
}  // namespace mangoplank::dispatch
