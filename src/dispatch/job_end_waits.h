#ifndef MANGOPLANK_SRC_DISPATCH_JOB_END_WAITS_H_
#define MANGOPLANK_SRC_DISPATCH_JOB_END_WAITS_H_

#include <map>
#include <memory>
#include <string>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// Reads of jobs that wait for the job's end. Each job has an event of its own,
/// so that an end wakes only the reads of its job.
class job_end_waits {
 public:
  job_end_waits(boost::asio::any_io_executor executor, core::clock& clock);

  /// Returns after the end of the job, a call of NotifyAll, or at the deadline.
  core::awaitable<void> WaitUntil(std::string job, core::time_point deadline);
  /// Wakes the reads of a job that has ended.
  void Notify(const std::string& job);
  /// Wakes all reads.
  void NotifyAll();

 private:
  struct wait {
    wait(const boost::asio::any_io_executor& executor, core::clock& clock)
        : ended(executor, clock) {}
    std::size_t reads = 0;
    core::event ended;
  };

  const boost::asio::any_io_executor executor_;
  core::clock& clock_;
  std::map<std::string, std::shared_ptr<wait>> waits_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_JOB_END_WAITS_H_
