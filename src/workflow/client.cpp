#include "mangoplank/workflow/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>

#include "mangoplank/wire/codec.h"

namespace mangoplank::workflow {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;

namespace {

/// Pause after all known control processes were tried without a leader.
constexpr core::milliseconds kRetryPause{50};
/// Wait for the greeting of a control process.
constexpr core::milliseconds kGreetingTime{700};
/// Addresses remembered beside the seeds.
constexpr std::size_t kMaxMembers = 16;

outcome<message> Decode(const std::string& frame, const std::string& peer) {
  return core::Capture([&] {
    return wire::DecodeWorkflowMessage(frame, wire::Malformed(peer));
  });
}

/// A request that waits for its answer.
struct waiting_request {
  waiting_request(const asio::any_io_executor& e, core::clock& c)
      : done(e, c) {}
  std::optional<answer_body> result;
  core::event done;
};

bool IsCommitUnknown(const answer_body& a) {
  const auto* const f = std::get_if<core::failure>(&a);
  return f != nullptr && std::holds_alternative<core::commit_unknown>(*f);
}

bool IsRetried(const answer_body& a) {
  const auto* const f = std::get_if<core::failure>(&a);
  return f != nullptr && (std::holds_alternative<core::not_leader>(*f) ||
                          std::holds_alternative<core::commit_unknown>(*f));
}

}  // namespace

struct client::impl : std::enable_shared_from_this<client::impl> {
  impl(client_settings s, wire::connection_context c, eligibility_source a)
      : settings(std::move(s)),
        context(std::move(c)),
        ask(std::move(a)),
        connected(context.executor, context.clock) {}

  awaitable<void> Run();
  awaitable<outcome<std::shared_ptr<wire::connection>>> Open(
      core::endpoint to, core::member_id& leader);
  awaitable<void> ReadLoop(std::shared_ptr<wire::connection> c);
  awaitable<void> AnswerEligibility(std::shared_ptr<wire::connection> c,
                                    ask_eligibility q);
  std::vector<core::endpoint> Candidates(const core::member_id& hint) const;
  core::endpoint AddressOf(const core::member_id& m) const {
    return {m.v, settings.link_port};
  }
  void FailAll();

  client_settings settings;
  wire::connection_context context;
  eligibility_source ask;
  bool stopped = false;
  std::shared_ptr<wire::connection> link;
  core::member_id leader;
  std::set<core::member_id> members;
  core::event connected;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<waiting_request>> waiting;
  std::size_t next_candidate = 0;
};

std::vector<core::endpoint> client::impl::Candidates(
    const core::member_id& hint) const {
  std::vector<core::endpoint> all;
  for (const core::member_id& m : members) all.push_back(AddressOf(m));
  for (const core::endpoint& s : settings.seeds) all.push_back(s);
  if (!settings.self.v.empty()) all.push_back(AddressOf(settings.self));
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  // Each attempt begins elsewhere, so that one silent machine costs its
  // timeout only once in a while.
  if (!all.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(next_candidate % all.size());
    std::rotate(all.begin(), all.begin() + first, all.end());
  }
  if (!hint.v.empty()) all.insert(all.begin(), AddressOf(hint));
  return all;
}

/// @param leader set to the leader that the other side named.
/// @return the connection, or a failure if the other side does not lead.
awaitable<outcome<std::shared_ptr<wire::connection>>> client::impl::Open(
    core::endpoint to, core::member_id& leader_named) {
  auto c = co_await wire::Connect(context, to, to.address, false);
  if (!c) co_return c.error();
  const auto opened = *c;
  opened->Send(
      wire::Encode(message(hello{settings.name, static_cast<bool>(ask)})));
  const auto timer = context.clock.CallAt(context.clock.Now() + kGreetingTime,
                                          [opened] { opened->Close(); });
  const auto frame = co_await opened->Receive();
  context.clock.Cancel(timer);
  if (!frame) co_return frame.error();
  const auto m = Decode(*frame, to.address);
  const auto* const g = m ? std::get_if<greeting>(&*m) : nullptr;
  if (g == nullptr) {
    opened->Close();
    co_return wire::Malformed(to.address);
  }
  if (!g->members.empty() && g->members.size() <= kMaxMembers) {
    members = {g->members.begin(), g->members.end()};
  }
  leader_named = g->leader;
  if (g->leader != g->self) {
    opened->Close();
    std::optional<core::member_id> named;
    if (!g->leader.v.empty()) named = g->leader;
    co_return core::failure(core::not_leader{named});
  }
  co_return opened;
}

awaitable<void> client::impl::Run() {
  const auto self = shared_from_this();
  core::member_id hint;
  while (!stopped) {
    bool found = false;
    for (const core::endpoint& to : Candidates(hint)) {
      core::member_id named;
      auto c = co_await Open(to, named);
      if (stopped) co_return;
      if (!c) {
        // A named leader is tried next, before the other candidates.
        const bool is_news = !named.v.empty() && named != hint;
        hint = named;
        if (is_news) break;
        continue;
      }
      found = true;
      link = *c;
      leader = named;
      hint = {};
      spdlog::info("leader_connected leader={}", leader.v);
      connected.NotifyAll();
      co_await ReadLoop(link);
      spdlog::info("leader_lost leader={} requests={}", leader.v,
                   waiting.size());
      link = nullptr;
      leader = {};
      FailAll();
      break;
    }
    ++next_candidate;
    if (!found && hint.v.empty()) {
      co_await core::SleepFor(context.clock, kRetryPause);
    }
  }
}

void client::impl::FailAll() {
  for (const auto& [id, w] : std::exchange(waiting, {})) {
    w->result = core::failure(core::commit_unknown{});
    w->done.NotifyAll();
  }
}

awaitable<void> client::impl::ReadLoop(std::shared_ptr<wire::connection> c) {
  while (!stopped) {
    const auto frame = co_await c->Receive();
    if (!frame) co_return;
    auto m = Decode(*frame, c->Peer());
    if (!m) {
      spdlog::warn("leader_message_malformed peer={}", c->Peer());
      c->Close();
      co_return;
    }
    if (auto* const a = std::get_if<answer>(&*m)) {
      const auto it = waiting.find(a->id);
      if (it == waiting.end()) continue;
      const auto w = it->second;
      waiting.erase(it);
      w->result = std::move(a->body);
      w->done.NotifyAll();
    } else if (auto* const q = std::get_if<ask_eligibility>(&*m)) {
      asio::co_spawn(context.executor, AnswerEligibility(c, std::move(*q)),
                     asio::detached);
    }
  }
}

awaitable<void> client::impl::AnswerEligibility(
    std::shared_ptr<wire::connection> c, ask_eligibility q) {
  const auto self = shared_from_this();
  eligibility reply{q.id, false, {}};
  if (ask) {
    auto rows = co_await ask(std::move(q.step), std::move(q.workers));
    reply.known = rows.has_value();
    if (rows) reply.eligible = std::move(*rows);
  }
  c->Send(wire::Encode(message(std::move(reply))));
}

client::client(client_settings settings,
               const wire::connection_context& context, eligibility_source ask)
    : impl_(std::make_shared<impl>(std::move(settings), context,
                                   std::move(ask))) {}

client::~client() {
  impl_->stopped = true;
  if (impl_->link) impl_->link->Close();
}

void client::Start() {
  asio::co_spawn(impl_->context.executor, impl_->Run(), asio::detached);
}

awaitable<answer_body> client::Ask(request_body body,
                                   core::time_point deadline) {
  const auto self = impl_;
  bool sent_once = false;
  // An earlier try may have been recorded, so that a later refusal does not
  // tell that nothing was.
  bool is_open = false;
  const auto outcome_of = [&is_open](answer_body a) {
    const bool refused = std::holds_alternative<core::failure>(a);
    if (refused && is_open) return answer_body(core::commit_unknown{});
    return a;
  };
  while (true) {
    while (!self->link) {
      const bool notified = co_await self->connected.WaitUntil(deadline);
      if (notified) continue;
      if (sent_once) co_return core::failure(core::commit_unknown{});
      co_return core::failure(core::unavailable{"no leader is known"});
    }
    const std::uint64_t id = self->next_id++;
    const auto w = std::make_shared<waiting_request>(self->context.executor,
                                                     self->context.clock);
    self->waiting.emplace(id, w);
    sent_once = true;
    const auto used = self->link;
    used->Send(wire::Encode(message(request{id, body})));
    while (!w->result) {
      const bool notified = co_await w->done.WaitUntil(deadline);
      if (notified) continue;
      self->waiting.erase(id);
      co_return core::failure(core::commit_unknown{});
    }
    const bool is_last = self->context.clock.Now() >= deadline;
    if (is_last || !IsRetried(*w->result)) {
      co_return outcome_of(std::move(*w->result));
    }
    is_open = is_open || IsCommitUnknown(*w->result);
    // The connection to a process that leads no more is being closed.
    if (self->link == used) {
      co_await core::SleepFor(self->context.clock, kRetryPause);
    }
  }
}

bool client::HasLeader() const { return impl_->link != nullptr; }

core::member_id client::Leader() const { return impl_->leader; }

}  // namespace mangoplank::workflow
