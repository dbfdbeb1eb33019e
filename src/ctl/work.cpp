#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <utility>

#include "api/target.h"
#include "ctl/output.h"
#include "ctl/session.h"

namespace mangoplank::ctl {

namespace {

namespace json = boost::json;

/// A watch reconnects after this time without data; entries send a line at
/// least every 5 s.
constexpr core::milliseconds kWatchIdleTimeout(15'000);

std::optional<std::string> ReadBody(const std::string& file, std::istream& in) {
  if (file.empty()) return std::string();
  if (file == "-") {
    return std::string((std::istreambuf_iterator<char>(in)),
                       std::istreambuf_iterator<char>());
  }
  std::ifstream body(file, std::ios::binary);
  if (!body) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(body)),
                     std::istreambuf_iterator<char>());
}

std::string FormatProgress(const json::value& job) {
  return fmt::format(
      "{} tasks: {} waiting, {} assigned, {} running, {} succeeded, {} failed",
      TextAt(job, "spec.tasks"), TextAt(job, "status.waiting"),
      TextAt(job, "status.assigned"), TextAt(job, "status.running"),
      TextAt(job, "status.succeeded"), TextAt(job, "status.failed"));
}

/// @return the exit code for a job that ended, or no value for an active job.
std::optional<exit_code> ExitCodeOf(const json::value& job) {
  const std::int64_t unfinished = NumberAt(job, "status.waiting") +
                                  NumberAt(job, "status.assigned") +
                                  NumberAt(job, "status.running");
  if (unfinished > 0) return std::nullopt;
  if (NumberAt(job, "status.unknown") > 0) return exit_code::kOutcomeUnknown;
  const bool all_succeeded =
      NumberAt(job, "status.succeeded") == NumberAt(job, "spec.tasks");
  return all_succeeded ? exit_code::kOk : exit_code::kWorkFailed;
}

}  // namespace

session::result session::Execute(run_verb verb) {
  const auto all = LoadDeclarations(verb.path, command_.department);
  const bool one_job =
      all && all->size() == 1 &&
      (all->front().declaration.key.kind == cell::object_kind::kBatchJob ||
       all->front().declaration.key.kind == cell::object_kind::kGangJob);
  if (!one_job) {
    err_ << "error: "
         << (all ? "run takes one batch_job or gang_job"
                 : core::Describe(all.error()))
         << "\n";
    co_return exit_code::kUsage;
  }
  const api::declaration& job = all->front().declaration;
  json::object body = api::WriteKey(job.key);
  body["spec"] = api::WriteSpec(job.spec);
  api::request request;
  request.method = "POST";
  request.target = PathOf(job.key.kind, job.key.department.v, "");
  request.body = json::serialize(body);
  const auto accepted = co_await SendChange(std::move(request));
  if (!accepted) co_return failure_code_;
  err_ << job.key.name << ": accepted\n";
  if (!verb.wait) co_return exit_code::kOk;
  co_return co_await WaitForJob(
      PathOf(job.key.kind, job.key.department.v, job.key.name));
}

session::result session::WaitForJob(std::string path) {
  std::string last_printed;
  while (true) {
    const auto job = co_await Read(path);
    if (!job) co_return failure_code_;
    std::string progress = FormatProgress(*job);
    if (progress != last_printed) {
      err_ << progress << "\n";
      last_printed = std::move(progress);
    }
    const auto code = ExitCodeOf(*job);
    if (code) {
      PrintValue(*job);
      co_return *code;
    }
    co_await core::SleepFor(clock_, settings_.retry_delay);
  }
}

exit_code session::PrintCallOutcome(const api::response& response,
                                    const call_verb& call) {
  const auto it = response.headers.find("mangoplank-outcome");
  const std::string outcome = it == response.headers.end() ? "" : it->second;
  if (outcome == "done" || outcome == "failed") {
    out_ << response.body;
    if (outcome == "done") return exit_code::kOk;
    err_ << "error: the call failed\n";
    return exit_code::kWorkFailed;
  }
  ReportFailure(response);
  // An entry that rejects a request before it has read it all sends no outcome.
  const bool rejected =
      outcome.empty() && !call.query && response.status != 504 &&
      response.body.find("urn:mangoplank:problem:") != std::string::npos;
  if (outcome == "not_run" || rejected) {
    err_ << "the call was not run\n";
    return failure_code_;
  }
  if (!call.key.empty()) {
    err_ << fmt::format(
        "to query the outcome: mangoplank-ctl call {} --ask --key {}\n",
        call.service, call.key);
  }
  return call.query && response.status != 504 ? failure_code_
                                              : exit_code::kOutcomeUnknown;
}

session::result session::Execute(call_verb verb) {
  api::request request;
  request.method = verb.query ? "GET" : "POST";
  request.target =
      PathOf(cell::object_kind::kService, verb.department, verb.service) +
      "/calls";
  request.target += verb.query ? "?key=" + api::EscapeSegment(verb.key)
                               : "/" + api::EscapeSegment(verb.operation);
  if (!verb.query) {
    const auto body = ReadBody(verb.body_file, in_);
    if (!body) {
      err_ << "error: can't read " << verb.body_file << "\n";
      co_return exit_code::kUsage;
    }
    request.body = *body;
    if (!verb.key.empty()) request.headers["idempotency-key"] = verb.key;
    if (verb.deadline_ms > 0) {
      request.headers["mangoplank-deadline-ms"] =
          std::to_string(verb.deadline_ms);
    }
  }
  // A call is sent once; a retry is the caller's decision.
  const auto answer = co_await http_.Send(std::move(request));
  if (answer) co_return PrintCallOutcome(*answer, verb);
  ReportFailure(answer.error(), !verb.query);
  co_return failure_code_;
}

core::awaitable<std::optional<bool>> session::CheckServiceRollout(
    target_name target) {
  const std::string path = PathOf(target.kind, target.department, target.name);
  const auto object = co_await Read(path);
  if (!object) co_return std::nullopt;
  const auto explanation = co_await Read(path + "/explain");
  if (!explanation) co_return std::nullopt;
  const std::int64_t generation = NumberAt(*object, "generation");
  const std::int64_t replicas = NumberAt(*object, "spec.replicas");
  std::int64_t current = 0;
  std::int64_t older = 0;
  const json::value* const tasks =
      explanation->is_object() ? explanation->get_object().if_contains("tasks")
                               : nullptr;
  if (tasks != nullptr && tasks->is_array()) {
    for (const json::value& task : tasks->get_array()) {
      if (TextAt(task, "phase") != "running") continue;
      ++(NumberAt(task, "generation") == generation ? current : older);
    }
  }
  out_ << fmt::format(
      "{} of {} replicas run generation {}, {} run an older one\n", current,
      replicas, generation, older);
  co_return current >= replicas&& older == 0;
}

core::awaitable<std::optional<bool>> session::CheckConfigurationRollout(
    target_name target) {
  const auto object = co_await Read(PathOf(target.kind, "", target.name));
  if (!object) co_return std::nullopt;
  const auto status = co_await Read("/v1/status");
  if (!status || !status->is_object()) co_return std::nullopt;
  const std::int64_t version = NumberAt(*object, "version");
  std::size_t behind = 0;
  const json::value* const entries =
      status->get_object().if_contains("entries");
  const bool listed = entries != nullptr && entries->is_array();
  const std::size_t count = listed ? entries->get_array().size() : 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (NumberAt(entries->get_array()[i], "in_force") < version) ++behind;
  }
  out_ << fmt::format("version {} is in force on {} of {} entries\n", version,
                      count - behind, count);
  co_return listed&& behind == 0;
}

session::result session::Execute(rollout_verb verb) {
  while (true) {
    std::optional<bool> done;
    if (verb.target.kind == cell::object_kind::kService) {
      done = co_await CheckServiceRollout(verb.target);
    } else if (verb.target.kind == cell::object_kind::kConfiguration) {
      done = co_await CheckConfigurationRollout(verb.target);
    } else {
      err_ << "error: rollout status takes a service or a configuration\n";
      co_return exit_code::kUsage;
    }
    if (!done) co_return failure_code_;
    if (*done) co_return exit_code::kOk;
    if (!verb.wait) co_return exit_code::kWorkFailed;
    co_await core::SleepFor(clock_, settings_.retry_delay);
  }
}

void session::PrintWatchLine(std::string_view line) {
  if (command_.output == output_format::kJson) {
    out_ << line << std::endl;
    return;
  }
  const auto event = api::ParseJson(line);
  if (!event) return;
  const std::string type = TextAt(*event, "type");
  if (type == "progress") return;
  if (type == "changed") {
    out_ << fmt::format(
        "{} changed, generation {}, version {}", TextAt(*event, "object.name"),
        TextAt(*event, "object.generation"), TextAt(*event, "object.version"));
  } else if (type == "deleted") {
    out_ << TextAt(*event, "object.name") << " deleted";
  } else if (type == "task") {
    out_ << fmt::format("{} task {} {} {}", TextAt(*event, "of.name"),
                        TextAt(*event, "task.index"),
                        TextAt(*event, "task.phase"),
                        TextAt(*event, "task.worker"));
  } else {
    out_ << Printable(line);
  }
  out_ << std::endl;
}

session::result session::Execute(watch_verb verb) {
  core::revision from = verb.from;
  for (int attempts_left = settings_.max_attempts; attempts_left > 0;
       --attempts_left) {
    api::request request;
    request.method = "GET";
    request.target = fmt::format(
        "{}?watch=true&from={}",
        PathOf(verb.target.kind, verb.target.department, verb.target.name),
        from);
    const auto on_line = [&](std::string_view line) {
      PrintWatchLine(line);
      const auto event = api::ParseJson(line);
      if (event && TextAt(*event, "type") == "progress") {
        from = static_cast<core::revision>(NumberAt(*event, "revision"));
        attempts_left = settings_.max_attempts + 1;
      }
      return true;
    };
    const auto answer =
        co_await http_.Stream(std::move(request), on_line, kWatchIdleTimeout);
    if (!answer) {
      ReportFailure(answer.error(), false);
    } else if (answer->status == 410) {
      // The history after `from` is compacted; restart with a full copy.
      from = 0;
    } else if (answer->status != 200) {
      ReportFailure(*answer);
      if (answer->status != 503) co_return failure_code_;
    }
    co_await core::SleepFor(clock_, settings_.retry_delay);
  }
  co_return failure_code_ == exit_code::kOk ? exit_code::kUnavailable
                                            : failure_code_;
}

}  // namespace mangoplank::ctl
