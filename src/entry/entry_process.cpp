#include "entry_process.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "mangoplank/api/resource_interface.h"
#include "mangoplank/api/server.h"
#include "mangoplank/calls/dispatcher.h"
#include "mangoplank/calls/http_transport.h"
#include "mangoplank/control/leader_client.h"
#include "mangoplank/membership/entry_announcer.h"
#include "objective_meter.h"

namespace mangoplank::entry {

namespace asio = boost::asio;
using core::awaitable;

namespace {

/// Longest wait for the next batch of the feed; progress marks arrive sooner.
constexpr core::milliseconds kFeedWaitTimeout{1'000};

control::hello MakeHello(const settings::values& values,
                         core::incarnation incarnation) {
  return {.cell = {values.Text("entry", "cell")},
          .entry = {values.Text("entry", "name")},
          .incarnation = incarnation,
          .region = {values.Text("entry", "region")}};
}

/// @return settings with the nearest control process first.
control::leader_client_settings MakeClientSettings(
    const settings::values& values, const control::hello& self) {
  control::leader_client_settings client{.self = self};
  const std::string& nearest = values.Text("control", "nearest");
  for (const auto& [name, address] : values.Table("control_members")) {
    const control::control_process process{{name}, address};
    client.processes.insert(
        name == nearest ? client.processes.begin() : client.processes.end(),
        process);
  }
  return client;
}

api::interface_settings MakeInterfaceSettings(const settings::values& values,
                                              const control::hello& hello) {
  api::interface_settings interface;
  interface.admin_token_sha256 = values.Text("auth", "admin_sha256");
  interface.worker_token_sha256 = values.Text("auth", "worker_sha256");
  interface.process_id =
      hello.entry.v + "-" + std::to_string(hello.incarnation);
  interface.max_view_age = values.Milliseconds("serve", "freshness");
  return interface;
}

api::server_limits MakeServerLimits(const settings::values& values) {
  api::server_limits limits;
  limits.max_connections =
      static_cast<std::size_t>(values.Integer("listen", "max_connections"));
  limits.max_body_bytes =
      static_cast<std::uint64_t>(values.Integer("listen", "max_body"));
  return limits;
}

process::memory_limits MakeMemoryLimits(const settings::values& values) {
  process::memory_limits limits;
  // A body takes several times its length on its way.
  limits.bytes = static_cast<std::uint64_t>(
      std::max(values.Integer("serve", "request_memory"),
               8 * values.Integer("listen", "max_body")));
  limits.reserve = limits.bytes / 4;
  return limits;
}

/// Owns and connects the components of an entry process.
class entry_process {
 public:
  explicit entry_process(const settings::values& values)
      : values_(values),
        clock_(io_.get_executor()),
        hello_(MakeHello(values,
                         static_cast<core::incarnation>(clock_.WallNow()))),
        context_{io_.get_executor(), clock_, registry_, {}},
        client_(MakeClientSettings(values, hello_), context_,
                std::random_device()(),
                {.replies =
                     [this](control::reply_batch batch) {
                       announcer_.OnReplies(std::move(batch));
                     },
                 .grants =
                     [this](const control::slot_grants& grants) {
                       dispatcher_.ApplyGrants(grants);
                     }}),
        announcer_(
            io_.get_executor(), clock_,
            [this](control::announcement_batch batch) {
              return client_.Send(std::move(batch)).has_value();
            },
            values.Milliseconds("serve", "announcement_batch"),
            static_cast<std::size_t>(
                values.Integer("serve", "max_announcements"))),
        transport_({}, io_.get_executor(), clock_, registry_),
        dispatcher_({}, io_.get_executor(), clock_, view_, client_, transport_,
                    registry_, hello_.entry, hello_.incarnation, hello_.region,
                    std::random_device()()),
        meter_(dispatcher_, view_, clock_, {hello_.entry, hello_.incarnation},
               hello_.region),
        interface_({client_, view_, meter_, announcer_, registry_, clock_,
                    [this](const core::department_id& department) {
                      return meter_.ToJson(department);
                    }},
                   MakeInterfaceSettings(values, hello_)),
        budget_(io_.get_executor(), clock_, registry_,
                MakeMemoryLimits(values)),
        server_(io_.get_executor(), clock_, interface_, registry_, budget_,
                MakeServerLimits(values)),
        signals_(io_, SIGTERM, SIGINT) {}

  process::exit_code Run() {
    dispatcher_.SetCutOff(true);
    client_.Start();
    Spawn(ApplyFeed());
    Spawn(WatchFreshness());
    Spawn(ReportSlots());
    Spawn(CloseIdleConnections());
    Spawn(DrainOnSignal());
    const auto listening = server_.Listen(values_.Endpoint("listen", "http"));
    if (!listening) {
      spdlog::error("{}", core::Describe(listening.error()));
      return process::exit_code::kFailed;
    }
    spdlog::info("entry {} listens on {}:{}", hello_.entry.v,
                 listening->address, listening->port);
    io_.run();
    return process::exit_code::kOk;
  }

 private:
  void Spawn(awaitable<void> task) {
    asio::co_spawn(io_, std::move(task), asio::detached);
  }

  awaitable<void> ApplyFeed() {
    auto feed = client_.Subscribe(control::topic::kRouting, {}, 0);
    while (true) {
      const auto batch = co_await feed->Next(clock_.Now() + kFeedWaitTimeout);
      if (batch) {
        view_.Apply(*batch, clock_.Now());
        meter_.Refresh();
        client_.SetInForce(view_.Revision());
        continue;
      }
      if (std::holds_alternative<core::revision_compacted>(batch.error())) {
        feed = client_.Subscribe(control::topic::kRouting, {}, 0);
      }
    }
  }

  /// An entry must not serve from a view that it can't confirm to be in force.
  awaitable<void> WatchFreshness() {
    constexpr core::milliseconds kInterval{100};
    const core::milliseconds limit = values_.Milliseconds("serve", "freshness");
    bool cut_off = true;
    while (true) {
      const bool fresh =
          view_.Revision() != 0 && clock_.Now() - view_.ConfirmedAt() < limit;
      if (cut_off == fresh) {
        cut_off = !fresh;
        dispatcher_.SetCutOff(cut_off);
        spdlog::warn("{} at revision {}",
                     cut_off ? "cut off from the control processes" : "serving",
                     view_.Revision());
      }
      co_await core::SleepFor(clock_, kInterval);
    }
  }

  awaitable<void> ReportSlots() {
    const core::milliseconds interval =
        values_.Milliseconds("serve", "slot_interval");
    while (true) {
      // Without a leader the report is dropped, and the grants expire.
      client_.Send(dispatcher_.BuildReport());
      co_await dispatcher_.ReportNeeded().WaitUntil(clock_.Now() + interval);
    }
  }

  /// Closes the idle connections to workers that get no more calls.
  awaitable<void> CloseIdleConnections() {
    constexpr core::milliseconds kInterval{5'000};
    while (true) {
      co_await core::SleepFor(clock_, kInterval);
      transport_.CloseIdle();
    }
  }

  awaitable<void> DrainOnSignal() {
    co_await signals_.async_wait(asio::use_awaitable);
    spdlog::info("draining");
    interface_.BeginDrain();
    const core::milliseconds delay =
        values_.Milliseconds("drain", "balancer_delay");
    const core::time_point deadline =
        clock_.Now() + delay + values_.Milliseconds("drain", "limit");
    co_await core::SleepFor(clock_, delay);
    co_await server_.Stop(delay, deadline);
    co_await dispatcher_.Drain(deadline);
    spdlog::info("stopped");
    io_.stop();
  }

  const settings::values& values_;
  asio::io_context io_{1};
  core::system_clock clock_;
  metrics::registry registry_;
  control::hello hello_;
  wire::connection_context context_;
  control::leader_client client_;
  distribution::view view_;
  membership::entry_announcer announcer_;
  calls::http_transport transport_;
  calls::dispatcher dispatcher_;
  objective_meter meter_;
  api::resource_interface interface_;
  process::memory_budget budget_;
  api::server server_;
  asio::signal_set signals_;
};

}  // namespace

process::exit_code RunEntry(const settings::values& values) {
  // Never destroyed: suspended tasks refer to members that would be destroyed
  // before the io_context that owns the tasks.
  static auto& instance = *new entry_process(values);
  return instance.Run();
}

}  // namespace mangoplank::entry
