#include "mangoplank/membership/lease_table.h"

#include <gtest/gtest.h>

namespace mangoplank::membership {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using cell::task_phase;

class LeaseTableTest : public ::testing::Test {
 protected:
  LeaseTableTest() {
    Apply(cell::put_object{{cell::object_kind::kDepartment, {}, "tally"},
                           cell::department_spec{}});
    Apply(cell::register_worker{Worker(1)});
    cell::batch_job_spec spec;
    spec.need = {1000, 1, 0};
    spec.program = "reduce";
    job_ = Apply(cell::put_object{
                     {cell::object_kind::kBatchJob, {"tally"}, "j"}, spec})
               .answer->object->uid;
    Apply(cell::place_tasks{{{{{job_, 0}, {"w"}, 1}}}});
  }
  static cell::worker_record Worker(core::incarnation incarnation) {
    return {.id = {"w"},
            .incarnation = incarnation,
            .address = {"127.0.0.1", 1},
            .capacity = {4000, 10, 0}};
  }
  cell::effect Apply(cell::command_body body) {
    return state_.Apply(state_.Revision() + 1, {0, {}, {}, std::move(body)});
  }
  control::announcement Announcement(std::optional<task_phase> phase,
                                     core::resources used = {}) const {
    control::announcement announcement{.worker = Worker(1)};
    if (phase) announcement.tasks = {{{job_, 0}, 1, *phase, used, ""}};
    return announcement;
  }

  cell::state state_;
  core::revision job_ = 0;
  lease_table leases_{{}};
  core::time_point now_{};
};

// Guards against a second start while the old worker may still run the task.
TEST_F(LeaseTableTest, LeaseEndsOnlyAfterDriftAndMargin) {
  leases_.Reset(state_, now_);
  EXPECT_TRUE(leases_.FindExpired(state_, now_ + 11'499ms).empty());
  EXPECT_EQ(leases_.FindExpired(state_, now_ + 11'500ms),
            (std::vector<cell::remove_worker>{{{"w"}, 1}}));
  leases_.Renew(Announcement({}), now_ + 11s);
  EXPECT_TRUE(leases_.FindExpired(state_, now_ + 22s).empty());
}

// Guards against two workers with the same name that both run its tasks.
TEST_F(LeaseTableTest, NameIsReservedUntilTheLeaseEnds) {
  leases_.Reset(state_, now_);
  control::announcement other = Announcement({});
  other.worker.incarnation = 2;
  other.worker.address.port = 2;
  EXPECT_TRUE(
      std::holds_alternative<name_in_use>(leases_.Admit(state_, other, now_)));
  EXPECT_TRUE(std::holds_alternative<needs_registration>(
      leases_.Admit(state_, other, now_ + 12s)));
  control::announcement restarted = Announcement({});
  restarted.worker.incarnation = 2;
  EXPECT_TRUE(std::holds_alternative<needs_registration>(
      leases_.Admit(state_, restarted, now_)));
  restarted.worker.incarnation = 0;
  EXPECT_TRUE(std::holds_alternative<superseded>(
      leases_.Admit(state_, restarted, now_)));
}

// Guards against a dead worker that gets tasks: a process that was paused
// passes its announcement on after it was removed with its lease. A task that
// may not be run twice would end as unknown without having run.
TEST_F(LeaseTableTest, ALateAnnouncementDoesNotBringARemovedWorkerBack) {
  leases_.Reset(state_, now_);
  const auto expired = leases_.FindExpired(state_, now_ + 12s);
  ASSERT_EQ(expired.size(), 1u);
  Apply(expired[0]);
  EXPECT_FALSE(std::holds_alternative<needs_registration>(
      leases_.Admit(state_, Announcement({}), now_ + 12s)));
  control::announcement restarted = Announcement({});
  restarted.worker.incarnation = 2;
  EXPECT_TRUE(std::holds_alternative<needs_registration>(
      leases_.Admit(state_, restarted, now_ + 12s)));
}

TEST_F(LeaseTableTest, StartOrderIsRepeatedUntilTheWorkerKnowsTheTask) {
  const auto orders = OrdersFor(state_, Announcement({}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::start_order>(orders[0]).program, "reduce");
  EXPECT_TRUE(OrdersFor(state_, Announcement(task_phase::kRunning, {900, 1, 0}))
                  .empty());
}

// Guards against a stop order for a task that runs: an announcement from before
// its start arrives late, through another entry, and does not list the task.
TEST_F(LeaseTableTest, AnAnnouncementThatWasOvertakenGetsNoOrders) {
  leases_.Reset(state_, now_);
  control::announcement newest = Announcement(task_phase::kRunning);
  newest.sequence = 2;
  leases_.Renew(newest, now_);
  control::announcement late = Announcement({});
  late.sequence = 1;
  EXPECT_FALSE(
      std::holds_alternative<admitted>(leases_.Admit(state_, late, now_)));
  EXPECT_EQ(leases_.Admit(state_, newest, now_), admission(admitted{}));
}

TEST_F(LeaseTableTest, OveruseIsThrottledToTheDeclaredNeed) {
  const auto orders =
      OrdersFor(state_, Announcement(task_phase::kRunning, {1100, 1, 0}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::throttle_order>(orders[0]).limit,
            (core::resources{1000, 1, 0}));
}

// Guards against the start of a task that was cancelled before the worker knew
// it: a stop order is sent instead, and the worker reports not_run.
TEST_F(LeaseTableTest, CancelledTaskIsStoppedNotStarted) {
  Apply(cell::cancel_job{{cell::object_kind::kBatchJob, {"tally"}, "j"}});
  const auto orders = OrdersFor(state_, Announcement({}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<control::stop_order>(orders[0]));
  EXPECT_EQ(NewReports(state_, Announcement(task_phase::kNotRun)).size(), 1u);
}

// Guards against a task that keeps running on a worker that no longer holds it.
TEST_F(LeaseTableTest, UnexpectedTasksAreStopped) {
  control::announcement announcement = Announcement(task_phase::kRunning);
  announcement.tasks.push_back({{job_, 7}, 3, task_phase::kRunning, {}, ""});
  const auto orders = OrdersFor(state_, announcement);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::stop_order>(orders[0]).id,
            (cell::task_id{job_, 7}));
}

TEST_F(LeaseTableTest, ReportsOnlyChangesOfTheRegisteredIncarnation) {
  EXPECT_EQ(NewReports(state_, Announcement(task_phase::kRunning)).size(), 1u);
  Apply(cell::report_tasks{{{{job_, 0}, 1, task_phase::kRunning, ""}}});
  EXPECT_TRUE(NewReports(state_, Announcement(task_phase::kRunning)).empty());
  control::announcement other = Announcement(task_phase::kFailed);
  other.worker.incarnation = 2;
  EXPECT_TRUE(NewReports(state_, other).empty());
}

}  // namespace
}  // namespace mangoplank::membership
