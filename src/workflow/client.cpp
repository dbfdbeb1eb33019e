#include "mangoplank/workflow/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <map>
#include <set>

#include "mangoplank/core/task.h"
#include "mangoplank/wire/codec.h"
#include "workflow/delivery_delay.h"

namespace mangoplank::workflow {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;

namespace {

/// Pause after all known control processes were tried without a leader.
constexpr core::milliseconds kRetryPause{50};
/// Time after which the next candidate is tried in parallel with one that has
/// not answered: a machine without power does not even refuse the connection.
constexpr core::milliseconds kCandidateDelay{100};
/// Time to wait for outstanding answers once all candidates were tried. An
/// answer that comes later still counts.
constexpr core::milliseconds kLastCandidateWait{100};
/// Time-out for the hello reply of a control process.
constexpr core::milliseconds kHelloReplyTimeout{700};
/// Least time between two reads of the seeds.
constexpr core::milliseconds kSeedReadInterval{500};
/// Requests of this time are reported in one log line.
constexpr core::milliseconds kReportInterval{1'000};
/// Maximum number of member addresses kept in addition to the seeds.
constexpr std::size_t kMaxMembers = 16;

outcome<message> Decode(const std::string& frame, const std::string& peer) {
  return core::Capture([&] {
    return wire::DecodeWorkflowMessage(frame, wire::Malformed(peer));
  });
}

/// A request that waits for its answer.
struct pending_request {
  pending_request(const asio::any_io_executor& executor, core::clock& clock)
      : done(executor, clock) {}
  std::optional<answer_body> result;
  core::event done;
};

/// Outcomes of requests to the leader since the last report.
struct request_counts {
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t without_leader = 0;
  core::duration max_wait{0};

  friend bool operator==(const request_counts&,
                         const request_counts&) = default;
};

bool IsCommitUnknown(const answer_body& answer) {
  const auto* const failure = std::get_if<core::failure>(&answer);
  return failure != nullptr &&
         std::holds_alternative<core::commit_unknown>(*failure);
}

bool IsRetryable(const answer_body& answer) {
  const auto* const failure = std::get_if<core::failure>(&answer);
  return failure != nullptr &&
         (std::holds_alternative<core::not_leader>(*failure) ||
          std::holds_alternative<core::commit_unknown>(*failure));
}

}  // namespace

struct client::impl : std::enable_shared_from_this<client::impl> {
  impl(client_settings client_settings, wire::connection_context client_context,
       seed_source source, client_duties client_duties)
      : settings(std::move(client_settings)),
        context(std::move(client_context)),
        read_seeds(std::move(source)),
        duties(std::move(client_duties)),
        connected(context.executor, context.clock),
        candidate_tried(context.executor, context.clock) {}

  awaitable<void> Run();
  awaitable<void> FindLeader();
  awaitable<void> TryCandidate(core::endpoint address);
  awaitable<outcome<std::shared_ptr<wire::connection>>> Open(
      core::endpoint address, core::member_id& leader_named);
  awaitable<void> ReadLoop(std::shared_ptr<wire::connection> connection);
  awaitable<void> AnswerEligibilityRequest(
      std::shared_ptr<wire::connection> connection,
      eligibility_request request);
  awaitable<void> RelayOrder(std::shared_ptr<wire::connection> connection,
                             order_request request, core::milliseconds age);
  void RefreshSeeds();
  void LearnMembers(const member_list& reported, const core::member_id& from,
                    bool from_leader);
  std::vector<core::endpoint> Candidates() const;
  core::endpoint AddressOf(const core::member_id& member) const {
    return {member.v, settings.port};
  }
  void FailPendingRequests();
  void CountRequest(std::uint64_t request_counts::*outcome,
                    core::time_point begin);

  client_settings settings;
  wire::connection_context context;
  seed_source read_seeds;
  client_duties duties;
  bool stopped = false;
  std::shared_ptr<wire::connection> connection;
  core::member_id leader;
  member_list members;
  std::vector<core::endpoint> seeds;
  std::optional<core::time_point> seeds_read_at;
  core::event connected;
  /// Candidates that are being tried, also by an earlier attempt.
  std::set<core::endpoint> trying;
  /// A leader that a candidate has named and that was not tried since.
  core::member_id named_leader;
  /// The leader that was found, until Run uses the connection.
  std::shared_ptr<wire::connection> found;
  core::member_id found_leader;
  core::event candidate_tried;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<pending_request>> pending;
  std::size_t next_candidate = 0;
  request_counts counts;
  core::time_point counts_begin{};
};

/// Reads the seeds again while no leader is found: a client that was cut off
/// while the members were replaced knows none of the present ones.
void client::impl::RefreshSeeds() {
  const core::time_point now = context.clock.Now();
  const bool is_fresh =
      seeds_read_at && now < *seeds_read_at + kSeedReadInterval;
  if (is_fresh || !read_seeds) return;
  seeds = read_seeds();
  seeds_read_at = now;
}

/// A process that was cut off or removed reports members of an earlier time.
/// The leader's report always counts: it may withdraw a change that was not
/// committed.
void client::impl::LearnMembers(const member_list& reported,
                                const core::member_id& from, bool from_leader) {
  if (reported.ids.empty() || reported.ids.size() > kMaxMembers) return;
  if (!from_leader && reported.revision < members.revision) return;
  if (reported == members) return;
  members = reported;
  spdlog::info("members_learned from={} leads={} revision={} members={}",
               from.v, from_leader, members.revision, members.ids.size());
}

std::vector<core::endpoint> client::impl::Candidates() const {
  std::vector<core::endpoint> addresses;
  for (const core::member_id& member : members.ids) {
    addresses.push_back(AddressOf(member));
  }
  for (const core::endpoint& seed : seeds) addresses.push_back(seed);
  if (!settings.self.v.empty()) addresses.push_back(AddressOf(settings.self));
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  // Each attempt starts with another address, so that a silent machine does not
  // cost a time-out in every attempt.
  if (!addresses.empty()) {
    const auto first =
        static_cast<std::ptrdiff_t>(next_candidate % addresses.size());
    std::rotate(addresses.begin(), addresses.begin() + first, addresses.end());
  }
  return addresses;
}

/// @param leader_named set to the leader that the other side names.
/// @return the connection, or a failure if the other side is not the leader.
awaitable<outcome<std::shared_ptr<wire::connection>>> client::impl::Open(
    core::endpoint address, core::member_id& leader_named) {
  auto connection =
      co_await wire::Connect(context, address, address.address, false);
  if (!connection) co_return connection.error();
  const auto opened = *connection;
  opened->Send(wire::Encode(message(
      hello{settings.name, static_cast<bool>(duties.check_eligibility),
            static_cast<bool>(duties.send_order), settings.data_centre})));
  const auto timer = context.clock.CallAt(
      context.clock.Now() + kHelloReplyTimeout, [opened] { opened->Close(); });
  const auto frame = co_await opened->Receive();
  context.clock.Cancel(timer);
  if (!frame) co_return frame.error();
  const auto message = Decode(*frame, address.address);
  const auto* const reply =
      message ? std::get_if<hello_reply>(&*message) : nullptr;
  if (reply == nullptr) {
    opened->Close();
    co_return wire::Malformed(address.address);
  }
  LearnMembers(reply->members, reply->self, reply->leader == reply->self);
  leader_named = reply->leader;
  if (reply->leader != reply->self) {
    opened->Close();
    std::optional<core::member_id> named;
    if (!reply->leader.v.empty()) named = reply->leader;
    co_return core::failure(core::not_leader{named});
  }
  co_return opened;
}

awaitable<void> client::impl::TryCandidate(core::endpoint address) {
  const auto self = shared_from_this();
  core::member_id named;
  const auto opened = co_await Open(address, named);
  trying.erase(address);
  if (!opened) {
    if (!named.v.empty() && !connection) named_leader = named;
  } else if (stopped || connection || found) {
    (*opened)->Close();
  } else {
    found = *opened;
    found_leader = named;
  }
  candidate_tried.NotifyAll();
}

/// Tries the candidates until one of them leads or all were tried. The next one
/// starts when the last has answered or has been silent for a while, so that
/// machines without power cost little time. A leader that a candidate names
/// comes next.
awaitable<void> client::impl::FindLeader() {
  const std::vector<core::endpoint> candidates = Candidates();
  std::deque<core::endpoint> left(candidates.begin(), candidates.end());
  std::set<core::endpoint> tried = trying;
  std::optional<core::time_point> end;
  while (!stopped && !found) {
    if (!named_leader.v.empty()) {
      left.push_front(AddressOf(std::exchange(named_leader, {})));
    }
    while (!left.empty() && tried.contains(left.front())) left.pop_front();
    if (left.empty()) {
      if (!end) end = context.clock.Now() + kLastCandidateWait;
      const bool waits = !trying.empty() && context.clock.Now() < *end;
      if (!waits) co_return;
      co_await candidate_tried.WaitUntil(*end);
      continue;
    }
    const core::endpoint next = left.front();
    tried.insert(next);
    trying.insert(next);
    core::SpawnTask(context.executor, TryCandidate(next), "leader_candidate");
    const core::time_point silent_at = context.clock.Now() + kCandidateDelay;
    bool notified = true;
    while (notified && !found && trying.contains(next)) {
      notified = co_await candidate_tried.WaitUntil(silent_at);
    }
  }
}

awaitable<void> client::impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    RefreshSeeds();
    co_await FindLeader();
    if (stopped) co_return;
    ++next_candidate;
    if (!found) {
      co_await core::SleepFor(context.clock, kRetryPause);
      continue;
    }
    connection = std::exchange(found, nullptr);
    named_leader = {};
    leader = found_leader;
    spdlog::info("leader_connected leader={}", leader.v);
    connected.NotifyAll();
    co_await ReadLoop(connection);
    spdlog::info("leader_lost leader={} requests={}", leader.v, pending.size());
    connection = nullptr;
    leader = {};
    FailPendingRequests();
  }
}

/// Counts a request, and logs the counts once in a while if a request had no
/// answer. Only requests with an outcome drive the report, so that an idle
/// process writes nothing.
void client::impl::CountRequest(std::uint64_t request_counts::*outcome,
                                core::time_point begin) {
  const core::time_point now = context.clock.Now();
  ++(counts.*outcome);
  counts.max_wait = std::max<core::duration>(counts.max_wait, now - begin);
  if (now < counts_begin + kReportInterval) return;
  if (counts.unanswered + counts.without_leader > 0) {
    spdlog::info(
        "leader_requests answered={} unanswered={} without_leader={} "
        "max_wait_ms={} pending={}",
        counts.answered, counts.unanswered, counts.without_leader,
        std::chrono::duration_cast<core::milliseconds>(counts.max_wait).count(),
        pending.size());
  }
  counts = {};
  counts_begin = now;
}

void client::impl::FailPendingRequests() {
  for (const auto& [id, request] : std::exchange(pending, {})) {
    request->result = core::failure(core::commit_unknown{});
    request->done.NotifyAll();
  }
}

awaitable<void> client::impl::ReadLoop(
    std::shared_ptr<wire::connection> connection) {
  delivery_delay delay;
  while (!stopped) {
    const auto frame = co_await connection->Receive();
    if (!frame) co_return;
    auto message = Decode(*frame, connection->Peer());
    if (!message) {
      spdlog::warn("leader_message_malformed peer={}", connection->Peer());
      connection->Close();
      co_return;
    }
    if (auto* const reply = std::get_if<answer>(&*message)) {
      const auto it = pending.find(reply->id);
      if (it == pending.end()) continue;
      const auto request = it->second;
      pending.erase(it);
      request->result = std::move(reply->body);
      request->done.NotifyAll();
    } else if (const auto* const changed =
                   std::get_if<members_changed>(&*message)) {
      LearnMembers(changed->members, leader, true);
    } else if (auto* const check =
                   std::get_if<eligibility_request>(&*message)) {
      core::SpawnTask(context.executor,
                      AnswerEligibilityRequest(connection, std::move(*check)),
                      "eligibility_check");
    } else if (auto* const order = std::get_if<order_request>(&*message)) {
      const auto age = delay.Note(order->sent_at_ms, context.clock.Now());
      core::SpawnTask(context.executor,
                      RelayOrder(connection, std::move(*order), age),
                      "relayed_order");
    }
  }
}

awaitable<void> client::impl::AnswerEligibilityRequest(
    std::shared_ptr<wire::connection> connection, eligibility_request request) {
  const auto self = shared_from_this();
  eligibility_reply reply{request.id, false, {}};
  if (duties.check_eligibility) {
    auto eligible_workers = co_await duties.check_eligibility(
        std::move(request.step), std::move(request.workers));
    reply.known = eligible_workers.has_value();
    if (eligible_workers) reply.eligible = std::move(*eligible_workers);
  }
  connection->Send(wire::Encode(message(std::move(reply))));
}

/// Sends an order to a worker for the leader. Each request gets a reply.
awaitable<void> client::impl::RelayOrder(
    std::shared_ptr<wire::connection> connection, order_request request,
    core::milliseconds age) {
  const auto self = shared_from_this();
  order_reply reply{request.id, not_sent{}};
  // The leader no longer waits for it, and may have decided otherwise.
  if (age >= request.timeout) {
    spdlog::info("order_outdated worker={} age_ms={}", request.worker.id.v,
                 age.count());
  } else if (duties.send_order) {
    request.timeout -= age;
    reply.answer = co_await duties.send_order(std::move(request));
  }
  connection->Send(wire::Encode(message(std::move(reply))));
}

client::client(client_settings settings,
               const wire::connection_context& context, seed_source seeds,
               client_duties duties)
    : impl_(std::make_shared<impl>(std::move(settings), context,
                                   std::move(seeds), std::move(duties))) {}

client::~client() {
  impl_->stopped = true;
  if (impl_->connection) impl_->connection->Close();
  if (impl_->found) impl_->found->Close();
}

void client::Start() {
  asio::co_spawn(impl_->context.executor, impl_->Run(), asio::detached);
}

awaitable<answer_body> client::Request(request_body body,
                                       core::time_point deadline) {
  const auto self = impl_;
  const core::time_point begin = self->context.clock.Now();
  bool sent_once = false;
  // An earlier attempt may have been recorded even if a later one is refused.
  bool is_commit_unknown = false;
  const auto outcome_of = [&is_commit_unknown](answer_body answer) {
    const bool refused = std::holds_alternative<core::failure>(answer);
    if (refused && is_commit_unknown) {
      return answer_body(core::commit_unknown{});
    }
    return answer;
  };
  while (true) {
    while (!self->connection) {
      const bool notified = co_await self->connected.WaitUntil(deadline);
      if (notified) continue;
      self->CountRequest(&request_counts::without_leader, begin);
      if (sent_once) co_return core::failure(core::commit_unknown{});
      co_return core::failure(core::unavailable{"no leader is known"});
    }
    const std::uint64_t id = self->next_id++;
    const auto pending_answer = std::make_shared<pending_request>(
        self->context.executor, self->context.clock);
    self->pending.emplace(id, pending_answer);
    sent_once = true;
    const auto used_connection = self->connection;
    used_connection->Send(wire::Encode(message(request{id, body})));
    while (!pending_answer->result) {
      const bool notified = co_await pending_answer->done.WaitUntil(deadline);
      if (notified) continue;
      self->pending.erase(id);
      self->CountRequest(&request_counts::unanswered, begin);
      co_return core::failure(core::commit_unknown{});
    }
    const bool is_last = self->context.clock.Now() >= deadline;
    if (is_last || !IsRetryable(*pending_answer->result)) {
      self->CountRequest(&request_counts::answered, begin);
      co_return outcome_of(std::move(*pending_answer->result));
    }
    is_commit_unknown =
        is_commit_unknown || IsCommitUnknown(*pending_answer->result);
    // The connection to a process that lost leadership is being closed.
    if (self->connection == used_connection) {
      co_await core::SleepFor(self->context.clock, kRetryPause);
    }
  }
}

bool client::HasLeader() const { return impl_->connection != nullptr; }

core::member_id client::Leader() const { return impl_->leader; }

const member_list& client::Members() const { return impl_->members; }

}  // namespace mangoplank::workflow
