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

/// Silence after which a watch connects again; entries send a line at least
/// every 5 s.
constexpr core::milliseconds kWatchSilence(15'000);

std::optional<std::string> ReadBody(const std::string& file, std::istream& in) {
  if (file.empty()) return std::string();
  if (file == "-") {
    return std::string((std::istreambuf_iterator<char>(in)),
                       std::istreambuf_iterator<char>());
  }
  std::ifstream f(file, std::ios::binary);
  if (!f) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(f)),
                     std::istreambuf_iterator<char>());
}

std::string Progress(const json::value& job) {
  return fmt::format(
      "{} tasks: {} waiting, {} assigned, {} running, {} succeeded, {} failed",
      TextAt(job, "spec.tasks"), TextAt(job, "status.waiting"),
      TextAt(job, "status.assigned"), TextAt(job, "status.running"),
      TextAt(job, "status.succeeded"), TextAt(job, "status.failed"));
}

/// @return how a job ended, or no value while it goes on.
std::optional<exit_code> EndOf(const json::value& job) {
  const std::int64_t open = NumberAt(job, "status.waiting") +
                            NumberAt(job, "status.assigned") +
                            NumberAt(job, "status.running");
  if (open > 0) return std::nullopt;
  if (NumberAt(job, "status.unknown") > 0) return exit_code::kOutcomeUnknown;
  const bool all =
      NumberAt(job, "status.succeeded") == NumberAt(job, "spec.tasks");
  return all ? exit_code::kOk : exit_code::kWorkFailed;
}

}  // namespace

session::result session::Do(run_verb v) {
  const auto all = LoadDeclarations(v.path, c_.department);
  const bool one_job =
      all && all->size() == 1 &&
      (all->front().d.key.kind == cell::object_kind::kBatchJob ||
       all->front().d.key.kind == cell::object_kind::kGangJob);
  if (!one_job) {
    err_ << "error: "
         << (all ? "run takes one batch_job or gang_job"
                 : core::Describe(all.error()))
         << "\n";
    co_return exit_code::kUsage;
  }
  const api::declaration& d = all->front().d;
  json::object body = api::WriteKey(d.key);
  body["spec"] = api::WriteSpec(d.spec);
  api::request r;
  r.method = "POST";
  r.target = PathOf(d.key.kind, d.key.department.v, "");
  r.body = json::serialize(body);
  const auto accepted = co_await Change(std::move(r));
  if (!accepted) co_return failed_;
  err_ << d.key.name << ": accepted\n";
  if (!v.wait) co_return exit_code::kOk;
  co_return co_await Follow(PathOf(d.key.kind, d.key.department.v, d.key.name));
}

session::result session::Follow(std::string path) {
  std::string told;
  while (true) {
    const auto job = co_await Read(path);
    if (!job) co_return failed_;
    std::string now = Progress(*job);
    if (now != told) {
      err_ << now << "\n";
      told = std::move(now);
    }
    const auto end = EndOf(*job);
    if (end) {
      PrintValue(*job);
      co_return *end;
    }
    co_await core::SleepFor(clock_, settings_.pause);
  }
}

exit_code session::PrintCallEnd(const api::response& r, const call_verb& v) {
  const auto it = r.headers.find("mangoplank-outcome");
  const std::string outcome = it == r.headers.end() ? "" : it->second;
  if (outcome == "done" || outcome == "failed") {
    out_ << r.body;
    if (outcome == "done") return exit_code::kOk;
    err_ << "error: the call failed\n";
    return exit_code::kWorkFailed;
  }
  Report(r);
  // Before a request was read whole, an entry refuses it without an outcome.
  const bool refused =
      outcome.empty() && !v.ask && r.status != 504 &&
      r.body.find("urn:mangoplank:problem:") != std::string::npos;
  if (outcome == "not_run" || refused) {
    err_ << "the call was not run\n";
    return failed_;
  }
  if (!v.key.empty()) {
    err_ << fmt::format("ask again: mangoplank-ctl call {} --ask --key {}\n",
                        v.service, v.key);
  }
  return v.ask && r.status != 504 ? failed_ : exit_code::kOutcomeUnknown;
}

session::result session::Do(call_verb v) {
  api::request r;
  r.method = v.ask ? "GET" : "POST";
  r.target =
      PathOf(cell::object_kind::kService, v.department, v.service) + "/calls";
  r.target += v.ask ? "?key=" + api::EscapeSegment(v.key)
                    : "/" + api::EscapeSegment(v.operation);
  if (!v.ask) {
    const auto body = ReadBody(v.body_file, in_);
    if (!body) {
      err_ << "error: can't read " << v.body_file << "\n";
      co_return exit_code::kUsage;
    }
    r.body = *body;
    if (!v.key.empty()) r.headers["idempotency-key"] = v.key;
    if (v.deadline_ms > 0) {
      r.headers["mangoplank-deadline-ms"] = std::to_string(v.deadline_ms);
    }
  }
  // A call is sent once; sending it again is the caller's decision.
  const auto answer = co_await http_.Send(std::move(r));
  if (answer) co_return PrintCallEnd(*answer, v);
  Report(answer.error(), !v.ask);
  co_return failed_;
}

core::awaitable<std::optional<bool>> session::ServiceRolledOut(target_name of) {
  const std::string path = PathOf(of.k, of.department, of.name);
  const auto object = co_await Read(path);
  if (!object) co_return std::nullopt;
  const auto why = co_await Read(path + "/explain");
  if (!why) co_return std::nullopt;
  const std::int64_t generation = NumberAt(*object, "generation");
  const std::int64_t wanted = NumberAt(*object, "spec.replicas");
  std::int64_t current = 0;
  std::int64_t older = 0;
  const json::value* const tasks =
      why->is_object() ? why->get_object().if_contains("tasks") : nullptr;
  if (tasks != nullptr && tasks->is_array()) {
    for (const json::value& t : tasks->get_array()) {
      if (TextAt(t, "phase") != "running") continue;
      ++(NumberAt(t, "generation") == generation ? current : older);
    }
  }
  out_ << fmt::format(
      "{} of {} replicas run generation {}, {} run an older one\n", current,
      wanted, generation, older);
  co_return current >= wanted&& older == 0;
}

core::awaitable<std::optional<bool>> session::ConfigurationRolledOut(
    target_name of) {
  const auto object = co_await Read(PathOf(of.k, "", of.name));
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

session::result session::Do(rollout_verb v) {
  while (true) {
    std::optional<bool> done;
    if (v.of.k == cell::object_kind::kService) {
      done = co_await ServiceRolledOut(v.of);
    } else if (v.of.k == cell::object_kind::kConfiguration) {
      done = co_await ConfigurationRolledOut(v.of);
    } else {
      err_ << "error: rollout status takes a service or a configuration\n";
      co_return exit_code::kUsage;
    }
    if (!done) co_return failed_;
    if (*done) co_return exit_code::kOk;
    if (!v.wait) co_return exit_code::kWorkFailed;
    co_await core::SleepFor(clock_, settings_.pause);
  }
}

void session::PrintWatchLine(std::string_view line) {
  if (c_.output == output_format::kJson) {
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

session::result session::Do(watch_verb v) {
  core::revision from = v.from;
  for (int left = settings_.tries; left > 0; --left) {
    api::request r;
    r.method = "GET";
    r.target = fmt::format("{}?watch=true&from={}",
                           PathOf(v.of.k, v.of.department, v.of.name), from);
    const auto take = [&](std::string_view line) {
      PrintWatchLine(line);
      const auto event = api::ParseJson(line);
      if (event && TextAt(*event, "type") == "progress") {
        from = static_cast<core::revision>(NumberAt(*event, "revision"));
        left = settings_.tries + 1;
      }
      return true;
    };
    const auto end = co_await http_.Stream(std::move(r), take, kWatchSilence);
    if (!end) {
      Report(end.error(), false);
    } else if (end->status == 410) {
      // The history since then is gone; a full copy follows.
      from = 0;
    } else if (end->status != 200) {
      Report(*end);
      if (end->status != 503) co_return failed_;
    }
    co_await core::SleepFor(clock_, settings_.pause);
  }
  co_return failed_ == exit_code::kOk ? exit_code::kUnavailable : failed_;
}

}  // namespace mangoplank::ctl
