#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

#include "worker.h"

namespace {

namespace po = boost::program_options;

po::options_description Options() {
  po::options_description d("stand-in-worker");
  auto add = d.add_options();
  add("help", "print this");
  add("name", po::value<std::string>()->default_value("w"),
      "name; with --count a number is appended");
  add("listen", po::value<std::string>()->required(),
      "ADDRESS:PORT; with --count the ports that follow");
  add("announce", po::value<std::string>()->default_value(""),
      "entries to announce to, ADDRESS:PORT,...");
  add("token", po::value<std::string>()->default_value(""),
      "the cell's worker token");
  add("region", po::value<std::string>()->default_value("r1"), "region");
  add("data-centre", po::value<std::string>()->default_value("r1-1"),
      "data centre");
  add("rack", po::value<std::string>()->default_value("k1"),
      "rack; with --count a number is appended for each 8 workers");
  add("cpu-milli", po::value<std::int64_t>()->default_value(64000), "capacity");
  add("memory-mib", po::value<std::int64_t>()->default_value(131072),
      "capacity");
  add("accelerators", po::value<std::int64_t>()->default_value(0), "capacity");
  add("slots", po::value<std::int64_t>()->default_value(8), "calls at once");
  add("service-ms", po::value<int>()->default_value(5),
      "mean run time of a call");
  add("operation-ms", po::value<std::vector<std::string>>()->composing(),
      "OPERATION=MS, instead of --service-ms");
  add("task-ms", po::value<int>()->default_value(1000),
      "run time of a job's task; 0 until stopped");
  add("task-failure-rate", po::value<double>()->default_value(0), "0 to 1");
  add("call-failure-rate", po::value<double>()->default_value(0), "0 to 1");
  add("mode", po::value<std::string>()->default_value("none"),
      "none, silent, no-answer, garbage, twice, close-in-answer, fail-tasks");
  add("journal", po::value<std::string>()->default_value(""),
      "file of JSON lines");
  add("count", po::value<int>()->default_value(1), "workers in this process");
  add("seed", po::value<std::uint64_t>()->default_value(1), "random seed");
  return d;
}

stand_in::misbehaviour ModeOf(const std::string& name) {
  using stand_in::misbehaviour;
  const std::map<std::string, misbehaviour> modes{
      {"none", misbehaviour::kNone},
      {"silent", misbehaviour::kSilent},
      {"no-answer", misbehaviour::kNoAnswer},
      {"garbage", misbehaviour::kGarbage},
      {"twice", misbehaviour::kTwice},
      {"close-in-answer", misbehaviour::kCloseInAnswer},
      {"fail-tasks", misbehaviour::kFailTasks}};
  const auto it = modes.find(name);
  if (it == modes.end()) throw po::error("unknown mode: " + name);
  return it->second;
}

stand_in::worker_options Read(const po::variables_map& v) {
  stand_in::worker_options o;
  const auto text = [&](const char* key) { return v[key].as<std::string>(); };
  o.name = text("name");
  o.listen = stand_in::ParseEndpoints(text("listen")).at(0);
  o.announce = stand_in::ParseEndpoints(text("announce"));
  o.token = text("token");
  o.region = text("region");
  o.data_centre = text("data-centre");
  o.rack = text("rack");
  o.cpu_milli = v["cpu-milli"].as<std::int64_t>();
  o.memory_mib = v["memory-mib"].as<std::int64_t>();
  o.accelerators = v["accelerators"].as<std::int64_t>();
  o.slots = v["slots"].as<std::int64_t>();
  o.service_time = std::chrono::milliseconds(v["service-ms"].as<int>());
  o.task_time = std::chrono::milliseconds(v["task-ms"].as<int>());
  o.task_failure_rate = v["task-failure-rate"].as<double>();
  o.call_failure_rate = v["call-failure-rate"].as<double>();
  o.mode = ModeOf(text("mode"));
  o.seed = v["seed"].as<std::uint64_t>();
  if (v.count("operation-ms") == 0) return o;
  for (const auto& item : v["operation-ms"].as<std::vector<std::string>>()) {
    const auto equals = item.find('=');
    if (equals == std::string::npos) throw po::error("not NAME=MS: " + item);
    o.operation_time[item.substr(0, equals)] =
        std::chrono::milliseconds(std::stoi(item.substr(equals + 1)));
  }
  return o;
}

/// @return the options of worker `i` of a process with several.
stand_in::worker_options Numbered(stand_in::worker_options o, int i,
                                  int count) {
  if (count == 1) return o;
  o.name += std::to_string(i);
  o.rack += std::to_string(i / 8);
  o.seed += static_cast<std::uint64_t>(i);
  o.listen.port(static_cast<std::uint16_t>(o.listen.port() + i));
  return o;
}

int Run(const po::variables_map& v) {
  boost::asio::io_context io(1);
  mangoplank::core::system_clock clock(io.get_executor());
  stand_in::journal journal(v["journal"].as<std::string>());
  const int count = v["count"].as<int>();
  const stand_in::worker_options base = Read(v);
  std::vector<std::unique_ptr<stand_in::worker>> workers;
  for (int i = 0; i < count; ++i) {
    workers.push_back(std::make_unique<stand_in::worker>(
        Numbered(base, i, count), io.get_executor(), clock, journal));
    workers.back()->Start();
  }
  // SIGUSR1 makes the workers leave; SIGTERM and SIGINT end the process.
  boost::asio::signal_set leave(io, SIGUSR1);
  leave.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    for (const auto& w : workers) w->Leave();
  });
  boost::asio::signal_set end(io, SIGTERM, SIGINT);
  end.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const po::options_description options = Options();
  try {
    po::variables_map v;
    po::store(po::parse_command_line(argc, argv, options), v);
    if (v.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(v);
    return Run(v);
  } catch (const std::exception& e) {
    spdlog::error("{}", e.what());
    return 2;
  }
}
