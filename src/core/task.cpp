#include "mangoplank/core/task.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <exception>

namespace mangoplank::core {

void LogTaskFailure(std::string_view name) {
  try {
    throw;
  } catch (const std::exception& e) {
    spdlog::error("task_failed task={} error={}", name, e.what());
  } catch (...) {
    spdlog::error("task_failed task={} error=unknown", name);
  }
}

void SpawnTask(const boost::asio::any_io_executor& executor,
               awaitable<void> task, std::string_view name) {
  boost::asio::co_spawn(executor, std::move(task),
                        [name](const std::exception_ptr& failure) {
                          if (!failure) return;
                          try {
                            std::rethrow_exception(failure);
                          } catch (...) {
                            LogTaskFailure(name);
                          }
                        });
}

}  // namespace mangoplank::core
