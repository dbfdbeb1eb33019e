#include "mangoplank/calls/slot_allocator.h"

#include <gtest/gtest.h>

#include <random>

namespace mangoplank::calls {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const cell::object_key kService{
    cell::object_kind::kService, {"kitchens"}, "planner"};

/// A cell whose service has one running replica on each of `n` workers.
cell::state Cell(int n) {
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

control::slot_report Demand(std::int64_t n) {
  control::slot_report r;
  r.demand = {{kService, n}};
  return r;
}

std::int64_t Sum(const control::slot_grants& g) {
  std::int64_t sum = 0;
  for (const auto& grant : g.grants) sum += grant.slots;
  return sum;
}

TEST(SlotAllocatorTest, SharesMoveWithDemand) {
  const cell::state s = Cell(1);
  slot_allocator a({});
  core::time_point now{};
  a.Reset(1, now);
  now += 10s;
  control::slot_report x = Demand(1), y = Demand(1);
  x.term = y.term = 1;
  const auto round = [&](const char* name, control::slot_report* r) {
    const auto g = a.Report({name}, {"olesno"}, *r, s, now);
    r->applied_sequence = g.sequence;
    return Sum(g);
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

// Guards against an entry without any slot because all workers stand in
// another region: it could not even answer a first call.
TEST(SlotAllocatorTest, EachEntryHasASlotAndOwnRegionComesFirst) {
  const cell::state s = Cell(4);
  slot_allocator a({});
  core::time_point now{};
  a.Reset(1, now);
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
      grants[name] = a.Report({name}, region, r, s, now);
      r.applied_sequence = grants[name].sequence;
    }
  }
  EXPECT_GE(Sum(grants["far"]), 1);
  for (const char* const name : {"k", "o"}) {
    std::int64_t near = 0;
    for (const auto& g : grants[name].grants) {
      if (s.FindWorker(g.worker)->location.region == regions.at(name)) {
        near += g.slots;
      }
    }
    EXPECT_GE(near, Sum(grants[name]) - 1) << name;
  }
}

/// An entry that keeps to the sets it hears of, and to leases.
struct fake_entry {
  struct kept_set {
    core::time_point end;
    control::slot_grants g;
  };
  std::vector<kept_set> sets;
  std::uint64_t number = 0;
  std::map<std::uint64_t, core::time_point> sent;

  std::int64_t Holds(const core::worker_id& w, core::time_point now) const {
    if (sets.empty() || sets.back().end <= now) return 0;
    for (const auto& g : sets.back().g.grants) {
      if (g.worker == w) return g.slots;
    }
    return 0;
  }
};

// Guards against a worker whose slots are granted twice: when answers are
// lost or late, when entries vanish, and when the leader changes.
TEST(SlotAllocatorTest, SlotsOfAWorkerAreNeverHeldTwice) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&](int n) { return static_cast<int>(random() % n); };
    const cell::state s = Cell(3);
    slot_allocator a({});
    core::time_point now{};
    core::term term = 1;
    a.Reset(term, now);
    std::map<core::member_id, fake_entry> entries;
    std::vector<std::pair<core::member_id, control::slot_grants>> on_the_way;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(pick(400));
      if (pick(100) == 0) a = slot_allocator({}), a.Reset(++term, now);
      const core::member_id id{"e" + std::to_string(pick(4))};
      fake_entry& e = entries[id];
      control::slot_report r = Demand(pick(20));
      r.number = ++e.number;
      e.sent[r.number] = now;
      if (!e.sets.empty() && e.sets.back().end > now) {
        r.term = e.sets.back().g.term;
        r.applied_sequence = e.sets.back().g.sequence;
        r.held = e.sets.back().g.grants;
      }
      const core::region_id region{pick(2) ? "kalisz" : "olesno"};
      on_the_way.emplace_back(id, a.Report(id, region, r, s, now));
      if (pick(3) == 0) continue;
      const std::size_t i = pick(on_the_way.size());
      const auto [to, grants] = on_the_way[i];
      on_the_way.erase(on_the_way.begin() + i);
      fake_entry& receiver = entries[to];
      const bool newer = receiver.sets.empty() ||
                         std::pair(grants.term, grants.sequence) >
                             std::pair(receiver.sets.back().g.term,
                                       receiver.sets.back().g.sequence);
      if (newer) {
        receiver.sets.push_back(
            {receiver.sent[grants.report_number] + grants.lease, grants});
      }
      for (const auto& [w, record] : s.Workers()) {
        std::int64_t held = 0;
        for (const auto& [name, entry] : entries) held += entry.Holds(w, now);
        ASSERT_LE(held, record.slots) << "seed " << seed << " step " << step;
      }
    }
  }
}

}  // namespace
}  // namespace mangoplank::calls
