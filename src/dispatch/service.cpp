#include "mangoplank/dispatch/service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "mangoplank/wire/codec.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;
using core::overloaded;
using workflow::answer_body;

namespace {

constexpr core::milliseconds kMemberInterval{250};
/// Bounds what one job can take of the log and of a round.
constexpr std::size_t kMaxTasks = 10'000;
constexpr std::size_t kMaxSteps = 100;

core::failure NoQueue(const workflow::job_address& to) {
  return core::not_found{to.host + to.path};
}

core::failure Invalid(std::string field, std::string reason) {
  return core::invalid_request{{{std::move(field), std::move(reason)}}};
}

/// @return why the job can't be accepted, if so.
std::optional<core::failure> Check(const workflow::job_spec& spec) {
  if (spec.id.empty() || spec.id.find('/') != std::string::npos) {
    return Invalid("id", "must be one path segment");
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return Invalid("steps", "must be 1 to 100");
  }
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const workflow::step& s = spec.steps[i];
    const std::string at = "steps." + std::to_string(i);
    if (s.count == 0) return Invalid(at + ".count", "must be at least 1");
    tasks += s.count;
    if (s.need.cpu_milli < 0 || s.need.memory_mib < 0 ||
        s.need.accelerators < 0) {
      return Invalid(at + ".need", "must not be negative");
    }
    for (const std::uint32_t d : s.depends_on) {
      if (d >= i) return Invalid(at + ".depends_on", "must be earlier steps");
    }
  }
  const std::size_t times = spec.repeat_count == 0 ? 1 : spec.repeat_count;
  if (tasks * times > kMaxTasks) {
    return Invalid("steps", "must have at most 10,000 tasks in all");
  }
  return std::nullopt;
}

}  // namespace

struct service::impl : std::enable_shared_from_this<service::impl> {
  impl(service_settings s, asio::any_io_executor e, core::clock& c,
       workflow::machine& m, consensus::node& n, worker_port& w,
       eligibility_port& p, metrics::registry& r, service& o)
      : settings(s),
        executor(std::move(e)),
        clock(c),
        machine(m),
        node(n),
        workers(w),
        eligibility(p),
        registry(r),
        owner(o),
        moved(executor, c) {}

  awaitable<answer_body> Answer(workflow::submit_job r);
  awaitable<answer_body> Answer(workflow::get_job r);
  awaitable<answer_body> Answer(workflow::cancel_job r);
  awaitable<answer_body> Answer(workflow::announce_worker r);
  awaitable<answer_body> Answer(workflow::remove_worker r);
  awaitable<answer_body> Answer(workflow::declare_catalog r);
  awaitable<answer_body> Answer(workflow::read_catalog r);
  awaitable<answer_body> Answer(workflow::join_members r);
  awaitable<outcome<void>> Record(std::vector<workflow::event> events);
  awaitable<answer_body> RecordOne(workflow::event e);
  awaitable<void> MemberLoop();
  awaitable<void> KeepMembers();
  bool Leads() const { return current != nullptr; }
  const workflow::job* Find(const workflow::queue& q,
                            const workflow::job_address& to) const;

  const service_settings settings;
  const asio::any_io_executor executor;
  core::clock& clock;
  workflow::machine& machine;
  consensus::node& node;
  worker_port& workers;
  eligibility_port& eligibility;
  metrics::registry& registry;
  service& owner;
  bool stopped = false;
  /// Set while this process leads.
  std::unique_ptr<dispatcher> current;
  core::event moved;
  /// Members that asked to join, not yet admitted.
  std::map<core::member_id, core::endpoint> joining;
};

awaitable<outcome<void>> service::impl::Record(
    std::vector<workflow::event> events) {
  const auto at = co_await node.Propose(wire::Encode(events));
  if (!at) co_return at.error();
  co_return outcome<void>();
}

awaitable<answer_body> service::impl::RecordOne(workflow::event e) {
  std::vector<workflow::event> events;
  events.push_back(std::move(e));
  const auto recorded = co_await Record(std::move(events));
  if (!recorded) co_return recorded.error();
  co_return workflow::accepted{};
}

/// @return the job that the address names in this queue, or null.
const workflow::job* service::impl::Find(
    const workflow::queue& q, const workflow::job_address& to) const {
  const workflow::job* const j =
      machine.State().FindJob(to.path.substr(q.path_prefix.size()));
  return j != nullptr && j->q.name == q.name ? j : nullptr;
}

awaitable<answer_body> service::impl::Answer(workflow::submit_job r) {
  const workflow::state& s = machine.State();
  if (s.Catalog().version == 0) {
    co_return core::failure(core::unavailable{"no catalog is declared yet"});
  }
  const workflow::queue* const q = s.Route(r.to.host, r.to.path);
  if (q == nullptr) co_return NoQueue(r.to);
  r.spec.id = r.to.path.substr(q->path_prefix.size());
  if (auto invalid = Check(r.spec)) co_return std::move(*invalid);
  if (s.FindJob(r.spec.id) != nullptr) co_return workflow::accepted{};
  const std::string id = r.spec.id;
  if (current) current->Prepare(r.spec, *q);
  workflow::event e =
      workflow::job_accepted{std::move(r.spec), *q, clock.WallNow()};
  auto answer = co_await RecordOne(std::move(e));
  if (current && s.FindJob(id) == nullptr) current->Abandon(id);
  spdlog::info("job_submitted job={} recorded={}", id,
               std::holds_alternative<workflow::accepted>(answer));
  co_return answer;
}

awaitable<answer_body> service::impl::Answer(workflow::get_job r) {
  if (machine.State().Catalog().version == 0) {
    co_return core::failure(core::unavailable{"no catalog is declared yet"});
  }
  const workflow::queue* const q = machine.State().Route(r.to.host, r.to.path);
  if (q == nullptr) co_return NoQueue(r.to);
  if (r.to.path == q->path_prefix) {
    co_return workflow::queue_view{machine.State().CountQueued(q->name)};
  }
  const workflow::job* const j = Find(*q, r.to);
  if (j == nullptr) co_return workflow::no_such_job{};
  co_return workflow::job_view{j->phase};
}

awaitable<answer_body> service::impl::Answer(workflow::cancel_job r) {
  const workflow::queue* const q = machine.State().Route(r.to.host, r.to.path);
  if (q == nullptr) co_return NoQueue(r.to);
  const workflow::job* const j = Find(*q, r.to);
  if (j == nullptr) co_return workflow::no_such_job{};
  if (IsFinal(j->phase)) co_return workflow::accepted{};
  const std::string id = j->spec.id;
  workflow::event e = workflow::job_cancelled{id};
  auto answer = co_await RecordOne(std::move(e));
  spdlog::info("job_cancelled job={} recorded={}", id,
               std::holds_alternative<workflow::accepted>(answer));
  co_return answer;
}

awaitable<answer_body> service::impl::Answer(workflow::announce_worker r) {
  const auto& known = machine.State().Workers();
  const auto it = known.find(r.w.key.id);
  const workflow::worker_key key = r.w.key;
  const std::int64_t clock_ms = r.clock_ms;
  if (it != known.end() && it->second.key.born > key.born) {
    co_return workflow::accepted{};
  }
  // A report that was held up does not end a drain.
  const bool is_late =
      it != known.end() && it->second.key == key && it->second.draining;
  if (is_late) r.w.draining = true;
  if (it == known.end() || it->second != r.w) {
    spdlog::info("worker_announced worker={} born={} draining={}", key.id.v,
                 key.born, r.w.draining);
    workflow::event e = workflow::worker_announced{std::move(r.w)};
    const auto answer = co_await RecordOne(std::move(e));
    if (!std::holds_alternative<workflow::accepted>(answer)) co_return answer;
  }
  if (current) current->OnHeard(key, clock_ms);
  co_return workflow::accepted{};
}

awaitable<answer_body> service::impl::Answer(workflow::remove_worker r) {
  const auto& known = machine.State().Workers();
  const auto it = known.find(r.id);
  if (it == known.end()) co_return workflow::accepted{};
  // Workers drain before they leave; a farewell that names no life and finds
  // another state is a late one of an earlier life.
  const workflow::worker& w = it->second;
  const bool is_other = r.born == 0 ? !w.draining : r.born != w.key.born;
  if (is_other) {
    spdlog::info("farewell_ignored worker={} draining={}", r.id.v, w.draining);
    co_return workflow::accepted{};
  }
  spdlog::info("worker_left worker={}", r.id.v);
  workflow::event e = workflow::worker_removed{it->second.key};
  co_return co_await RecordOne(std::move(e));
}

awaitable<answer_body> service::impl::Answer(workflow::declare_catalog r) {
  const std::uint64_t version = r.c.version;
  if (version <= machine.State().Catalog().version) {
    // Acknowledged only by a process that surely leads.
    const auto current_lead =
        co_await node.ReadBarrier(consensus::read_check::kReadIndex);
    if (!current_lead) co_return current_lead.error();
    co_return workflow::accepted{};
  }
  workflow::event e = workflow::catalog_declared{std::move(r.c)};
  auto answer = co_await RecordOne(std::move(e));
  spdlog::info("catalog_declared version={} recorded={}", version,
               std::holds_alternative<workflow::accepted>(answer));
  co_return answer;
}

awaitable<answer_body> service::impl::Answer(workflow::read_catalog) {
  const auto barrier =
      co_await node.ReadBarrier(consensus::read_check::kReadIndex);
  if (!barrier) co_return barrier.error();
  const workflow::catalog& c = machine.State().Catalog();
  if (c.version == 0) {
    co_return core::failure(core::unavailable{"no catalog is declared yet"});
  }
  co_return workflow::catalog_view{c.version, c.document};
}

awaitable<answer_body> service::impl::Answer(workflow::join_members r) {
  joining[r.id] = r.address;
  co_return workflow::accepted{};
}

/// Makes members of those that asked, and removes silent ones in excess.
awaitable<void> service::impl::KeepMembers() {
  const auto known = node.Status().members.members;
  const auto is_known = [&](const core::member_id& id) {
    return std::any_of(known.begin(), known.end(),
                       [&](const auto& m) { return m.id == id; });
  };
  for (const auto& [id, address] : std::exchange(joining, {})) {
    if (is_known(id)) continue;
    spdlog::info("member_joins member={}", id.v);
    const consensus::member learner{id, address, false, 0};
    const auto added = co_await node.ChangeMember(learner, false);
    if (!added) {
      spdlog::warn("member_not_added member={} error={}", id.v,
                   core::Describe(added.error()));
    }
    co_return;
  }
  std::size_t voters = 0;
  for (const auto& m : known) voters += m.voter ? 1 : 0;
  if (known.size() > settings.members) {
    const auto silent = node.FindSilentMember(settings.member_silence);
    // A voter in excess goes once the others are enough.
    const bool learner = silent && !silent->voter;
    if (silent && (learner || voters > settings.members)) {
      spdlog::info("member_removed member={}", silent->id.v);
      const auto removed = co_await node.ChangeMember(*silent, true);
      if (!removed) {
        spdlog::warn("member_not_removed member={} error={}", silent->id.v,
                     core::Describe(removed.error()));
      }
      co_return;
    }
  }
  for (consensus::member m : known) {
    if (m.voter || !node.IsCaughtUp(m.id)) continue;
    m.voter = true;
    const auto changed = co_await node.ChangeMember(m, false);
    spdlog::info("member_votes member={} changed={}", m.id.v,
                 changed.has_value());
    co_return;
  }
}

awaitable<void> service::impl::MemberLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kMemberInterval);
    if (!stopped && Leads()) co_await KeepMembers();
  }
}

service::service(service_settings settings, asio::any_io_executor executor,
                 core::clock& clock, workflow::machine& machine,
                 consensus::node& node, worker_port& workers,
                 eligibility_port& eligibility, metrics::registry& registry)
    : impl_(std::make_shared<impl>(settings, std::move(executor), clock,
                                   machine, node, workers, eligibility,
                                   registry, *this)) {}

service::~service() { impl_->stopped = true; }

void service::Start() {
  asio::co_spawn(impl_->executor, impl_->MemberLoop(), asio::detached);
}

awaitable<answer_body> service::Handle(workflow::request_body r) {
  const auto self = impl_;
  if (!self->Leads()) {
    co_return core::failure(core::not_leader{self->node.Status().leader});
  }
  auto answered = std::visit(
      [&](auto&& v) { return self->Answer(std::move(v)); }, std::move(r));
  co_return co_await std::move(answered);
}

core::event& service::LeadershipMoved() { return impl_->moved; }
bool service::Leads() const { return impl_->Leads(); }

awaitable<outcome<void>> service::Record(std::vector<workflow::event> events) {
  return impl_->Record(std::move(events));
}

const workflow::state& service::State() const { return impl_->machine.State(); }

core::time_point service::LeadershipConfirmedAt() const {
  return impl_->node.LeadershipConfirmedAt();
}

void service::OnEvent(const workflow::event& e) {
  if (impl_->current) impl_->current->OnEvent(e);
}

void service::OnRestored() {}

void service::OnLeadershipChange(bool leads, core::term t) {
  spdlog::info("leadership leads={} term={}", leads, t);
  if (impl_->current) impl_->current->Stop();
  impl_->current.reset();
  if (leads) {
    impl_->current = std::make_unique<dispatcher>(
        impl_->settings.dispatcher, t, impl_->executor, impl_->clock, *this,
        impl_->workers, impl_->eligibility, impl_->registry);
    impl_->current->Start();
  }
  impl_->moved.NotifyAll();
}

}  // namespace mangoplank::dispatch
