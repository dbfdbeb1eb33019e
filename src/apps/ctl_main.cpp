#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "ctl/session.h"

namespace {

namespace ctl = mangoplank::ctl;

std::string Variable(const std::string& name) {
  const char* const value = std::getenv(name.c_str());
  return value == nullptr ? std::string() : value;
}

std::string RunId() {
  std::random_device device;
  return fmt::format("ctl-{:08x}{:08x}{:08x}{:08x}", device(), device(),
                     device(), device());
}

ctl::exit_code RunCommand(const ctl::command& c) {
  boost::asio::io_context io(1);
  mangoplank::core::system_clock clock(io.get_executor());
  ctl::session_settings settings;
  settings.run_id = RunId();
  ctl::session session(c, settings, clock, std::cin, std::cout, std::cerr);
  ctl::exit_code code = ctl::exit_code::kRefused;
  boost::asio::co_spawn(io, session.Run(),
                        [&](std::exception_ptr failed, ctl::exit_code ended) {
                          if (!failed) code = ended;
                        });
  io.run();
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto parsed = ctl::ParseCommandLine(arguments, Variable);
  if (const auto* const text = std::get_if<ctl::usage>(&parsed)) {
    (text->code == ctl::exit_code::kOk ? std::cout : std::cerr) << text->text;
    return static_cast<int>(text->code);
  }
  return static_cast<int>(RunCommand(std::get<ctl::command>(parsed)));
}
