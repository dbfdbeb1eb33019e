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

/// What all entries answered.
struct answers {
  recording merged;
  std::vector<missing_entry> missing;
};

/// Shared by the tasks that read the entries.
struct gathering {
  gathering(asio::any_io_executor executor, core::clock& clock,
            std::size_t entries)
      : open(entries), changed(std::move(executor), clock) {}

  answers a;
  std::size_t open;
  core::event changed;
};

core::awaitable<void> ReadEntry(std::shared_ptr<gathering> g,
                                core::endpoint entry, std::string token,
                                core::milliseconds timeout) {
  const auto r = co_await Fetch(entry, std::move(token), timeout);
  if (r) {
    g->a.merged = Merge(g->a.merged, *r);
  } else {
    g->a.missing.push_back({entry, r.error()});
  }
  --g->open;
  g->changed.NotifyAll();
}

core::awaitable<answers> ReadEntries(const report_request& request,
                                     core::clock& clock) {
  const auto executor = co_await asio::this_coro::executor;
  const auto g =
      std::make_shared<gathering>(executor, clock, request.entries.size());
  for (const core::endpoint& e : request.entries) {
    asio::co_spawn(executor, ReadEntry(g, e, request.token, request.timeout),
                   asio::detached);
  }
  while (g->open > 0) co_await g->changed.Wait();
  co_return g->a;
}

exit_code CodeOf(verdict v) {
  switch (v) {
    case verdict::kFine:
      return exit_code::kFine;
    case verdict::kTicket:
      return exit_code::kTicket;
    case verdict::kPage:
      return exit_code::kPage;
  }
  return exit_code::kFailed;
}

/// @return lines ahead of a table whose verdict is not that of all counts.
std::string Incomplete(const std::vector<core::failure>& failures) {
  std::string out;
  for (const core::failure& f : failures) {
    out += "incomplete report: " + core::Describe(f) + "\n";
  }
  return out;
}

/// Puts the answers into the history and takes the place of the answers with
/// what it then holds.
void KeepHistory(const std::string& file, core::wall_time_ms now, answers* a,
                 std::vector<core::failure>* failures) {
  auto kept =
      core::Capture([&] { return UpdateHistory(file, a->merged, now); });
  if (kept) {
    a->merged = std::move(*kept);
  } else {
    failures->push_back(kept.error());
  }
}

void WritePage(const std::string& file, const burn_report& r, const answers& a,
               std::vector<core::failure>* failures) {
  const auto written =
      core::Capture([&] { return WriteFile(file, Html(r, a.missing)); });
  if (!written) failures->push_back(written.error());
}

}  // namespace

core::awaitable<report_result> Run(report_request request, core::clock& clock) {
  answers a = co_await ReadEntries(request, clock);
  const core::wall_time_ms now = clock.WallNow();
  report_result result;
  if (!request.entries.empty() && a.missing.size() == request.entries.size()) {
    result.failures.push_back(core::unavailable{"no entry answered"});
  }
  if (request.history) {
    KeepHistory(*request.history, now, &a, &result.failures);
  }
  const burn_report r = Evaluate(a.merged, now);
  result.text = request.o == output::kJson
                    ? ToJson(r, a.missing) + "\n"
                    : Incomplete(result.failures) + Table(r, a.missing);
  if (request.html) WritePage(*request.html, r, a, &result.failures);
  result.code = result.failures.empty() ? CodeOf(r.worst) : exit_code::kFailed;
  co_return result;
}

}  // namespace mangoplank::report
