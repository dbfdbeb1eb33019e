#ifndef MANGOPLANK_REPORT_HISTORY_H_
#define MANGOPLANK_REPORT_HISTORY_H_

#include <string>

#include "mangoplank/report/recording.h"

namespace mangoplank::report {

/// Merges `fresh` into the recording stored in a file, drops the buckets that
/// are outside the windows at `now`, and replaces the file atomically, with an
/// fsync. A lock on its folder serializes these functions across processes.
/// @param file is created if it does not exist; its folder must exist.
/// @return the recording now stored, or storage_failed: kCorrupt if the file
/// is not a recording or the merge exceeds the limits of one (the file is left
/// unchanged), else kIo, kFull or kSync.
core::result<recording> UpdateHistory(const std::string& file,
                                      const recording& fresh,
                                      core::wall_time_ms now);

/// Replaces a file atomically, with an fsync, under the lock on its folder.
core::result<void> WriteFile(const std::string& file, const std::string& data);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_HISTORY_H_
