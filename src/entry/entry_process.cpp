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

/// Longest wait for the next batch of the feed; progress marks come sooner.
constexpr core::milliseconds kFeedWait{1'000};

control::hello HelloOf(const settings::values& v,
                       core::incarnation incarnation) {
  return {.cell = {v.Text("entry", "cell")},
          .entry = {v.Text("entry", "name")},
          .incarnation = incarnation,
          .region = {v.Text("entry", "region")}};
}

/// @return the control processes, the nearest first.
control::leader_client_settings ClientSettings(const settings::values& v,
                                               const control::hello& self) {
  control::leader_client_settings s{.self = self};
  const std::string& nearest = v.Text("control", "nearest");
  for (const auto& [name, address] : v.Table("control_members")) {
    const control::control_process p{{name}, address};
    s.processes.insert(
        name == nearest ? s.processes.begin() : s.processes.end(), p);
  }
  return s;
}

api::interface_settings InterfaceSettings(const settings::values& v,
                                          const control::hello& h) {
  api::interface_settings s;
  s.admin_token_sha256 = v.Text("auth", "admin_sha256");
  s.worker_token_sha256 = v.Text("auth", "worker_sha256");
  s.process_id = h.entry.v + "-" + std::to_string(h.incarnation);
  s.max_view_age = v.Milliseconds("serve", "freshness");
  return s;
}

api::server_limits ServerLimits(const settings::values& v) {
  api::server_limits l;
  l.max_connections =
      static_cast<std::size_t>(v.Integer("listen", "max_connections"));
  l.max_body_bytes =
      static_cast<std::uint64_t>(v.Integer("listen", "max_body"));
  return l;
}

/// All parts of an entry process.
class entry_process {
 public:
  explicit entry_process(const settings::values& v)
      : v_(v),
        clock_(io_.get_executor()),
        hello_(HelloOf(v, static_cast<core::incarnation>(clock_.WallNow()))),
        context_{io_.get_executor(), clock_, registry_, {}},
        client_(ClientSettings(v, hello_), context_, std::random_device()(),
                {.replies =
                     [this](control::reply_batch b) {
                       announcer_.OnReplies(std::move(b));
                     },
                 .grants =
                     [this](const control::slot_grants& g) {
                       dispatcher_.ApplyGrants(g);
                     }}),
        announcer_(
            io_.get_executor(), clock_,
            [this](control::announcement_batch b) {
              return client_.Send(std::move(b)).has_value();
            },
            v.Milliseconds("serve", "announcement_batch"),
            static_cast<std::size_t>(v.Integer("serve", "max_announcements"))),
        transport_({}, io_.get_executor(), clock_, registry_),
        dispatcher_({}, io_.get_executor(), clock_, view_, client_, transport_,
                    registry_, hello_.entry, hello_.incarnation, hello_.region,
                    std::random_device()()),
        meter_(dispatcher_, view_, clock_, {hello_.entry, hello_.incarnation},
               hello_.region),
        interface_(
            {client_, view_, meter_, announcer_, registry_, clock_,
             [this](const core::department_id& d) { return meter_.Json(d); }},
            InterfaceSettings(v, hello_)),
        server_(io_.get_executor(), clock_, interface_, registry_,
                ServerLimits(v)),
        signals_(io_, SIGTERM, SIGINT) {}

  process::exit_code Run() {
    dispatcher_.SetCutOff(true);
    client_.Start();
    Spawn(FollowState());
    Spawn(WatchFreshness());
    Spawn(ReportSlots());
    Spawn(AwaitSignal());
    const auto listening = server_.Listen(v_.Endpoint("listen", "http"));
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

  awaitable<void> FollowState() {
    auto feed = client_.Subscribe(control::topic::kRouting, {}, 0);
    while (true) {
      const auto batch = co_await feed->Next(clock_.Now() + kFeedWait);
      if (batch) {
        view_.Apply(*batch, clock_.Now());
        meter_.Refresh();
        client_.SetInForce(view_.At());
        continue;
      }
      if (std::holds_alternative<core::revision_compacted>(batch.error())) {
        feed = client_.Subscribe(control::topic::kRouting, {}, 0);
      }
    }
  }

  /// An entry that can't confirm what is in force must not serve by it.
  awaitable<void> WatchFreshness() {
    constexpr core::milliseconds kInterval{100};
    const core::milliseconds limit = v_.Milliseconds("serve", "freshness");
    bool cut_off = true;
    while (true) {
      const bool fresh =
          view_.At() != 0 && clock_.Now() - view_.ConfirmedAt() < limit;
      if (cut_off == fresh) {
        cut_off = !fresh;
        dispatcher_.SetCutOff(cut_off);
        spdlog::warn("{} at revision {}",
                     cut_off ? "cut off from the control processes" : "serving",
                     view_.At());
      }
      co_await core::SleepFor(clock_, kInterval);
    }
  }

  awaitable<void> ReportSlots() {
    const core::milliseconds interval =
        v_.Milliseconds("serve", "slot_interval");
    while (true) {
      // Without a leader there is nobody to report to; the grants run out.
      client_.Send(dispatcher_.BuildReport());
      co_await dispatcher_.ReportNeeded().WaitUntil(clock_.Now() + interval);
    }
  }

  awaitable<void> AwaitSignal() {
    co_await signals_.async_wait(asio::use_awaitable);
    spdlog::info("draining");
    interface_.BeginDrain();
    const core::milliseconds delay = v_.Milliseconds("drain", "balancer_delay");
    const core::time_point deadline =
        clock_.Now() + delay + v_.Milliseconds("drain", "limit");
    co_await core::SleepFor(clock_, delay);
    co_await server_.Stop(delay, deadline);
    co_await dispatcher_.Drain(deadline);
    spdlog::info("stopped");
    io_.stop();
  }

  const settings::values& v_;
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
  api::server server_;
  asio::signal_set signals_;
};

}  // namespace

process::exit_code RunEntry(const settings::values& v) {
  // Never destroyed: tasks that still wait at the end refer to parts that would
  // go before the io_context that owns the tasks.
  static auto& parts = *new entry_process(v);
  return parts.Run();
}

}  // namespace mangoplank::entry
