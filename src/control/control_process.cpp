#include "control_process.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "mangoplank/api/process_handler.h"
#include "mangoplank/api/server.h"
#include "mangoplank/consensus/local_disk.h"
#include "mangoplank/wire/codec.h"
#include "mangoplank/wire/connection.h"
#include "mangoplank/wire/peers.h"
#include "options.h"

namespace mangoplank::control {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;

namespace {

constexpr std::size_t kMaxEntryConnections = 256;
/// Time for entries to read the shutdown notice before the connections close.
constexpr core::milliseconds kShutdownNoticeTime{200};

/// An entry's connection that carries Cap'n Proto messages.
class wire_entry_connection : public entry_connection {
 public:
  wire_entry_connection(std::shared_ptr<wire::connection> connection,
                        core::region_id own_region)
      : connection_(std::move(connection)),
        own_region_(std::move(own_region)) {}

  void Post(message outgoing) override {
    const auto sent = connection_->Send(wire::Encode(outgoing));
    if (!sent) {
      spdlog::debug("{}: {}", connection_->Peer(),
                    core::Describe(sent.error()));
    }
  }
  awaitable<outcome<message>> Receive() override {
    const auto frame = co_await connection_->Receive();
    if (!frame) co_return frame.error();
    auto received = core::Capture([&] {
      return wire::DecodeControlMessage(*frame,
                                        wire::Malformed(connection_->Peer()));
    });
    if (received) {
      if (const auto* const first = std::get_if<hello>(&*received)) {
        connection_->SetPeer(first->entry.v, first->region != own_region_);
      }
    }
    co_return received;
  }
  awaitable<outcome<void>> Flush() override { return connection_->Flush(); }
  void Close() override { connection_->Close(); }

 private:
  std::shared_ptr<wire::connection> connection_;
  core::region_id own_region_;
};

/// The components of a control process.
class control_components {
 public:
  explicit control_components(const settings::values& settings)
      : settings_(settings),
        clock_(io_.get_executor()),
        history_(
            static_cast<std::size_t>(settings.Integer("history", "bytes"))),
        machine_(io_.get_executor(), clock_, history_),
        context_{io_.get_executor(), clock_, registry_, {}},
        hello_{{settings.Text("member", "cell")},
               {settings.Text("member", "name")}},
        // Control processes run in different regions.
        transport_(context_, hello_, [](const auto&) { return true; }),
        disk_(settings.Text("member", "data")),
        node_(NodeSettings(settings), io_.get_executor(), clock_, transport_,
              disk_, runner_, machine_, std::random_device()()),
        leader_(LeaderSettings(settings), io_.get_executor(), clock_, machine_,
                node_, registry_),
        entry_server_(EntryServerSettings(settings), io_.get_executor(), clock_,
                      machine_, node_, leader_, history_),
        peer_listener_(
            context_, hello_, [](const auto&) { return true; },
            [this](auto, auto link) { return node_.Serve(std::move(link)); }),
        entry_listener_(
            context_,
            [this](auto connection) {
              return entry_server_.Serve(
                  std::make_shared<wire_entry_connection>(
                      std::move(connection),
                      core::region_id{settings_.Text("member", "region")}));
            },
            kMaxEntryConnections),
        handler_(registry_,
                 [this] { return node_.Status().leader.has_value(); }),
        budget_(io_.get_executor(), clock_, registry_, {}),
        http_(io_.get_executor(), clock_, handler_, registry_, budget_, {}),
        signals_(io_, SIGTERM, SIGINT) {}

  process::exit_code Run() {
    Spawn(Start());
    Spawn(AwaitLogFailure());
    Spawn(AwaitSignal());
    Spawn(UpdateGauges());
    io_.run();
    return result_;
  }

 private:
  void Spawn(awaitable<void> task) {
    asio::co_spawn(io_, std::move(task), asio::detached);
  }

  void Exit(process::exit_code code) {
    result_ = code;
    io_.stop();
  }

  awaitable<void> Start() {
    machine_.SetObserver(&leader_);
    const auto started = co_await node_.Start();
    if (!started) {
      spdlog::error("{}", core::Describe(started.error()));
      Exit(process::exit_code::kFailed);
      co_return;
    }
    leader_.Start();
    const outcome<void> listening[] = {
        peer_listener_.Start(settings_.Endpoint("listen", "peers")),
        entry_listener_.Start(settings_.Endpoint("listen", "entries"))};
    for (const auto& started_listener : listening) {
      if (started_listener) continue;
      spdlog::error("{}", core::Describe(started_listener.error()));
      Exit(process::exit_code::kFailed);
      co_return;
    }
    const auto http = http_.Listen(settings_.Endpoint("listen", "http"));
    if (!http) {
      spdlog::error("{}", core::Describe(http.error()));
      Exit(process::exit_code::kFailed);
      co_return;
    }
    spdlog::info("member {} of cell {} started", hello_.member.v,
                 hello_.cell.v);
  }

  awaitable<void> AwaitLogFailure() {
    const core::failure failure = co_await node_.Stopped();
    if (stopping_) co_return;
    spdlog::critical("the log stopped: {}", core::Describe(failure));
    Exit(process::exit_code::kFailed);
  }

  awaitable<void> AwaitSignal() {
    co_await signals_.async_wait(asio::use_awaitable);
    stopping_ = true;
    spdlog::info("stopping");
    // Leadership moves first, so that entries find the next leader at once.
    co_await node_.Stop();
    entry_server_.Stop();
    co_await core::SleepFor(clock_, kShutdownNoticeTime);
    leader_.Stop();
    peer_listener_.Stop();
    entry_listener_.Stop();
    Exit(process::exit_code::kOk);
  }

  awaitable<void> UpdateGauges() {
    metrics::gauge& is_leader = registry_.Gauge(
        "mangoplank_log_leads", "1 while this process leads the log.");
    metrics::gauge& term =
        registry_.Gauge("mangoplank_log_term", "Term of the log.");
    metrics::gauge& applied = registry_.Gauge("mangoplank_log_applied_revision",
                                              "Last applied revision.");
    metrics::gauge& workers =
        registry_.Gauge("mangoplank_workers", "Registered workers.");
    metrics::gauge& tasks = registry_.Gauge("mangoplank_tasks", "Known tasks.");
    while (true) {
      const consensus::node_status status = node_.Status();
      is_leader.Set(status.is_leader ? 1 : 0);
      term.Set(static_cast<double>(status.term));
      applied.Set(static_cast<double>(status.applied));
      workers.Set(static_cast<double>(machine_.State().Workers().size()));
      tasks.Set(static_cast<double>(machine_.State().Tasks().size()));
      co_await core::SleepFor(clock_, core::milliseconds(1000));
    }
  }

  const settings::values& settings_;
  asio::io_context io_{1};
  core::system_clock clock_;
  metrics::registry registry_;
  distribution::history history_;
  machine machine_;
  wire::connection_context context_;
  wire::peer_hello hello_;
  wire::peer_transport transport_;
  consensus::local_disk disk_;
  consensus::thread_runner runner_;
  consensus::node node_;
  leader leader_;
  entry_server entry_server_;
  wire::peer_acceptor peer_listener_;
  wire::listener entry_listener_;
  api::process_handler handler_;
  process::memory_budget budget_;
  api::server http_;
  asio::signal_set signals_;
  bool stopping_ = false;
  process::exit_code result_ = process::exit_code::kOk;
};

}  // namespace

process::exit_code RunControl(const settings::values& settings) {
  // Never destroyed: tasks that still wait at exit refer to components that
  // would be destroyed before the io_context that owns the tasks.
  static auto& components = *new control_components(settings);
  return components.Run();
}

}  // namespace mangoplank::control
