#ifndef MANGOPLANK_REPORT_HISTORY_H_
#define MANGOPLANK_REPORT_HISTORY_H_

#include <string>

#include "mangoplank/report/recording.h"

namespace mangoplank::report {

/// Merges `fresh` into the recording kept in a file, without what is out of the
/// windows at `now`, and replaces the file. The replacement is atomic and
/// synced. A lock on the folder keeps other users of these functions out.
/// @param file is made if it is not there; its folder must be there.
/// @return what the file now holds, or storage_failed: kCorrupt if the file
/// holds no recording or the merge is over the limits of one (the file is left
/// as it was), else kIo, kFull or kSync.
core::result<recording> UpdateHistory(const std::string& file,
                                      const recording& fresh,
                                      core::wall_time_ms now);

/// Replaces a file, atomically and synced, under the lock on its folder.
core::result<void> WriteFile(const std::string& file, const std::string& data);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_HISTORY_H_
