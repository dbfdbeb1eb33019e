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
  static cell::worker_record Worker(core::incarnation i) {
    return {.id = {"w"},
            .incarnation = i,
            .address = {"127.0.0.1", 1},
            .capacity = {4000, 10, 0}};
  }
  cell::effect Apply(cell::command_body body) {
    return s_.Apply(s_.Revision() + 1, {0, {}, {}, std::move(body)});
  }
  control::announcement Says(std::optional<task_phase> phase,
                             core::resources used = {}) const {
    control::announcement a{.worker = Worker(1)};
    if (phase) a.tasks = {{{job_, 0}, 1, *phase, used, ""}};
    return a;
  }

  cell::state s_;
  core::revision job_ = 0;
  lease_table t_{{}};
  core::time_point now_{};
};

// Guards against a second start while the old worker may still run the task.
TEST_F(LeaseTableTest, LeaseEndsOnlyAfterDriftAndMargin) {
  t_.Reset(s_, now_);
  EXPECT_TRUE(t_.Expired(s_, now_ + 11'499ms).empty());
  EXPECT_EQ(t_.Expired(s_, now_ + 11'500ms),
            (std::vector<cell::remove_worker>{{{"w"}, 1}}));
  t_.Renew(Says({}), now_ + 11s);
  EXPECT_TRUE(t_.Expired(s_, now_ + 22s).empty());
}

// Guards against two workers under one name that both hold its tasks.
TEST_F(LeaseTableTest, NameIsHeldUntilTheLeaseEnds) {
  t_.Reset(s_, now_);
  control::announcement other = Says({});
  other.worker.incarnation = 2;
  other.worker.address.port = 2;
  EXPECT_TRUE(std::holds_alternative<name_in_use>(t_.Admit(s_, other, now_)));
  EXPECT_TRUE(std::holds_alternative<needs_registration>(
      t_.Admit(s_, other, now_ + 12s)));
  control::announcement restarted = Says({});
  restarted.worker.incarnation = 2;
  EXPECT_TRUE(std::holds_alternative<needs_registration>(
      t_.Admit(s_, restarted, now_)));
  restarted.worker.incarnation = 0;
  EXPECT_TRUE(
      std::holds_alternative<superseded>(t_.Admit(s_, restarted, now_)));
}

TEST_F(LeaseTableTest, StartIsOrderedUntilTheWorkerKnowsTheTask) {
  const auto orders = OrdersFor(s_, Says({}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::start_order>(orders[0]).program, "reduce");
  EXPECT_TRUE(OrdersFor(s_, Says(task_phase::kRunning, {900, 1, 0})).empty());
}

TEST_F(LeaseTableTest, OverUseIsThrottledToTheDeclaredNeed) {
  const auto orders = OrdersFor(s_, Says(task_phase::kRunning, {1100, 1, 0}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::throttle_order>(orders[0]).limit,
            (core::resources{1000, 1, 0}));
}

// Guards against a start of a task that was cancelled before the worker heard
// of it: the stop goes out instead, and the worker answers not_run.
TEST_F(LeaseTableTest, CancelledTaskIsStoppedNotStarted) {
  Apply(cell::cancel_job{{cell::object_kind::kBatchJob, {"tally"}, "j"}});
  const auto orders = OrdersFor(s_, Says({}));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<control::stop_order>(orders[0]));
  EXPECT_EQ(NewReports(s_, Says(task_phase::kNotRun)).size(), 1u);
}

// Guards against a task that goes on at a worker it was taken from.
TEST_F(LeaseTableTest, UnexpectedTasksAreStopped) {
  control::announcement a = Says(task_phase::kRunning);
  a.tasks.push_back({{job_, 7}, 3, task_phase::kRunning, {}, ""});
  const auto orders = OrdersFor(s_, a);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<control::stop_order>(orders[0]).id,
            (cell::task_id{job_, 7}));
}

TEST_F(LeaseTableTest, ReportsOnlyWhatIsNewAndOfThisIncarnation) {
  EXPECT_EQ(NewReports(s_, Says(task_phase::kRunning)).size(), 1u);
  Apply(cell::report_tasks{{{{job_, 0}, 1, task_phase::kRunning, ""}}});
  EXPECT_TRUE(NewReports(s_, Says(task_phase::kRunning)).empty());
  control::announcement other = Says(task_phase::kFailed);
  other.worker.incarnation = 2;
  EXPECT_TRUE(NewReports(s_, other).empty());
}

}  // namespace
}  // namespace mangoplank::membership
