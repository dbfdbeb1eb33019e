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

consensus::node_settings NodeSettings(const settings::values& v) {
  consensus::node_settings s;
  s.cell = {v.Text("member", "cell")};
  s.self = {v.Text("member", "name")};
  for (const auto& [name, address] : v.Table("members")) {
    s.initial_members.push_back({{name}, address});
  }
  s.create = v.Text("member", "start") == "create";
  s.join = v.Text("member", "start") == "join";
  s.election_timeout = v.Milliseconds("consensus", "election_timeout");
  s.heartbeat_interval = v.Milliseconds("consensus", "heartbeat_interval");
  s.snapshot_after_bytes =
      static_cast<std::uint64_t>(v.Integer("consensus", "snapshot_after"));
  return s;
}

leader_settings LeaderSettings(const settings::values& v) {
  constexpr double kPercent = 0.01;
  const auto weight = [&](const char* key) {
    return kPercent * static_cast<double>(v.Integer("placement", key));
  };
  leader_settings s;
  s.leases = {v.Milliseconds("worker", "lease"),
              v.Milliseconds("worker", "margin")};
  s.slots = {v.Milliseconds("slots", "lease")};
  s.policy.weights = {weight("waiting_weight"), weight("packing_weight"),
                      weight("control_weight")};
  s.hold = v.Milliseconds("worker", "hold");
  s.round_interval = v.Milliseconds("placement", "interval");
  s.retention = v.Milliseconds("history", "retention");
  return s;
}

entry_server_settings EntryServerSettings(const settings::values& v) {
  entry_server_settings s;
  s.cell = {v.Text("member", "cell")};
  return s;
}

}  // namespace mangoplank::control
