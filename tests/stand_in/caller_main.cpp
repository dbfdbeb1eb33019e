#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

#include "caller.h"

namespace {

namespace po = boost::program_options;

constexpr const char* kMixHelp =
    "OPERATION:once|any:DEADLINE_MS:WEIGHT, may be repeated";

po::options_description Options() {
  po::options_description d("stand-in-caller");
  auto add = d.add_options();
  add("help", "print this");
  add("entries", po::value<std::string>()->required(),
      "entries behind the balancer, ADDRESS:PORT,...");
  add("department", po::value<std::string>()->required(), "department");
  add("service", po::value<std::string>()->required(), "service");
  add("token", po::value<std::string>()->default_value(""), "bearer token");
  add("mix", po::value<std::vector<std::string>>()->composing(), kMixHelp);
  add("rate", po::value<double>()->default_value(100), "calls per second");
  add("calls", po::value<std::size_t>()->default_value(1000), "calls to send");
  add("max-in-flight", po::value<std::size_t>()->default_value(200),
      "calls at once");
  add("resends", po::value<int>()->default_value(3),
      "resends of a once-call without a final outcome");
  add("body-bytes", po::value<std::size_t>()->default_value(64), "body size");
  add("name", po::value<std::string>()->default_value("caller"),
      "prefix of call ids and idempotency keys");
  add("journal", po::value<std::string>()->default_value(""),
      "file of JSON lines");
  add("seed", po::value<std::uint64_t>()->default_value(1), "random seed");
  return d;
}

stand_in::call_kind ParseKind(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> parts;
  for (std::string part; std::getline(in, part, ':');) parts.push_back(part);
  if (parts.size() != 4 || (parts[1] != "once" && parts[1] != "any")) {
    throw po::error("not " + std::string(kMixHelp) + ": " + text);
  }
  return {parts[0], parts[1] == "once",
          std::chrono::milliseconds(std::stoi(parts[2])), std::stod(parts[3])};
}

stand_in::caller_options Read(const po::variables_map& v) {
  stand_in::caller_options o;
  o.name = v["name"].as<std::string>();
  o.department = v["department"].as<std::string>();
  o.service = v["service"].as<std::string>();
  o.token = v["token"].as<std::string>();
  o.rate = v["rate"].as<double>();
  o.calls = v["calls"].as<std::size_t>();
  o.max_in_flight = v["max-in-flight"].as<std::size_t>();
  o.resends = v["resends"].as<int>();
  o.body_bytes = v["body-bytes"].as<std::size_t>();
  o.seed = v["seed"].as<std::uint64_t>();
  if (v.count("mix") != 0) {
    for (const auto& m : v["mix"].as<std::vector<std::string>>()) {
      o.mix.push_back(ParseKind(m));
    }
  } else {
    o.mix = {{"check", false, std::chrono::milliseconds(300), 7},
             {"book", true, std::chrono::milliseconds(2000), 3}};
  }
  return o;
}

int Run(const po::variables_map& v) {
  boost::asio::io_context io(1);
  mangoplank::core::system_clock clock(io.get_executor());
  stand_in::journal journal(v["journal"].as<std::string>());
  stand_in::balancer balancer(
      stand_in::ParseEndpoints(v["entries"].as<std::string>()),
      io.get_executor(), clock);
  balancer.Start();
  stand_in::caller caller(Read(v), balancer, io.get_executor(), clock, journal);
  boost::asio::co_spawn(io, caller.Run(),
                        [&](std::exception_ptr) { io.stop(); });
  boost::asio::signal_set end(io, SIGTERM, SIGINT);
  end.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  for (const auto& [outcome, n] : caller.Counts()) {
    std::cout << outcome << ' ' << n << " calls\n";
  }
  std::cout << "done_p50 " << caller.Quantile(0.5).count() << " us\n"
            << "done_p99 " << caller.Quantile(0.99).count() << " us\n";
  return caller.Counts().contains("wrong_answer") ? 1 : 0;
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
