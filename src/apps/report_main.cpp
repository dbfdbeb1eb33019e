#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <variant>

#include "mangoplank/report/program.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::report {
namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;

constexpr std::int64_t kMaxTimeoutMs = 600'000;

po::options_description CommandLine() {
  po::options_description all("Options");
  auto add = all.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("entry", po::value<std::vector<std::string>>(),
      "ADDRESS:PORT of an entry; give it once for each entry");
  add("history", po::value<std::string>(),
      "file that keeps the counts of entries that restart or are lost");
  add("output", po::value<std::string>()->default_value("table"),
      "table or json");
  add("html", po::value<std::string>(), "file for a page with plots");
  add("token-file", po::value<std::string>(),
      "file with the token; else MANGOPLANK_TOKEN is used");
  add("timeout-ms", po::value<std::int64_t>()->default_value(5000),
      "time for each entry to answer");
  return all;
}

constexpr char kExitCodes[] =
    "\nExit codes: 0 fine, 1 failure, 2 usage, 3 page, 4 ticket.\n";

core::failure Invalid(std::string option, std::string reason) {
  return core::invalid_setting{"command line", 0, std::move(option),
                               std::move(reason)};
}

/// A token goes into a header line, so that it must not end that line.
core::outcome<std::string> CheckToken(std::string token) {
  token.erase(token.find_last_not_of(" \t\r\n") + 1);
  for (const char c : token) {
    if (c <= ' ' || c > '~') {
      return Invalid("token", "must be printable ASCII without spaces");
    }
  }
  return token;
}

core::outcome<std::string> ReadToken(const po::variables_map& given) {
  if (given.count("token-file") == 0) {
    const char* token = std::getenv("MANGOPLANK_TOKEN");
    return CheckToken(token == nullptr ? "" : token);
  }
  const auto file = given["token-file"].as<std::string>();
  std::ifstream in(file);
  std::string token;
  if (!std::getline(in, token)) {
    return Invalid("token-file", file + " has no line that can be read");
  }
  return CheckToken(token);
}

core::outcome<std::vector<core::endpoint>> ReadEntries(
    const po::variables_map& given) {
  std::vector<core::endpoint> entries;
  if (given.count("entry") == 0) return entries;
  for (const auto& text : given["entry"].as<std::vector<std::string>>()) {
    const auto e = core::Capture([&] { return settings::ParseEndpoint(text); });
    if (!e) return Invalid("entry", text + " is not IP-ADDRESS:PORT");
    entries.push_back(*e);
  }
  return entries;
}

std::optional<std::string> TextOf(const po::variables_map& given,
                                  const char* option) {
  if (given.count(option) == 0) return {};
  return given[option].as<std::string>();
}

core::outcome<report_request> ReadRequest(const po::variables_map& given) {
  report_request r;
  const auto entries = ReadEntries(given);
  if (!entries) return entries.error();
  r.entries = *entries;
  const auto token = ReadToken(given);
  if (!token) return token.error();
  r.token = *token;
  r.history = TextOf(given, "history");
  r.html = TextOf(given, "html");
  if (r.entries.empty() && !r.history) {
    return Invalid("entry", "at least one entry or a history is needed");
  }
  const auto timeout = given["timeout-ms"].as<std::int64_t>();
  if (timeout < 1 || timeout > kMaxTimeoutMs) {
    return Invalid("timeout-ms",
                   fmt::format("must be from 1 to {}", kMaxTimeoutMs));
  }
  r.timeout = core::milliseconds(timeout);
  const auto output = given["output"].as<std::string>();
  if (output != "table" && output != "json") {
    return Invalid("output", "must be table or json");
  }
  r.o = output == "json" ? output::kJson : output::kTable;
  return r;
}

core::awaitable<void> RunInto(const report_request& request, core::clock& clock,
                              report_result* result) {
  *result = co_await Run(request, clock);
}

exit_code Report(const report_request& request) {
  asio::io_context io;
  core::system_clock clock(io.get_executor());
  report_result result;
  asio::co_spawn(io, RunInto(request, clock, &result), asio::detached);
  io.run();
  std::cout << result.text << std::flush;
  for (const core::failure& f : result.failures) {
    std::cerr << "mangoplank-report: " << core::Describe(f) << "\n";
  }
  if (std::cout) return result.code;
  std::cerr << "mangoplank-report: the report could not be printed\n";
  return exit_code::kFailed;
}

exit_code Usage(const std::string& reason) {
  std::cerr << "mangoplank-report: " << reason << "; see --help\n";
  return exit_code::kUsage;
}

exit_code Main(int argc, char** argv) {
  const po::options_description all = CommandLine();
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, all), given);
  } catch (const po::error& e) {
    return Usage(e.what());
  }
  if (given.count("help") != 0) {
    std::cout << "mangoplank-report: burn of the error budgets of services\n\n"
              << all << kExitCodes;
    return exit_code::kFine;
  }
  if (given.count("version") != 0) {
    std::cout << "mangoplank-report " << MANGOPLANK_VERSION << "\n";
    return exit_code::kFine;
  }
  const auto request = ReadRequest(given);
  if (!request) return Usage(core::Describe(request.error()));
  return Report(*request);
}

}  // namespace
}  // namespace mangoplank::report

int main(int argc, char** argv) {
  return static_cast<int>(mangoplank::report::Main(argc, argv));
}
