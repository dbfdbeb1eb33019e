#ifndef MANGOPLANK_REPORT_FETCH_H_
#define MANGOPLANK_REPORT_FETCH_H_

#include <string>

#include "mangoplank/core/clock.h"
#include "mangoplank/report/recording.h"

namespace mangoplank::report {

/// HTTP path at which an entry serves its recording.
inline constexpr char kObjectivesPath[] = "/v1/objectives";

/// Reads the recording of one entry.
/// @param token bearer token; empty for none.
/// @param timeout for the whole exchange, from connect to end of response.
/// @return the recording, or connection_failed, deadline_exceeded,
/// unauthenticated, forbidden, not_found (an entry of an older version),
/// unavailable for any other status, or invalid_request for a response that is
/// not a recording.
core::awaitable<core::outcome<recording>> FetchRecording(
    core::endpoint entry, std::string token, core::milliseconds timeout);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_FETCH_H_
