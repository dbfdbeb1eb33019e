#ifndef MANGOPLANK_WORKFLOW_LIMITS_H_
#define MANGOPLANK_WORKFLOW_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "mangoplank/workflow/types.h"

/// Bounds of values that other systems send. Front ends refuse what is beyond
/// them, so that no sum or product of accepted values overflows 64 bits and
/// every accepted value fits into a frame and into the log.
namespace mangoplank::workflow {

/// Bound the size of a job in the log and the time of a planning round.
inline constexpr std::size_t kMaxTasksPerJob = 10'000;
inline constexpr std::size_t kMaxStepsPerJob = 100;
/// Size of the opaque data of a job, in bytes.
inline constexpr std::size_t kMaxPayloadBytes = 64 * 1024;
/// Size of ids, labels, and names of pools and zones, in bytes.
inline constexpr std::size_t kMaxNameBytes = 256;
/// Size of the texts of a queue's declaration, in bytes.
inline constexpr std::size_t kMaxAddressBytes = 4 * 1024;
inline constexpr std::size_t kMaxLabelsPerWorker = 64;
/// Size of a checkpoint or a ticket, in bytes.
inline constexpr std::size_t kMaxTokenBytes = 4 * 1024;
/// Runs and ends in one report of a worker, and workers in one answer of the
/// eligibility service.
inline constexpr std::size_t kMaxReportedRows = 10'000;
/// Each amount of a worker's capacity or of a task's need, in its unit. The sum
/// over a million workers, and the product with the tasks of a job, fit.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40;
/// Durations, in milliseconds: 366 days. 10,000 of them after a time, and 100
/// of them in nanoseconds, fit.
inline constexpr std::int64_t kMaxDurationMs = 366LL * 24 * 3'600 * 1'000;
/// Readings of clocks, in milliseconds: the end of the year 9999 as Unix time.
inline constexpr std::int64_t kMaxTimeMs = 253'402'300'799'999;
/// Numbers of reports and of ends of runs: whole numbers that a double holds.
inline constexpr std::int64_t kMaxSequence = std::int64_t{1} << 53;
/// Size of a tenant's API key, in bytes: half of the largest request header.
inline constexpr std::size_t kMaxApiKeyBytes = 8 * 1024;
/// A tenant's weight, in jobs a second.
inline constexpr double kMaxTenantWeight = 1e9;
/// A queue's stretch factor; the objective is a multiple of durations.
inline constexpr double kMaxStretchFactor = 1e6;

/// @return whether the id is one path segment that a header and a JSON text can
/// carry: 1 to kMaxNameBytes visible ASCII characters, without a slash.
bool IsValidId(std::string_view id);

/// @return whether all occurrences of the job have at most kMaxTasksPerJob
/// tasks together.
bool IsTaskCountValid(const job_spec& spec);

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_LIMITS_H_
