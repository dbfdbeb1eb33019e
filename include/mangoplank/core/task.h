#ifndef MANGOPLANK_CORE_TASK_H_
#define MANGOPLANK_CORE_TASK_H_

#include <string_view>

#include "mangoplank/core/clock.h"

namespace mangoplank::core {

/// Starts a task of one connection, message or order. An exception that leaves
/// it ends the task alone, not the process with all other tasks: it is logged
/// as `task_failed`.
/// @param name tells in the log which kind of task has failed; must outlive it.
void SpawnTask(const boost::asio::any_io_executor& executor,
               awaitable<void> task, std::string_view name);

/// Logs the exception that is being handled as `task_failed`.
void LogTaskFailure(std::string_view name);

}  // namespace mangoplank::core

#endif  // MANGOPLANK_CORE_TASK_H_
