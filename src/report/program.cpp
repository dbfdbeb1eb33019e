#include "mangoplank/report/program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <memory>

#include "mangoplank/report/fetch.h"
#include "mangoplank/report/history.h"
#include "mangoplank/report/json.h"
#include "mangoplank/report/render.h"

namespace mangoplank::report {

namespace asio = boost::asio;

namespace {

/// The merged recordings of the entries, and the entries without one.
struct responses {
  recording merged;
  std::vector<missing_entry> missing;
};

/// Shared by the tasks that read the entries.
struct fetch_state {
  fetch_state(asio::any_io_executor executor, core::clock& clock,
              std::size_t entries)
      : pending(entries), changed(std::move(executor), clock) {}

  responses collected;
  std::size_t pending;
  core::event changed;
};

core::awaitable<void> ReadEntry(std::shared_ptr<fetch_state> state,
                                core::endpoint entry, std::string token,
                                core::milliseconds timeout) {
  const auto fetched =
      co_await FetchRecording(entry, std::move(token), timeout);
  if (fetched) {
    state->collected.merged = Merge(state->collected.merged, *fetched);
  } else {
    state->collected.missing.push_back({entry, fetched.error()});
  }
  --state->pending;
  state->changed.NotifyAll();
}

core::awaitable<responses> ReadEntries(const report_request& request,
                                       core::clock& clock) {
  const auto executor = co_await asio::this_coro::executor;
  const auto state =
      std::make_shared<fetch_state>(executor, clock, request.entries.size());
  for (const core::endpoint& e : request.entries) {
    asio::co_spawn(executor,
                   ReadEntry(state, e, request.token, request.timeout),
                   asio::detached);
  }
  while (state->pending > 0) co_await state->changed.Wait();
  co_return state->collected;
}

exit_code ToExitCode(verdict verdict) {
  switch (verdict) {
    case verdict::kFine:
      return exit_code::kFine;
    case verdict::kTicket:
      return exit_code::kTicket;
    case verdict::kPage:
      return exit_code::kPage;
  }
  return exit_code::kFailed;
}

/// @return lines that warn, above the table, that the verdict is incomplete.
std::string FormatFailures(const std::vector<core::failure>& failures) {
  std::string out;
  for (const core::failure& f : failures) {
    out += "incomplete report: " + core::Describe(f) + "\n";
  }
  return out;
}

/// Merges the collected recordings into the history file, and replaces them by
/// the result.
void MergeHistory(const std::string& file, core::wall_time_ms now,
                  responses* collected, std::vector<core::failure>* failures) {
  auto updated = core::Capture(
      [&] { return UpdateHistory(file, collected->merged, now); });
  if (updated) {
    collected->merged = std::move(*updated);
  } else {
    failures->push_back(updated.error());
  }
}

void WriteHtml(const std::string& file, const burn_report& report,
               const responses& collected,
               std::vector<core::failure>* failures) {
  const auto written = core::Capture(
      [&] { return WriteFile(file, RenderHtml(report, collected.missing)); });
  if (!written) failures->push_back(written.error());
}

}  // namespace

core::awaitable<report_result> Run(report_request request, core::clock& clock) {
  responses collected = co_await ReadEntries(request, clock);
  const core::wall_time_ms now = clock.WallNow();
  report_result result;
  if (!request.entries.empty() &&
      collected.missing.size() == request.entries.size()) {
    result.failures.push_back(core::unavailable{"no entry answered"});
  }
  if (request.history) {
    MergeHistory(*request.history, now, &collected, &result.failures);
  }
  const burn_report report = Evaluate(collected.merged, now);
  result.text = request.output_format == output_format::kJson
                    ? ToJson(report, collected.missing) + "\n"
                    : FormatFailures(result.failures) +
                          RenderTable(report, collected.missing);
  if (request.html) {
    WriteHtml(*request.html, report, collected, &result.failures);
  }
  result.code = result.failures.empty() ? ToExitCode(report.worst_verdict)
                                        : exit_code::kFailed;
  co_return result;
}

}  // namespace mangoplank::report
