#include "mangoplank/cell/state.h"

#include <gtest/gtest.h>

#include <random>

namespace mangoplank::cell {
namespace {

const object_key kDepartmentKey{object_kind::kDepartment, {}, "kitchens"};
const object_key kJobKey{object_kind::kBatchJob, {"kitchens"}, "plan"};
const call_key kCallKey{{"kitchens"}, "planner", "k1"};

batch_job_spec Batch(std::int64_t tasks) {
  batch_job_spec s;
  s.tasks = tasks;
  s.need = {1000, 100, 0};
  return s;
}

worker_record Worker(const std::string& name, core::incarnation i) {
  return {.id = {name}, .incarnation = i, .capacity = {4000, 1000, 0}};
}

/// Applies commands to a state with one department.
class StateTest : public ::testing::Test {
 protected:
  StateTest() { Apply(put_object{kDepartmentKey, department_spec{}}); }

  effect Apply(command_body body, std::string request = {}) {
    return state_.Apply(state_.Revision() + 1,
                        {now_, {request}, {"kitchens"}, body});
  }
  core::revision PutJob(std::int64_t tasks) {
    return Apply(put_object{kJobKey, Batch(tasks)}).answer->object->uid;
  }
  void Place(task_id id, const worker_record& worker) {
    const auto result =
        Apply(place_tasks{{{{id, worker.id, worker.incarnation}}}});
    ASSERT_TRUE(result.answer->refused_groups.empty());
  }
  task_phase PhaseOf(task_id id) { return state_.FindTask(id)->phase; }

  state state_;
  core::wall_time_ms now_ = 1000;
};

// Guards against two conditional changes of one version that are both accepted.
TEST_F(StateTest, OnlyOneChangeOfAVersionIsAccepted) {
  const auto created = Apply(put_object{kJobKey, Batch(1)});
  const core::revision version = created.answer->object->version;
  batch_job_spec urgent = Batch(1);
  urgent.urgency = urgency::kUrgent;
  EXPECT_TRUE(Apply(put_object{kJobKey, urgent, version}).answer);
  urgent.urgency = urgency::kLow;
  const auto second = Apply(put_object{kJobKey, urgent, version});
  ASSERT_FALSE(second.answer);
  EXPECT_EQ(std::get<core::version_conflict>(second.answer.error()).current,
            state_.Find(kJobKey)->version);
}

// Guards against a resend after a lost answer that is applied twice.
TEST_F(StateTest, ResendGetsTheFirstAnswer) {
  const put_object create{kJobKey, Batch(1), std::nullopt, true};
  const auto first = Apply(create, "r1");
  const auto resent = Apply(create, "r1");
  ASSERT_TRUE(resent.answer);
  EXPECT_EQ(*resent.answer, *first.answer);
  EXPECT_TRUE(resent.changes.empty());
  EXPECT_FALSE(Apply(put_object{kJobKey, Batch(2)}, "r1").answer);
}

TEST_F(StateTest, DryRunChangesNothing) {
  const auto result =
      state_.DryRun({now_, {}, {}, put_object{kJobKey, Batch(1)}});
  EXPECT_TRUE(result.answer);
  EXPECT_EQ(state_.Find(kJobKey), nullptr);
}

// Guards against placements that were decided on an older state.
TEST_F(StateTest, RefusesGroupsThatDoNotFitAsAWhole) {
  Apply(register_worker{Worker("w", 1)});
  const core::revision job = PutJob(6);
  std::vector<task_placement> five, one;
  for (std::uint32_t i = 0; i < 5; ++i) five.push_back({{job, i}, {"w"}, 1});
  one.push_back({{job, 5}, {"w"}, 1});
  const auto result = Apply(place_tasks{{five, one}});
  EXPECT_EQ(result.answer->refused_groups, std::vector<std::uint32_t>{0});
  EXPECT_EQ(state_.Committed({"w"}), (core::resources{1000, 100, 0}));
}

// Guards against placement on a worker that drains or has been restarted.
TEST_F(StateTest, RefusesPlacementOnDrainingOrOtherIncarnation) {
  Apply(register_worker{Worker("w", 2)});
  const core::revision job = PutJob(1);
  EXPECT_EQ(Apply(place_tasks{{{{{job, 0}, {"w"}, 1}}}})
                .answer->refused_groups.size(),
            1u);
  Apply(put_object{{object_kind::kWorker, {}, "w"}, worker_spec{true}});
  EXPECT_EQ(Apply(place_tasks{{{{{job, 0}, {"w"}, 2}}}})
                .answer->refused_groups.size(),
            1u);
}

// Guards against a cancelled task that ends as not run although it started.
TEST_F(StateTest, CancelledTasksEndAsTheWorkerReports) {
  const worker_record worker = Worker("w", 1);
  Apply(register_worker{worker});
  const core::revision job = PutJob(3);
  Place({job, 1}, worker);
  Place({job, 2}, worker);
  Apply(cancel_job{kJobKey});
  EXPECT_EQ(PhaseOf({job, 0}), task_phase::kNotRun);
  EXPECT_TRUE(state_.FindTask({job, 1})->stopping);
  Apply(report_tasks{{{{job, 1}, 1, task_phase::kNotRun, ""},
                      {{job, 2}, 1, task_phase::kStopped, ""}}});
  EXPECT_EQ(PhaseOf({job, 1}), task_phase::kNotRun);
  EXPECT_EQ(PhaseOf({job, 2}), task_phase::kStopped);
  EXPECT_EQ(state_.Committed({"w"}), core::resources{});
}

// Guards against a second run of work that must run at most once.
TEST_F(StateTest, LostNonIdempotentTaskIsUnknownAndNotRunAgain) {
  const worker_record worker = Worker("w", 1);
  Apply(register_worker{worker});
  batch_job_spec once = Batch(1);
  once.idempotent = false;
  const auto job = Apply(put_object{kJobKey, once}).answer->object->uid;
  Place({job, 0}, worker);
  Apply(remove_worker{{"w"}, 1});
  EXPECT_EQ(PhaseOf({job, 0}), task_phase::kUnknown);
}

// Guards against a late report of an earlier attempt that ends a later one.
TEST_F(StateTest, ReportsOfEarlierAttemptsAreIgnored) {
  const worker_record worker = Worker("w", 1);
  Apply(register_worker{worker});
  const core::revision job = PutJob(1);
  Place({job, 0}, worker);
  Apply(remove_worker{{"w"}, 1});
  const worker_record again = Worker("w", 2);
  Apply(register_worker{again});
  Place({job, 0}, again);
  Apply(report_tasks{{{{job, 0}, 1, task_phase::kSucceeded, ""}}});
  EXPECT_EQ(PhaseOf({job, 0}), task_phase::kAssigned);
  EXPECT_FALSE(Apply(register_worker{Worker("w", 1)}).answer);
}

// Guards against a gang that continues with only some of its tasks.
TEST_F(StateTest, LosingOneTaskOfAGangStopsTheOthers) {
  const worker_record a = Worker("a", 1), b = Worker("b", 1);
  Apply(register_worker{a});
  Apply(register_worker{b});
  gang_job_spec gang;
  gang.tasks = 2;
  gang.need = {1000, 100, 0};
  const object_key key{object_kind::kGangJob, {"kitchens"}, "g"};
  const auto job = Apply(put_object{key, gang}).answer->object->uid;
  Apply(place_tasks{{{{{job, 0}, {"a"}, 1}, {{job, 1}, {"b"}, 1}}}});
  Apply(remove_worker{{"a"}, 1});
  EXPECT_EQ(PhaseOf({job, 0}), task_phase::kWaiting);
  EXPECT_TRUE(state_.FindTask({job, 1})->evicting);
}

// Guards against a call that runs twice, and against an outcome that changes
// after a caller has received it.
TEST_F(StateTest, FirstIntentAndFirstFinalOutcomeAreKept) {
  const auto first = Apply(record_intent{kCallKey, "book", "d1", {"e1"}, 1});
  const auto second = Apply(record_intent{kCallKey, "book", "d1", {"e2"}, 1});
  EXPECT_EQ(second.answer->call, first.answer->call);
  const core::revision id = first.answer->call->id;
  Apply(record_outcome{kCallKey, id, {ending::kOutcomeUnknown, ""}});
  Apply(record_outcome{kCallKey, id, {ending::kDone, "ok"}});
  const auto late = Apply(record_outcome{kCallKey, id, {ending::kFailed, "x"}});
  EXPECT_EQ(late.answer->call->outcome, (call_outcome{ending::kDone, "ok"}));
}

// Guards against a call that stays open for ever after its worker is lost.
TEST_F(StateTest, CallOfALostWorkerIsUnknown) {
  Apply(register_worker{Worker("w", 1)});
  Apply(record_intent{kCallKey, "book", "d1", {"e1"}, 1, {"w"}, 1});
  Apply(remove_worker{{"w"}, 1});
  EXPECT_EQ(state_.FindCall(kCallKey)->outcome->ending,
            ending::kOutcomeUnknown);
  Apply(compact_records{now_ + 1});
  EXPECT_EQ(state_.FindCall(kCallKey), nullptr);
}

// Guards against a call that runs although not_run was reported: a request that
// was delayed in a paused entry arrives after the refusal (soak run, seed 11).
TEST_F(StateTest, RefusedKeyNeverRuns) {
  record_intent refusal{kCallKey, "book", "d1", {"e1"}, 1};
  refusal.refused = true;
  EXPECT_EQ(Apply(refusal).answer->call->outcome->ending, ending::kNotRun);
  const auto late = Apply(record_intent{kCallKey, "book", "d1", {"e2"}, 1});
  EXPECT_EQ(late.answer->call->outcome->ending, ending::kNotRun);
  const auto compact = [&] {
    Apply(compact_records{now_ - 3'600'000, now_ - 3'600'000});
  };
  now_ += 9 * 60'000;
  compact();
  EXPECT_NE(state_.FindCall(kCallKey), nullptr);
  now_ += 2 * 60'000;
  compact();
  EXPECT_EQ(state_.FindCall(kCallKey), nullptr);
}

// Guards against a second start by another entry: only the first one knows that
// the first worker refused the call.
TEST_F(StateTest, OnlyTheRecordingEntryReplacesACallWithoutOutcome) {
  const auto first = Apply(record_intent{kCallKey, "book", "d1", {"e1"}, 1});
  record_intent next{kCallKey, "book", "d1", {"e2"}, 1};
  next.replaces = first.answer->call->id;
  EXPECT_EQ(Apply(next).answer->call->id, first.answer->call->id);
  next.entry = {"e1"};
  const auto moved = Apply(next);
  EXPECT_NE(moved.answer->call->id, first.answer->call->id);
  EXPECT_EQ(Apply(next).answer->call->id, moved.answer->call->id);
  Apply(
      record_outcome{kCallKey, moved.answer->call->id, {ending::kNotRun, ""}});
  next.replaces = moved.answer->call->id;
  EXPECT_EQ(Apply(next).answer->call->id, moved.answer->call->id);
}

// Guards against objects whose department is missing or is its own ancestor.
TEST_F(StateTest, RefusesDepartmentCyclesAndUnknownDepartments) {
  department_spec child;
  child.parent = {"kitchens"};
  Apply(put_object{{object_kind::kDepartment, {}, "child"}, child});
  department_spec cycle;
  cycle.parent = {"child"};
  EXPECT_FALSE(Apply(put_object{kDepartmentKey, cycle}).answer);
  EXPECT_FALSE(
      Apply(put_object{{object_kind::kBatchJob, {"none"}, "j"}, Batch(1)})
          .answer);
  EXPECT_FALSE(Apply(delete_object{kDepartmentKey}).answer);
}

TEST(ValidateTest, ReportsEachInvalidField) {
  batch_job_spec s;
  s.tasks = -1;
  s.need = {-5, 0, 0};
  const auto errors =
      Validate({object_kind::kBatchJob, {"Kitchens!"}, "../x"}, s);
  std::vector<std::string> fields;
  for (const auto& e : errors) fields.push_back(e.field);
  EXPECT_EQ(fields,
            (std::vector<std::string>{"name", "department", "spec.tasks",
                                      "spec.need.cpu_milli", "spec.need"}));
}

// Guards against accounting that differs from the tasks after any order of
// placements, reports, lost workers and cancellations.
TEST(StateHistoryTest, CommittedMatchesTasksAndNeverExceedsCapacity) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&](int n) { return static_cast<int>(random() % n); };
    state s;
    const auto apply = [&](command_body body) {
      s.Apply(s.Revision() + 1, {1000, {}, {}, body});
    };
    apply(put_object{kDepartmentKey, department_spec{}});
    for (int step = 0; step < 150; ++step) {
      const object_key key{
          object_kind::kBatchJob, {"kitchens"}, "j" + std::to_string(pick(4))};
      const worker_record worker =
          Worker("w" + std::to_string(pick(3)), pick(4));
      std::vector<task_id> ids;
      for (const auto& [id, t] : s.Tasks()) ids.push_back(id);
      const task_id id = ids.empty() ? task_id{} : ids[pick(ids.size())];
      switch (pick(8)) {
        case 0:
          apply(put_object{key, Batch(1 + pick(5))});
          break;
        case 1:
          apply(register_worker{worker});
          break;
        case 2:
          apply(remove_worker{worker.id, worker.incarnation});
          break;
        case 3:
          apply(pick(2) ? command_body(cancel_job{key})
                        : command_body(delete_object{key}));
          break;
        case 4:
          apply(report_tasks{{{id, static_cast<std::uint32_t>(pick(3)),
                               static_cast<task_phase>(pick(8)), ""}}});
          break;
        case 5:
          apply(evict_tasks{{id}});
          break;
        default:
          apply(place_tasks{{{{id, worker.id, worker.incarnation}}}});
      }
      for (const auto& [name, worker] : s.Workers()) {
        core::resources sum;
        for (const auto& [tid, t] : s.Tasks()) {
          if (HoldsResources(t.phase) && t.worker == name) sum = sum + t.need;
        }
        ASSERT_EQ(sum, s.Committed(name)) << "seed " << seed;
        ASSERT_TRUE(worker.capacity.Holds(sum)) << "seed " << seed;
      }
    }
    const state copy = state::FromImage(s.Image());
    EXPECT_EQ(copy.Tasks(), s.Tasks()) << "seed " << seed;
    for (const auto& [name, worker] : s.Workers()) {
      EXPECT_EQ(copy.Committed(name), s.Committed(name)) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace mangoplank::cell
