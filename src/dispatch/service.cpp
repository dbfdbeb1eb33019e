#include "mangoplank/dispatch/service.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dispatch/job_end_waits.h"
#include "dispatch/newest_report.h"
#include "mangoplank/tenancy/access_metrics.h"
#include "mangoplank/wire/codec.h"
#include "mangoplank/workflow/limits.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;
using core::overloaded;
using workflow::answer_body;

namespace {

constexpr core::milliseconds kMembershipInterval{250};
/// Time for which the newest report of a removed worker is kept: longer than
/// reports are delayed.
constexpr core::milliseconds kReportRetention{60'000};

/// Longest wait of a read for the end of a job. Callers often ask just after
/// the last task has ended, and its end takes a poll, a commit and up to a
/// retransmission to be known.
constexpr core::milliseconds kMaxReadWait{250};

/// @return whether the job ends with its present runs, if none of them fails.
bool MayEndSoon(const workflow::job& job) {
  const bool runs_on =
      std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                  [](const workflow::step& step) { return step.long_running; });
  const bool has_waiting = std::any_of(
      job.tasks.begin(), job.tasks.end(), [](const workflow::task& task) {
        return task.phase == workflow::task_phase::kWaiting;
      });
  return !IsFinal(job.phase) && !runs_on && !has_waiting;
}

core::failure QueueNotFound(const workflow::job_address& address) {
  return core::not_found{address.host + address.path};
}

/// Callers that need no key may access each job of the queue, and each caller
/// those that were accepted without one.
bool MayAccess(const tenancy::terms& caller, const workflow::job& job) {
  return caller.name.empty() || job.tenant.name.empty() ||
         caller.name == job.tenant.name;
}

/// Queue and tenant of an authenticated call. Refers to the state: must not be
/// used after a co_await.
struct admission {
  const workflow::queue& queue;
  const tenancy::terms& tenant;
};

core::failure Invalid(std::string field, std::string reason) {
  return core::invalid_request{{{std::move(field), std::move(reason)}}};
}

/// @return the failure of the first invalid field, or no value.
std::optional<core::failure> FindInvalidField(const workflow::job_spec& spec) {
  if (!workflow::IsValidId(spec.id)) {
    return Invalid("id", "must be one path segment of visible characters");
  }
  if (spec.steps.empty() || spec.steps.size() > workflow::kMaxStepsPerJob) {
    return Invalid("steps", "must be 1 to 100");
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const workflow::step& step = spec.steps[i];
    const std::string step_field = "steps." + std::to_string(i);
    if (step.count == 0) {
      return Invalid(step_field + ".count", "must be at least 1");
    }
    if (step.need.cpu_milli < 0 || step.need.memory_mib < 0 ||
        step.need.accelerators < 0) {
      return Invalid(step_field + ".need", "must not be negative");
    }
    for (const std::uint32_t dependency : step.depends_on) {
      if (dependency >= i) {
        return Invalid(step_field + ".depends_on", "must be earlier steps");
      }
    }
  }
  if (!workflow::IsTaskCountValid(spec)) {
    return Invalid("steps", "must have at most 10,000 tasks in all");
  }
  return std::nullopt;
}

/// @return whether the amounts can be those of a worker; zero is allowed.
bool IsPossible(const core::resources& capacity) {
  const core::resources largest{workflow::kMaxAmount, workflow::kMaxAmount,
                                workflow::kMaxAmount};
  return capacity.Holds({}) && largest.Holds(capacity);
}

}  // namespace

struct service::impl : std::enable_shared_from_this<service::impl> {
  impl(service_settings settings, asio::any_io_executor io_executor,
       core::clock& clock, workflow::machine& machine, consensus::node& node,
       worker_port& workers, eligibility_port& eligibility,
       metrics::registry& registry, service& owner)
      : settings(settings),
        executor(std::move(io_executor)),
        clock(clock),
        machine(machine),
        node(node),
        workers(workers),
        eligibility(eligibility),
        registry(registry),
        owner(owner),
        leadership_changed(executor, clock),
        access(registry),
        reads(executor, clock),
        members(settings.membership, node) {}

  awaitable<answer_body> Answer(workflow::submit_job request);
  awaitable<answer_body> Answer(workflow::get_job request);
  awaitable<answer_body> Answer(workflow::cancel_job request);
  awaitable<answer_body> Answer(workflow::worker_heartbeat request);
  awaitable<std::optional<answer_body>> CheckIncarnation(
      workflow::worker_key reported);
  awaitable<answer_body> Answer(workflow::deregister_worker request);
  awaitable<answer_body> Answer(workflow::declare_catalog request);
  awaitable<answer_body> Answer(workflow::read_catalog request);
  awaitable<answer_body> Answer(workflow::join_members request);
  awaitable<outcome<void>> Record(std::vector<workflow::event> events);
  awaitable<answer_body> RecordOne(workflow::event event);
  awaitable<outcome<void>> ConfirmLeadership();
  awaitable<void> MembershipLoop();
  outcome<admission> Admit(const workflow::job_address& address,
                           const std::optional<tenancy::key_digest>& key);
  core::failure Forbid(const std::string& tenant);
  bool IsLeader() const { return active_dispatcher != nullptr; }
  const workflow::job* FindJob(const workflow::queue& queue,
                               const workflow::job_address& address) const;
  bool IsAccepted(const workflow::job_address& address) const;
  void WakeReads(const workflow::event& event);
  newest_report& FindNewestReport(const core::worker_id& id);

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
  /// Set while this process is the leader.
  std::unique_ptr<dispatcher> active_dispatcher;
  core::event leadership_changed;
  tenancy::access_metrics access;
  job_end_waits reads;
  membership_manager members;
  /// By worker. The sequences of earlier terms stay valid.
  std::map<core::worker_id, newest_report> newest_reports;
};

awaitable<outcome<void>> service::impl::Record(
    std::vector<workflow::event> events) {
  const auto revision = co_await node.Propose(wire::Encode(events));
  if (!revision) co_return revision.error();
  co_return outcome<void>();
}

awaitable<answer_body> service::impl::RecordOne(workflow::event event) {
  std::vector<workflow::event> events;
  events.push_back(std::move(event));
  const auto recorded = co_await Record(std::move(events));
  if (!recorded) co_return recorded.error();
  co_return workflow::accepted{};
}

/// Must succeed before an answer that rests on the applied state alone: after a
/// suspension another process may lead, and have recorded more.
awaitable<outcome<void>> service::impl::ConfirmLeadership() {
  const auto barrier = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!barrier) co_return barrier.error();
  co_return outcome<void>();
}

/// @return the job that the address names in this queue, or null.
const workflow::job* service::impl::FindJob(
    const workflow::queue& queue, const workflow::job_address& address) const {
  const workflow::job* const job =
      machine.State().FindJob(address.path.substr(queue.path_prefix.size()));
  const bool is_known = job != nullptr && HaveSameAddress(job->queue, queue);
  return is_known ? job : nullptr;
}

/// @return whether the address names a job that is recorded.
bool service::impl::IsAccepted(const workflow::job_address& address) const {
  const workflow::queue* const queue =
      machine.State().Route(address.host, address.path);
  return queue != nullptr && FindJob(*queue, address) != nullptr;
}

/// @return the caller's queue and tenant in the newest catalog.
outcome<admission> service::impl::Admit(
    const workflow::job_address& address,
    const std::optional<tenancy::key_digest>& key) {
  const workflow::state& state = machine.State();
  if (state.Catalog().version == 0) {
    return core::failure(core::unavailable{"no catalog is declared yet"});
  }
  const workflow::queue* const queue = state.Route(address.host, address.path);
  if (queue == nullptr) return QueueNotFound(address);
  const tenancy::terms* const tenant = state.Authenticate(*queue, key);
  if (tenant != nullptr) return admission{*queue, *tenant};
  access.OnUnauthenticated(key.has_value());
  return core::failure(core::unauthenticated{});
}

/// @return the answer to a caller of `tenant` for a job of another one.
core::failure service::impl::Forbid(const std::string& tenant) {
  access.OnForbidden(tenant);
  return core::forbidden{tenant};
}

/// Wakes the reads of a job that the event has ended.
void service::impl::WakeReads(const workflow::event& event) {
  const auto wake_if_final = [&](const std::string& id) {
    const workflow::job* const job = machine.State().FindJob(id);
    if (job == nullptr || IsFinal(job->phase)) reads.Notify(id);
  };
  std::visit(overloaded{[&](const workflow::job_cancelled& applied) {
                          wake_if_final(applied.job);
                        },
                        [&](const workflow::run_ended& applied) {
                          wake_if_final(applied.run.task.job);
                        },
                        [](const auto&) {}},
             event);
}

awaitable<answer_body> service::impl::Answer(workflow::submit_job request) {
  // What is applied is committed, so that this needs no confirmation. A key
  // does: it may have been removed by a catalog that is not applied here yet.
  if (!machine.State().HasTenants() && IsAccepted(request.address)) {
    co_return workflow::accepted{};
  }
  const auto confirmed = co_await ConfirmLeadership();
  if (!confirmed) co_return confirmed.error();
  const workflow::state& state = machine.State();
  const auto admitted = Admit(request.address, request.key);
  if (!admitted) co_return admitted.error();
  // The catalog may change while the job is recorded.
  const workflow::queue queue = admitted->queue;
  const tenancy::terms tenant = admitted->tenant;
  request.spec.id = request.address.path.substr(queue.path_prefix.size());
  if (auto invalid = FindInvalidField(request.spec)) {
    co_return std::move(*invalid);
  }
  if (const workflow::job* const known = FindJob(queue, request.address)) {
    if (!MayAccess(tenant, *known)) co_return Forbid(tenant.name);
    co_return workflow::accepted{};
  }
  if (state.FindJob(request.spec.id) != nullptr) {
    co_return Invalid("id", "is the id of a job of another queue");
  }
  const std::string id = request.spec.id;
  if (active_dispatcher) {
    active_dispatcher->Prepare(request.spec, queue, tenant);
  }
  workflow::event event = workflow::job_accepted{std::move(request.spec), queue,
                                                 clock.WallNow(), tenant};
  auto answer = co_await RecordOne(std::move(event));
  if (active_dispatcher && state.FindJob(id) == nullptr) {
    active_dispatcher->DiscardPrepared(id);
  }
  const bool is_recorded = std::holds_alternative<workflow::accepted>(answer);
  spdlog::info("job_submitted job={} tenant=\"{}\" recorded={}", id,
               tenant.name, is_recorded);
  // Another tenant's job of the same id may have been recorded before.
  const workflow::job* const recorded = state.FindJob(id);
  if (recorded != nullptr && !MayAccess(tenant, *recorded)) {
    co_return Forbid(tenant.name);
  }
  if (is_recorded && !tenant.name.empty()) access.OnAccepted(tenant.name);
  co_return answer;
}

awaitable<answer_body> service::impl::Answer(workflow::get_job request) {
  const auto confirmed = co_await ConfirmLeadership();
  if (!confirmed) co_return confirmed.error();
  const auto admitted = Admit(request.address, request.key);
  if (!admitted) co_return admitted.error();
  const workflow::queue& queue = admitted->queue;
  if (request.address.path == queue.path_prefix) {
    const workflow::queue_view view{machine.State().CountQueued(queue)};
    const auto confirmed_before = clock.Now() - node.LeadershipConfirmedAt();
    spdlog::info(
        "queue_counted queue={} catalog={} pending={} only_assigned={} "
        "applied={} leader_confirmed_ms={}",
        queue.name, machine.State().Catalog().version, view.queued,
        machine.State().CountOnlyAssigned(queue), node.Status().applied,
        std::chrono::duration_cast<core::milliseconds>(confirmed_before)
            .count());
    co_return view;
  }
  const workflow::job* const job = FindJob(queue, request.address);
  if (job == nullptr) co_return workflow::job_not_found{};
  if (!MayAccess(admitted->tenant, *job)) {
    co_return Forbid(admitted->tenant.name);
  }
  if (request.wait.count() <= 0 || !MayEndSoon(*job)) {
    co_return workflow::job_view{job->phase, job->failure};
  }
  const std::string id = job->spec.id;
  co_await reads.WaitUntil(id,
                           clock.Now() + std::min(request.wait, kMaxReadWait));
  if (!IsLeader()) {
    co_return core::failure(core::not_leader{node.Status().leader});
  }
  const workflow::job* const later = machine.State().FindJob(id);
  if (later == nullptr) co_return workflow::job_not_found{};
  co_return workflow::job_view{later->phase, later->failure};
}

awaitable<answer_body> service::impl::Answer(workflow::cancel_job request) {
  const auto confirmed = co_await ConfirmLeadership();
  if (!confirmed) co_return confirmed.error();
  const auto admitted = Admit(request.address, request.key);
  if (!admitted) co_return admitted.error();
  const workflow::job* const job = FindJob(admitted->queue, request.address);
  if (job == nullptr) co_return workflow::job_not_found{};
  if (!MayAccess(admitted->tenant, *job)) {
    co_return Forbid(admitted->tenant.name);
  }
  if (IsFinal(job->phase)) co_return workflow::accepted{};
  const std::string id = job->spec.id;
  workflow::event event = workflow::job_cancelled{id};
  auto answer = co_await RecordOne(std::move(event));
  spdlog::info("job_cancelled job={} recorded={}", id,
               std::holds_alternative<workflow::accepted>(answer));
  co_return answer;
}

/// @return the newest report of a worker; an empty one if there is none.
newest_report& service::impl::FindNewestReport(const core::worker_id& id) {
  const auto it = newest_reports.find(id);
  if (it != newest_reports.end()) return it->second;
  const auto& known = machine.State().Workers();
  std::erase_if(newest_reports, [&](const auto& entry) {
    const newest_report& report = entry.second;
    return report.recording == 0 && !known.contains(entry.first) &&
           clock.Now() > report.received_at + kReportRetention;
  });
  return newest_reports[id];
}

/// Decides whether a report may register its incarnation. The later one holds
/// the id, unless it is shown to be false: an earlier one still answers, or
/// the later one has not answered for a lease while the earlier one reports.
/// @return the answer to a report that registers nothing.
awaitable<std::optional<answer_body>> service::impl::CheckIncarnation(
    workflow::worker_key reported) {
  const auto& known = machine.State().Workers();
  const auto it = known.find(reported.id);
  if (it == known.end() || it->second.key == reported) co_return std::nullopt;
  const workflow::worker_key registered = it->second.key;
  if (registered.incarnation > reported.incarnation) {
    // Delayed, unless the registered incarnation is false.
    const bool gives_way =
        active_dispatcher != nullptr &&
        co_await active_dispatcher->RemoveUnconfirmed(registered);
    if (gives_way) {
      FindNewestReport(reported.id).worker = {};
      co_return std::nullopt;
    }
    co_return answer_body(workflow::accepted{});
  }
  if (active_dispatcher == nullptr) co_return std::nullopt;
  const auto is_held =
      co_await active_dispatcher->ConfirmIncarnation(registered);
  if (!is_held) co_return answer_body(is_held.error());
  if (!*is_held) co_return std::nullopt;
  co_return answer_body(
      Invalid("incarnation", "an earlier one answers under this id"));
}

awaitable<answer_body> service::impl::Answer(
    workflow::worker_heartbeat request) {
  if (!IsPossible(request.worker.capacity)) {
    co_return Invalid("capacity", "is negative or too large");
  }
  const auto confirmed = co_await ConfirmLeadership();
  if (!confirmed) co_return confirmed.error();
  const workflow::worker_key key = request.worker.key;
  auto refused = co_await CheckIncarnation(key);
  if (refused) co_return std::move(*refused);
  const auto& known = machine.State().Workers();
  const auto it = known.find(key.id);
  const workflow::worker* const registered =
      it == known.end() ? nullptr : &it->second;
  newest_report& newest = FindNewestReport(key.id);
  if (registered != nullptr) {
    newest.worker = Merge(std::move(newest.worker), *registered);
  }
  // Also if it was registered while the report was checked.
  if (newest.worker.key.incarnation > key.incarnation) {
    co_return workflow::accepted{};
  }
  const bool is_late = IsLate(request.worker, newest.worker);
  const bool is_new = registered == nullptr && newest.recording == 0;
  // It was sent before the worker was removed, and does not show its return.
  if (is_new && is_late) co_return workflow::accepted{};
  const bool is_refused = is_new && known.size() >= settings.max_workers;
  if (is_refused) {
    if (active_dispatcher) active_dispatcher->OnWorkerRefused();
    co_return core::failure(core::unavailable{fmt::format(
        "{} workers are registered, and there are no connections for more",
        known.size())});
  }
  newest.worker = Merge(std::move(newest.worker), std::move(request.worker));
  newest.received_at = clock.Now();
  // While an announcement is being recorded, the state is not the latest yet.
  const bool is_recorded = newest.recording == 0 && registered != nullptr &&
                           HaveSameContent(*registered, newest.worker);
  if (!is_recorded) {
    const core::resources& capacity = newest.worker.capacity;
    spdlog::info(
        "worker_announced worker={} born={} sequence={} draining={} cpu={} "
        "mem={} accelerators={}",
        key.id.v, key.incarnation, newest.worker.report_sequence,
        newest.worker.draining, capacity.cpu_milli, capacity.memory_mib,
        capacity.accelerators);
    workflow::event event = workflow::worker_announced{newest.worker};
    ++newest.recording;
    const auto answer = co_await RecordOne(std::move(event));
    --newest.recording;
    if (!std::holds_alternative<workflow::accepted>(answer)) co_return answer;
  }
  // A late report does not show that the worker is still there.
  if (active_dispatcher && !is_late) {
    active_dispatcher->OnHeartbeat(key, request.clock_ms);
  }
  co_return workflow::accepted{};
}

awaitable<answer_body> service::impl::Answer(
    workflow::deregister_worker request) {
  const auto confirmed = co_await ConfirmLeadership();
  if (!confirmed) co_return confirmed.error();
  const auto& known = machine.State().Workers();
  const auto it = known.find(request.id);
  if (it == known.end()) co_return workflow::accepted{};
  // Workers drain before they deregister. Without an incarnation, a request
  // for a worker that is not draining is a delayed one of an earlier
  // incarnation.
  const workflow::worker& worker = it->second;
  const bool is_other = request.incarnation == 0
                            ? !worker.draining
                            : request.incarnation != worker.key.incarnation;
  if (is_other) {
    spdlog::info("deregistration_ignored worker={} draining={}", request.id.v,
                 worker.draining);
    co_return workflow::accepted{};
  }
  const workflow::worker_key key = worker.key;
  const bool may_end = active_dispatcher != nullptr &&
                       co_await active_dispatcher->Deregister(key);
  if (!IsLeader()) {
    co_return core::failure(core::not_leader{node.Status().leader});
  }
  spdlog::info("worker_deregistered worker={} may_end={}", key.id.v, may_end);
  if (may_end) co_return workflow::accepted{};
  co_return core::failure(core::unavailable{"its tasks are being stopped"});
}

awaitable<answer_body> service::impl::Answer(
    workflow::declare_catalog request) {
  const std::uint64_t version = request.catalog.version;
  const std::size_t tenants =
      request.catalog.tenants ? request.catalog.tenants->size() : 0;
  if (version <= machine.State().Catalog().version) {
    // Only a process with confirmed leadership acknowledges the request.
    const auto barrier =
        co_await node.ReadBarrier(consensus::read_check::kReadIndex);
    if (!barrier) co_return barrier.error();
    co_return workflow::accepted{};
  }
  workflow::event event =
      workflow::catalog_declared{std::move(request.catalog)};
  auto answer = co_await RecordOne(std::move(event));
  spdlog::info("catalog_declared version={} tenants={} recorded={}", version,
               tenants, std::holds_alternative<workflow::accepted>(answer));
  co_return answer;
}

awaitable<answer_body> service::impl::Answer(workflow::read_catalog) {
  const auto barrier =
      co_await node.ReadBarrier(consensus::read_check::kReadIndex);
  if (!barrier) co_return barrier.error();
  const workflow::catalog& catalog = machine.State().Catalog();
  if (catalog.version == 0) {
    co_return core::failure(core::unavailable{"no catalog is declared yet"});
  }
  co_return workflow::catalog_view{catalog.version, catalog.document};
}

awaitable<answer_body> service::impl::Answer(workflow::join_members request) {
  members.RequestJoin(std::move(request.id), std::move(request.address));
  co_return workflow::accepted{};
}

awaitable<void> service::impl::MembershipLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kMembershipInterval);
    if (!stopped && IsLeader()) co_await members.Step();
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
  asio::co_spawn(impl_->executor, impl_->MembershipLoop(), asio::detached);
}

awaitable<answer_body> service::Handle(workflow::request_body request) {
  const auto self = impl_;
  if (!self->IsLeader()) {
    co_return core::failure(core::not_leader{self->node.Status().leader});
  }
  auto handled =
      std::visit([&](auto&& body) { return self->Answer(std::move(body)); },
                 std::move(request));
  co_return co_await std::move(handled);
}

core::event& service::LeadershipChanged() { return impl_->leadership_changed; }
bool service::IsLeader() const { return impl_->IsLeader(); }

awaitable<outcome<void>> service::Record(std::vector<workflow::event> events) {
  return impl_->Record(std::move(events));
}

const workflow::state& service::State() const { return impl_->machine.State(); }

core::time_point service::LeadershipConfirmedAt() const {
  return impl_->node.LeadershipConfirmedAt();
}

void service::OnEvent(const workflow::event& event) {
  impl_->WakeReads(event);
  if (impl_->active_dispatcher) impl_->active_dispatcher->OnEvent(event);
}

void service::OnRestored() {}

void service::OnLeadershipChange(bool is_leader, core::term term) {
  spdlog::info("leadership leads={} term={}", is_leader, term);
  if (impl_->active_dispatcher) impl_->active_dispatcher->Stop();
  impl_->active_dispatcher.reset();
  if (is_leader) {
    impl_->active_dispatcher = std::make_unique<dispatcher>(
        impl_->settings.dispatcher, term, impl_->executor, impl_->clock, *this,
        impl_->workers, impl_->eligibility, impl_->registry);
    impl_->active_dispatcher->Start();
  }
  impl_->reads.NotifyAll();
  impl_->leadership_changed.NotifyAll();
}

}  // namespace mangoplank::dispatch
