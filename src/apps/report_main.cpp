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

po::options_description DescribeOptions() {
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

/// Rejects characters that could end the HTTP header with the token.
core::outcome<std::string> CheckToken(std::string token) {
  token.erase(token.find_last_not_of(" \t\r\n") + 1);
  for (const char c : token) {
    if (c <= ' ' || c > '~') {
      return Invalid("token", "must be printable ASCII without spaces");
    }
  }
  return token;
}

core::outcome<std::string> ReadToken(const po::variables_map& options) {
  if (options.count("token-file") == 0) {
    const char* token = std::getenv("MANGOPLANK_TOKEN");
    return CheckToken(token == nullptr ? "" : token);
  }
  const auto file = options["token-file"].as<std::string>();
  std::ifstream in(file);
  std::string token;
  if (!std::getline(in, token)) {
    return Invalid("token-file", file + " is empty or cannot be read");
  }
  return CheckToken(token);
}

core::outcome<std::vector<core::endpoint>> ReadEntries(
    const po::variables_map& options) {
  std::vector<core::endpoint> entries;
  if (options.count("entry") == 0) return entries;
  for (const auto& text : options["entry"].as<std::vector<std::string>>()) {
    const auto e = core::Capture([&] { return settings::ParseEndpoint(text); });
    if (!e) {
      return Invalid("entry", text + " is not of the form IP-ADDRESS:PORT");
    }
    entries.push_back(*e);
  }
  return entries;
}

std::optional<std::string> GetText(const po::variables_map& options,
                                   const char* option) {
  if (options.count(option) == 0) return {};
  return options[option].as<std::string>();
}

core::outcome<report_request> ReadRequest(const po::variables_map& options) {
  report_request request;
  const auto entries = ReadEntries(options);
  if (!entries) return entries.error();
  request.entries = *entries;
  const auto token = ReadToken(options);
  if (!token) return token.error();
  request.token = *token;
  request.history = GetText(options, "history");
  request.html = GetText(options, "html");
  if (request.entries.empty() && !request.history) {
    return Invalid("entry", "at least one --entry or a --history is required");
  }
  const auto timeout = options["timeout-ms"].as<std::int64_t>();
  if (timeout < 1 || timeout > kMaxTimeoutMs) {
    return Invalid("timeout-ms",
                   fmt::format("must be from 1 to {}", kMaxTimeoutMs));
  }
  request.timeout = core::milliseconds(timeout);
  const auto format = options["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return Invalid("output", "must be table or json");
  }
  request.output_format =
      format == "json" ? output_format::kJson : output_format::kTable;
  return request;
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
  std::cerr
      << "mangoplank-report: cannot write the report to standard output\n";
  return exit_code::kFailed;
}

exit_code Usage(const std::string& reason) {
  std::cerr << "mangoplank-report: " << reason << "; see --help\n";
  return exit_code::kUsage;
}

exit_code Main(int argc, char** argv) {
  const po::options_description all = DescribeOptions();
  po::variables_map options;
  try {
    po::store(po::parse_command_line(argc, argv, all), options);
  } catch (const po::error& e) {
    return Usage(e.what());
  }
  if (options.count("help") != 0) {
    std::cout << "mangoplank-report: burn of the error budgets of services\n\n"
              << all << kExitCodes;
    return exit_code::kFine;
  }
  if (options.count("version") != 0) {
    std::cout << "mangoplank-report " << MANGOPLANK_VERSION << "\n";
    return exit_code::kFine;
  }
  const auto request = ReadRequest(options);
  if (!request) return Usage(core::Describe(request.error()));
  return Report(*request);
}

}  // namespace
}  // namespace mangoplank::report

int main(int argc, char** argv) {
  return static_cast<int>(mangoplank::report::Main(argc, argv));
}
