#include "mangoplank/calls/slot_allocator.h"

#include <gtest/gtest.h>

#include <random>

namespace mangoplank::calls {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const cell::object_key kService{
    cell::object_kind::kService, {"kitchens"}, "planner"};

/// A cell whose service has one running replica on each of `n` workers.
cell::state MakeCell(int n) {
  cell::state s;
  const auto apply = [&](cell::command_body body) {
    return s.Apply(s.Revision() + 1, {0, {}, {}, std::move(body)});
  };
  apply(cell::put_object{{cell::object_kind::kDepartment, {}, "kitchens"},
                         cell::department_spec{}});
  cell::service_spec spec;
  spec.replicas = n;
  spec.need = {1000, 1, 0};
  const auto uid = apply(cell::put_object{kService, spec}).answer->object->uid;
  for (int i = 0; i < n; ++i) {
    const core::worker_id w{"w" + std::to_string(i)};
    const core::region_id region{i % 2 ? "kalisz" : "olesno"};
    apply(cell::register_worker{{.id = w,
                                 .incarnation = 1,
                                 .location = {region, {}, {}},
                                 .capacity = {4000, 10, 0}}});
    const cell::task_id id{uid, static_cast<std::uint32_t>(i)};
    apply(cell::place_tasks{{{{id, w, 1}}}});
    apply(cell::report_tasks{{{id, 1, cell::task_phase::kRunning, ""}}});
  }
  return s;
}

control::slot_report ReportDemand(std::int64_t n) {
  control::slot_report r;
  r.demand = {{kService, n}};
  return r;
}

std::int64_t SumSlots(const control::slot_grants& g) {
  std::int64_t sum = 0;
  for (const auto& grant : g.grants) sum += grant.slots;
  return sum;
}

TEST(SlotAllocatorTest, SharesFollowDemand) {
  const cell::state s = MakeCell(1);
  slot_allocator allocator({});
  core::time_point now{};
  allocator.Reset(1, now);
  now += 10s;
  control::slot_report x = ReportDemand(1), y = ReportDemand(1);
  x.term = y.term = 1;
  const auto round = [&](const char* name, control::slot_report* r) {
    const auto g = allocator.OnReport({name}, {"olesno"}, *r, s, now);
    r->applied_sequence = g.sequence;
    return SumSlots(g);
  };
  EXPECT_EQ(round("x", &x), 8);
  const auto settle = [&] {
    for (int i = 0; i < 3; ++i) {
      now += 250ms;
      round("x", &x);
      round("y", &y);
    }
  };
  settle();
  EXPECT_EQ(round("x", &x), 4);
  EXPECT_EQ(round("y", &y), 4);
  y.demand[0].wanted = 100;
  settle();
  EXPECT_EQ(round("x", &x), 1);
  EXPECT_EQ(round("y", &y), 7);
}

// Guards against an entry without any slot because all workers are in another
// region: it could not serve a first call.
TEST(SlotAllocatorTest, EachEntryHasASlotAndPrefersItsRegion) {
  const cell::state s = MakeCell(4);
  slot_allocator allocator({});
  core::time_point now{};
  allocator.Reset(1, now);
  now += 10s;
  std::map<std::string, control::slot_report> reports;
  std::map<std::string, control::slot_grants> grants;
  const std::map<std::string, core::region_id> regions = {
      {"far", {"sieradz"}}, {"k", {"kalisz"}}, {"o", {"olesno"}}};
  for (int i = 0; i < 4; ++i) {
    for (const auto& [name, region] : regions) {
      control::slot_report& r = reports[name];
      r.term = 1;
      r.demand = {{kService, name == "far" ? 0 : 30}};
      grants[name] = allocator.OnReport({name}, region, r, s, now);
      r.applied_sequence = grants[name].sequence;
    }
  }
  EXPECT_GE(SumSlots(grants["far"]), 1);
  for (const char* const name : {"k", "o"}) {
    std::int64_t same_region = 0;
    for (const auto& g : grants[name].grants) {
      if (s.FindWorker(g.worker)->location.region == regions.at(name)) {
        same_region += g.slots;
      }
    }
    EXPECT_GE(same_region, SumSlots(grants[name]) - 1) << name;
  }
}

/// An entry that uses only the newest grant set it received, and its lease.
struct fake_entry {
  struct grant_set {
    core::time_point lease_end;
    control::slot_grants grants;
  };
  std::vector<grant_set> sets;
  std::uint64_t number = 0;
  std::map<std::uint64_t, core::time_point> report_times;

  std::int64_t CountHeld(const core::worker_id& w, core::time_point now) const {
    if (sets.empty() || sets.back().lease_end <= now) return 0;
    for (const auto& g : sets.back().grants.grants) {
      if (g.worker == w) return g.slots;
    }
    return 0;
  }
};

// Guards against granting a slot to two entries when answers are lost or
// late, when entries disappear, and when the leader changes.
TEST(SlotAllocatorTest, NeverGrantsASlotToTwoEntries) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int n) { return static_cast<int>(random() % n); };
    const cell::state s = MakeCell(3);
    slot_allocator allocator({});
    core::time_point now{};
    core::term term = 1;
    allocator.Reset(term, now);
    std::map<core::member_id, fake_entry> entries;
    std::vector<std::pair<core::member_id, control::slot_grants>> in_transit;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(draw(400));
      if (draw(100) == 0)
        allocator = slot_allocator({}), allocator.Reset(++term, now);
      const core::member_id id{"e" + std::to_string(draw(4))};
      fake_entry& e = entries[id];
      control::slot_report r = ReportDemand(draw(20));
      r.number = ++e.number;
      e.report_times[r.number] = now;
      if (!e.sets.empty() && e.sets.back().lease_end > now) {
        r.term = e.sets.back().grants.term;
        r.applied_sequence = e.sets.back().grants.sequence;
        r.held = e.sets.back().grants.grants;
      }
      const core::region_id region{draw(2) ? "kalisz" : "olesno"};
      in_transit.emplace_back(id, allocator.OnReport(id, region, r, s, now));
      if (draw(3) == 0) continue;
      const std::size_t i = draw(in_transit.size());
      const auto [to, grants] = in_transit[i];
      in_transit.erase(in_transit.begin() + i);
      fake_entry& receiver = entries[to];
      const bool newer = receiver.sets.empty() ||
                         std::pair(grants.term, grants.sequence) >
                             std::pair(receiver.sets.back().grants.term,
                                       receiver.sets.back().grants.sequence);
      if (newer) {
        receiver.sets.push_back(
            {receiver.report_times[grants.report_number] + grants.lease,
             grants});
      }
      for (const auto& [w, record] : s.Workers()) {
        std::int64_t held = 0;
        for (const auto& [name, entry] : entries)
          held += entry.CountHeld(w, now);
        ASSERT_LE(held, record.slots) << "seed " << seed << " step " << step;
      }
    }
  }
}

}  // namespace
}  // namespace mangoplank::calls
