#include "mangoplank/process/program.h"

#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <iostream>

namespace mangoplank::process {

namespace po = boost::program_options;

namespace {

po::options_description CommandLine() {
  po::options_description all("Options");
  auto add = all.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("config", po::value<std::string>(), "settings file (INI)");
  add("check-config", "check the settings file and end");
  add("document", "print the table of settings as Markdown");
  return all;
}

void SetUpLogs(const settings::values& v) {
  auto logger = spdlog::stdout_logger_st("mangoplank");
  logger->set_level(spdlog::level::from_str(v.Text("log", "level")));
  logger->flush_on(spdlog::level::warn);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(std::chrono::seconds(1));
}

exit_code Usage(const std::string& text) {
  std::cerr << text << "\n";
  return exit_code::kUsage;
}

exit_code RunParsed(const program& p, const po::options_description& all,
                    const po::variables_map& given) {
  if (given.count("help") != 0) {
    std::cout << p.name << ": " << p.summary << "\n\n" << all;
    return exit_code::kOk;
  }
  if (given.count("version") != 0) {
    std::cout << p.name << " " << MANGOPLANK_VERSION << "\n";
    return exit_code::kOk;
  }
  if (given.count("document") != 0) {
    std::cout << settings::Document(p.options);
    return exit_code::kOk;
  }
  if (given.count("config") == 0) {
    return Usage(p.name + ": --config FILE is needed; see --help");
  }
  const auto file = given["config"].as<std::string>();
  const auto v = core::Capture([&] { return settings::Load(p.options, file); });
  if (!v) return Usage(p.name + ": " + core::Describe(v.error()));
  if (given.count("check-config") != 0) {
    std::cout << file << ": ok\n";
    return exit_code::kOk;
  }
  SetUpLogs(*v);
  return p.run(*v);
}

}  // namespace

int Main(const program& p, int argc, char** argv) {
  const po::options_description all = CommandLine();
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, all), given);
  } catch (const po::error& e) {
    return static_cast<int>(Usage(fmt::format("{}: {}", p.name, e.what())));
  }
  return static_cast<int>(RunParsed(p, all, given));
}

std::vector<settings::option> LogOptions() {
  return {{"log", "level",
           settings::choice_option{
               "info", {"trace", "debug", "info", "warning", "error"}},
           "Least severe level that is logged."}};
}

std::vector<settings::option> Join(std::vector<settings::option> first,
                                   const std::vector<settings::option>& more) {
  first.insert(first.end(), more.begin(), more.end());
  return first;
}

}  // namespace mangoplank::process
