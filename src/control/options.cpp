#include "options.h"

#include "mangoplank/process/program.h"

namespace mangoplank::control {

using settings::choice_option;
using settings::endpoint_option;
using settings::endpoint_table_option;
using settings::integer_option;
using settings::text_option;

std::vector<settings::option> Options() {
  return process::Join(
      {{"member", "name", text_option{"", true, 63},
        "Name of this process among the members of the log."},
       {"member", "cell", text_option{"", true, 63}, "Name of the cell."},
       {"member", "region", text_option{"", true, 63},
        "Region in which this VM stands."},
       {"member", "data", text_option{"", true}, "Data folder."},
       {"member", "start",
        choice_option{"resume", {"resume", "create", "join"}},
        "`create` makes the data folder of a new cell, `join` that of a new "
        "member of a running cell; `resume` needs a folder and never starts "
        "with an empty state."},
       {"listen", "peers", endpoint_option{"", true},
        "Address for other control processes."},
       {"listen", "entries", endpoint_option{"", true}, "Address for entries."},
       {"listen", "http", endpoint_option{"", true},
        "Address for /healthz, /readyz and /metrics."},
       {"members", "", endpoint_table_option{},
        "Peer address of each control process of a new cell."},
       {"consensus", "election_timeout",
        integer_option{1000, 100, 60'000, "ms"},
        "Silence of the leader after which an election begins."},
       {"consensus", "heartbeat_interval",
        integer_option{200, 10, 10'000, "ms"},
        "Interval of the leader's heartbeats."},
       {"consensus", "snapshot_after",
        integer_option{8 * 1024 * 1024, 4096, 1024 * 1024 * 1024, "bytes"},
        "Size of the log after which a snapshot is taken and the log cut."},
       {"worker", "lease", integer_option{10'000, 500, 600'000, "ms"},
        "Time for which a worker goes on after an announcement."},
       {"worker", "margin", integer_option{1'000, 50, 60'000, "ms"},
        "Added to a lease, beside 5% drift, before it counts as ended."},
       {"worker", "hold", integer_option{1'500, 10, 10'000, "ms"},
        "Longest time that an announcement waits for orders."},
       {"slots", "lease", integer_option{5'000, 500, 60'000, "ms"},
        "Time for which an entry holds slots of workers."},
       {"placement", "waiting_weight", integer_option{100, 0, 10'000, "%"},
        "Weight of waiting time against packing and control cost."},
       {"placement", "packing_weight", integer_option{100, 0, 10'000, "%"},
        "Weight of room that is left over on workers."},
       {"placement", "control_weight", integer_option{100, 0, 10'000, "%"},
        "Weight of bytes between regions."},
       {"placement", "interval", integer_option{50, 1, 5'000, "ms"},
        "Shortest time between two placement rounds."},
       {"history", "bytes",
        integer_option{4 * 1024 * 1024, 65'536, 1024 * 1024 * 1024, "bytes"},
        "Changes kept for entries that resume."},
       {"history", "retention",
        integer_option{3'600'000, 60'000, 604'800'000, "ms"},
        "Time for which ended jobs, calls and request ids are kept."}},
      process::LogOptions());
}

consensus::node_settings NodeSettings(const settings::values& values) {
  consensus::node_settings settings;
  settings.cell = {values.Text("member", "cell")};
  settings.self = {values.Text("member", "name")};
  for (const auto& [name, address] : values.Table("members")) {
    settings.initial_members.push_back({{name}, address});
  }
  settings.create = values.Text("member", "start") == "create";
  settings.join = values.Text("member", "start") == "join";
  settings.election_timeout =
      values.Milliseconds("consensus", "election_timeout");
  settings.heartbeat_interval =
      values.Milliseconds("consensus", "heartbeat_interval");
  settings.snapshot_after_bytes =
      static_cast<std::uint64_t>(values.Integer("consensus", "snapshot_after"));
  return settings;
}

leader_settings LeaderSettings(const settings::values& values) {
  constexpr double kPercent = 0.01;
  const auto weight = [&](const char* key) {
    return kPercent * static_cast<double>(values.Integer("placement", key));
  };
  leader_settings settings;
  settings.leases = {values.Milliseconds("worker", "lease"),
                     values.Milliseconds("worker", "margin")};
  settings.slots = {values.Milliseconds("slots", "lease")};
  settings.policy.weights = {weight("waiting_weight"), weight("packing_weight"),
                             weight("control_weight")};
  settings.max_reply_delay = values.Milliseconds("worker", "max_reply_delay");
  settings.round_interval = values.Milliseconds("placement", "interval");
  settings.retention = values.Milliseconds("history", "retention");
  return settings;
}

entry_server_settings EntryServerSettings(const settings::values& values) {
  entry_server_settings settings;
  settings.cell = {values.Text("member", "cell")};
  return settings;
}

}  // namespace mangoplank::control
