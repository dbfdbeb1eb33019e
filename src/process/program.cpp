#include "mangoplank/process/program.h"

#include <fmt/format.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <mutex>

namespace mangoplank::process {

namespace po = boost::program_options;

namespace {

constexpr std::chrono::milliseconds kLogBatchTime{100};
constexpr std::size_t kMaxLogBatchBytes = 16 * 1024;

po::options_description MakeCommandLineOptions() {
  po::options_description options("Options");
  auto add = options.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("config", po::value<std::string>(), "settings file (INI)");
  add("check-config", "check the settings file and end");
  add("document", "print the table of settings as Markdown");
  return options;
}

/// Writes log lines to standard output in batches: a leader logs thousands of
/// lines a second, and a system call for each takes a part of its processor.
class batching_stdout_sink : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    formatter_->format(message, batch_);
    const bool is_due = message.time >= last_write_ + kLogBatchTime;
    if (is_due || batch_.size() >= kMaxLogBatchBytes) Write(message.time);
  }
  void flush_() override { Write(spdlog::log_clock::now()); }

 private:
  void Write(spdlog::log_clock::time_point now) {
    last_write_ = now;
    std::fwrite(batch_.data(), 1, batch_.size(), stdout);
    std::fflush(stdout);
    batch_.clear();
  }

  spdlog::memory_buf_t batch_;
  spdlog::log_clock::time_point last_write_{};
};

void SetUpLogging(const settings::values& values) {
  auto logger = std::make_shared<spdlog::logger>(
      "mangoplank", std::make_shared<batching_stdout_sink>());
  logger->set_level(spdlog::level::from_str(values.Text("log", "level")));
  logger->flush_on(spdlog::level::warn);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(std::chrono::seconds(1));
}

exit_code ReportUsageError(const std::string& text) {
  std::cerr << text << "\n";
  return exit_code::kUsage;
}

exit_code RunProgram(const program& definition,
                     const po::options_description& options,
                     const po::variables_map& arguments) {
  if (arguments.count("help") != 0) {
    std::cout << definition.name << ": " << definition.summary << "\n\n"
              << options;
    return exit_code::kOk;
  }
  if (arguments.count("version") != 0) {
    std::cout << definition.name << " " << MANGOPLANK_VERSION << "\n";
    return exit_code::kOk;
  }
  if (arguments.count("document") != 0) {
    std::cout << settings::Document(definition.options);
    return exit_code::kOk;
  }
  if (arguments.count("config") == 0) {
    return ReportUsageError(definition.name +
                            ": --config FILE is needed; see --help");
  }
  const auto file = arguments["config"].as<std::string>();
  const auto values =
      core::Capture([&] { return settings::Load(definition.options, file); });
  if (!values) {
    return ReportUsageError(definition.name + ": " +
                            core::Describe(values.error()));
  }
  if (arguments.count("check-config") != 0) {
    std::cout << file << ": ok\n";
    return exit_code::kOk;
  }
  SetUpLogging(*values);
  const exit_code code = definition.run(*values);
  spdlog::default_logger()->flush();
  return code;
}

}  // namespace

int Main(const program& definition, int argc, char** argv) {
  const po::options_description options = MakeCommandLineOptions();
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, options), arguments);
  } catch (const po::error& error) {
    return static_cast<int>(
        ReportUsageError(fmt::format("{}: {}", definition.name, error.what())));
  }
  return static_cast<int>(RunProgram(definition, options, arguments));
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
