#include "ctl/command_line.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "api/json_codec.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::ctl {

namespace {

namespace po = boost::program_options;
using strings = std::vector<std::string>;

constexpr const char* kDefaultServer = "127.0.0.1:8080";
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

/// Error in the command line; caught in ParseCommandLine.
struct usage_error {
  std::string reason;
};

/// Input of a verb's parser.
struct verb_arguments {
  const po::variables_map& options;
  /// Positional arguments after the verb.
  strings operands;
  std::string department;

  bool HasFlag(const char* name) const { return options.contains(name); }
  std::string GetText(const char* name) const {
    return options.contains(name) ? options[name].as<std::string>()
                                  : std::string();
  }
  std::int64_t GetNumber(const char* name, std::int64_t default_value) const {
    if (!options.contains(name)) return default_value;
    const auto value = options[name].as<std::int64_t>();
    if (value < 0)
      throw usage_error{fmt::format("--{} must not be negative", name)};
    return value;
  }
};

/// A verb of the command line with its usage text, options and parser.
struct verb_entry {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  void (*options)(po::options_description_easy_init);
  verb (*parse)(const verb_arguments&);
};

void AddNoOptions(po::options_description_easy_init) {}

void AddPathOptions(po::options_description_easy_init add) {
  add("file,f", po::value<std::string>()->required(),
      "declaration, or folder of declarations (*.json)");
  add("prune",
      "also delete objects of the departments and kinds present in "
      "the declarations that are not declared");
}

void AddApplyOptions(po::options_description_easy_init add) {
  AddPathOptions(add);
  add("dry-run", "check at the cell and change nothing");
}

void AddWatchOptions(po::options_description_easy_init add) {
  add("from", po::value<std::int64_t>(), "revision after which to begin");
}

void AddDeleteOptions(po::options_description_easy_init add) {
  add("if-version", po::value<std::int64_t>(),
      "delete only if this is the version");
}

void AddRunOptions(po::options_description_easy_init add) {
  add("file,f", po::value<std::string>()->required(),
      "declaration of a batch or gang job");
  add("no-wait", "return when the job is accepted");
}

void AddCallOptions(po::options_description_easy_init add) {
  add("key", po::value<std::string>(),
      "idempotency key; needed by operations that are not idempotent");
  add("deadline-ms", po::value<std::int64_t>(), "time for the call");
  add("body", po::value<std::string>(),
      "file with the body; - reads it from "
      "the standard input");
  add("ask",
      "ask for the end of an earlier call with --key; no operation is "
      "named then");
}

void AddRolloutOptions(po::options_description_easy_init add) {
  add("wait", "wait for the end of the rollout");
}

cell::object_kind ParseKind(const std::string& word) {
  auto kind = api::KindFromName(word);
  if (!kind) kind = api::KindFromCollection(word);
  if (!kind) throw usage_error{fmt::format("unknown kind '{}'", word)};
  return *kind;
}

target_name ParseTarget(const verb_arguments& arguments, std::size_t first,
                        bool name_required) {
  const std::size_t given = arguments.operands.size();
  if (given <= first || given > first + 2) {
    throw usage_error{name_required ? "KIND and NAME are needed"
                                    : "KIND is needed"};
  }
  if (name_required && given < first + 2) throw usage_error{"NAME is needed"};
  target_name target;
  target.kind = ParseKind(arguments.operands[first]);
  if (given == first + 2) target.name = arguments.operands[first + 1];
  if (!api::IsDepartmental(target.kind)) return target;
  target.department = arguments.department;
  if (target.department.empty()) {
    throw usage_error{"--department or MANGOPLANK_DEPARTMENT is needed"};
  }
  return target;
}

void RequireOperandCount(const verb_arguments& arguments, std::size_t count) {
  if (arguments.operands.size() != count) {
    throw usage_error{fmt::format("{} arguments are needed, {} were given",
                                  count, arguments.operands.size())};
  }
}

verb ParseApply(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 0);
  return apply_verb{arguments.GetText("file"), arguments.HasFlag("prune"),
                    arguments.HasFlag("dry-run")};
}
verb ParseDiff(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 0);
  return diff_verb{arguments.GetText("file"), arguments.HasFlag("prune")};
}
verb ParseGet(const verb_arguments& arguments) {
  return get_verb{ParseTarget(arguments, 0, false)};
}
verb ParseDescribe(const verb_arguments& arguments) {
  return describe_verb{ParseTarget(arguments, 0, true)};
}
verb ParseWatch(const verb_arguments& arguments) {
  const auto from = static_cast<core::revision>(arguments.GetNumber("from", 0));
  return watch_verb{ParseTarget(arguments, 0, false), from};
}
verb ParseExplain(const verb_arguments& arguments) {
  return explain_verb{ParseTarget(arguments, 0, true)};
}
verb ParseDrain(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 1);
  return drain_verb{arguments.operands[0], true};
}
verb ParseUndrain(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 1);
  return drain_verb{arguments.operands[0], false};
}
verb ParseCancel(const verb_arguments& arguments) {
  return cancel_verb{ParseTarget(arguments, 0, true)};
}
verb ParseDelete(const verb_arguments& arguments) {
  delete_verb parsed{ParseTarget(arguments, 0, true), std::nullopt};
  const std::int64_t version = arguments.GetNumber("if-version", 0);
  if (version > 0) {
    parsed.expected_version = static_cast<core::revision>(version);
  }
  return parsed;
}
verb ParseRun(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 0);
  return run_verb{arguments.GetText("file"), !arguments.HasFlag("no-wait")};
}
verb ParseCall(const verb_arguments& arguments) {
  call_verb call;
  call.query = arguments.HasFlag("ask");
  RequireOperandCount(arguments, call.query ? 1 : 2);
  call.department = arguments.department;
  if (call.department.empty()) {
    throw usage_error{"--department or MANGOPLANK_DEPARTMENT is needed"};
  }
  call.service = arguments.operands[0];
  if (!call.query) call.operation = arguments.operands[1];
  call.key = arguments.GetText("key");
  if (call.query && call.key.empty()) throw usage_error{"--ask needs --key"};
  call.deadline_ms = arguments.GetNumber("deadline-ms", 0);
  call.body_file = arguments.GetText("body");
  return call;
}
verb ParseRollout(const verb_arguments& arguments) {
  if (arguments.operands.empty() || arguments.operands[0] != "status") {
    throw usage_error{"usage: rollout status KIND NAME"};
  }
  return rollout_verb{ParseTarget(arguments, 1, true),
                      arguments.HasFlag("wait")};
}
verb ParseTop(const verb_arguments& arguments) {
  RequireOperandCount(arguments, 0);
  return top_verb{};
}

constexpr auto kVerbs = std::to_array<verb_entry>({
    {"apply", "-f PATH", "create or change the declared objects",
     AddApplyOptions, ParseApply},
    {"diff", "-f PATH", "show what apply would change", AddPathOptions,
     ParseDiff},
    {"get", "KIND [NAME]", "list objects or show one", AddNoOptions, ParseGet},
    {"describe", "KIND NAME", "show all about one object", AddNoOptions,
     ParseDescribe},
    {"watch", "KIND [NAME]", "print changes as they come", AddWatchOptions,
     ParseWatch},
    {"explain", "KIND NAME", "why a job waits, runs or ended", AddNoOptions,
     ParseExplain},
    {"drain", "WORKER", "give a worker no new work and move its work away",
     AddNoOptions, ParseDrain},
    {"undrain", "WORKER", "let a worker take work again", AddNoOptions,
     ParseUndrain},
    {"cancel", "KIND NAME", "end a job's tasks and keep its object",
     AddNoOptions, ParseCancel},
    {"delete", "KIND NAME", "delete an object", AddDeleteOptions, ParseDelete},
    {"run", "-f FILE", "submit a job and wait for its end", AddRunOptions,
     ParseRun},
    {"call", "SERVICE OPERATION", "call a service; prints the answer",
     AddCallOptions, ParseCall},
    {"rollout", "status KIND NAME",
     "how far a service's or a configuration's last change is",
     AddRolloutOptions, ParseRollout},
    {"top", "", "shares of departments and load of the cell", AddNoOptions,
     ParseTop},
});

void AddGlobalOptions(po::options_description_easy_init add) {
  add("server,s", po::value<std::string>(),
      "IP-ADDRESS:PORT of an entry (MANGOPLANK_SERVER, else 127.0.0.1:8080)");
  add("department,d", po::value<std::string>(),
      "department (MANGOPLANK_DEPARTMENT)");
  add("token-file", po::value<std::string>(),
      "file with the token; without it MANGOPLANK_TOKEN holds the token");
  add("output,o", po::value<std::string>(), "table or json");
  add("timeout-ms", po::value<std::int64_t>(),
      "longest wait for an answer (10000)");
  add("help,h", "help, also for one verb");
  add("version", "print the version");
}

po::options_description MakeGlobalOptions() {
  po::options_description options("Options");
  AddGlobalOptions(options.add_options());
  return options;
}

const verb_entry* FindVerb(std::string_view name) {
  const auto it = std::ranges::find(kVerbs, name, &verb_entry::name);
  return it == kVerbs.end() ? nullptr : &*it;
}

constexpr const char* kExitCodesHelp =
    "Exit codes:\n"
    "  0  done\n"
    "  1  refused: the request was not valid, or an unclassified failure\n"
    "  2  wrong command line or unreadable file; nothing was sent\n"
    "  3  no such object\n"
    "  4  conflict: another change came first, or the name is taken\n"
    "  5  the token is not known or not allowed to do this\n"
    "  6  no entry could serve the request; nothing was changed\n"
    "  7  the job, rollout or call ended without success\n"
    "  8  whether the change or call was made is not known\n"
    "  9  diff found differences\n";

std::string FormatGeneralHelp() {
  std::ostringstream out;
  out << "mangoplank-ctl [OPTIONS] VERB [ARGUMENTS]\n\nVerbs:\n";
  for (const verb_entry& v : kVerbs) {
    out << fmt::format("  {:<26} {}\n",
                       fmt::format("{} {}", v.name, v.arguments), v.help);
  }
  out << "\nKinds: service, batch_job, gang_job, department, worker, "
         "configuration\n\n"
      << MakeGlobalOptions() << "\n"
      << kExitCodesHelp;
  return out.str();
}

po::options_description MakeVerbOptions(const verb_entry& entry) {
  po::options_description options(fmt::format("Options of {}", entry.name));
  entry.options(options.add_options());
  return options;
}

std::string FormatVerbHelp(const verb_entry& entry) {
  std::ostringstream out;
  out << fmt::format("mangoplank-ctl {} {}\n\n{}\n\n", entry.name,
                     entry.arguments, entry.help);
  const po::options_description own = MakeVerbOptions(entry);
  if (!own.options().empty()) out << own << "\n";
  out << MakeGlobalOptions() << "\n" << kExitCodesHelp;
  return out.str();
}

std::string ReadToken(const std::string& file, const environment& env) {
  if (file.empty()) return env("MANGOPLANK_TOKEN");
  std::ifstream in(file);
  std::string token;
  if (!std::getline(in, token)) {
    throw usage_error{fmt::format("can't read a token from {}", file)};
  }
  while (!token.empty() && (token.back() == '\r' || token.back() == ' ')) {
    token.pop_back();
  }
  return token;
}

core::endpoint ReadServer(std::string text, const environment& env) {
  if (text.empty()) text = env("MANGOPLANK_SERVER");
  if (text.empty()) text = kDefaultServer;
  constexpr std::string_view kScheme = "http://";
  if (text.starts_with(kScheme)) text.erase(0, kScheme.size());
  const auto server =
      core::Capture([&] { return settings::ParseEndpoint(text); });
  if (!server) throw usage_error{"--server must be IP-ADDRESS:PORT"};
  return *server;
}

output_format ParseOutputFormat(const std::string& text) {
  if (text.empty() || text == "table") return output_format::kTable;
  if (text == "json") return output_format::kJson;
  throw usage_error{"--output must be table or json"};
}

/// @return the name of the verb, empty if there is none.
std::string FindVerbName(const strings& arguments) {
  po::options_description all = MakeGlobalOptions();
  all.add_options()("verb", po::value<std::string>())(
      "rest", po::value<strings>()->multitoken());
  po::positional_options_description positions;
  positions.add("verb", 1).add("rest", -1);
  po::variables_map found;
  po::store(po::command_line_parser(arguments)
                .options(all)
                .positional(positions)
                .allow_unregistered()
                .run(),
            found);
  return found.contains("verb") ? found["verb"].as<std::string>()
                                : std::string();
}

po::variables_map ParseVerb(const strings& arguments, const verb_entry& entry) {
  po::options_description all = MakeGlobalOptions();
  all.add(MakeVerbOptions(entry));
  all.add_options()("verb", po::value<std::string>())("names",
                                                      po::value<strings>());
  po::positional_options_description positions;
  positions.add("verb", 1).add("names", -1);
  po::variables_map found;
  po::store(po::command_line_parser(arguments)
                .options(all)
                .positional(positions)
                .run(),
            found);
  return found;
}

std::variant<command, usage> Parse(const strings& arguments,
                                   const environment& env) {
  const std::string name = FindVerbName(arguments);
  const verb_entry* const entry = FindVerb(name);
  const auto has = [&](std::string_view flag) {
    return std::ranges::find(arguments, flag) != arguments.end();
  };
  if (name.empty() && has("--version")) {
    return usage{exit_code::kOk, "mangoplank-ctl " MANGOPLANK_VERSION "\n"};
  }
  if (name.empty() && (has("--help") || has("-h"))) {
    return usage{exit_code::kOk, FormatGeneralHelp()};
  }
  if (name.empty()) throw usage_error{"a verb is needed; see --help"};
  if (name == "help") return usage{exit_code::kOk, FormatGeneralHelp()};
  if (entry == nullptr) {
    throw usage_error{fmt::format("unknown verb '{}'; see --help", name)};
  }
  po::variables_map options = ParseVerb(arguments, *entry);
  if (options.contains("help")) {
    return usage{exit_code::kOk, FormatVerbHelp(*entry)};
  }
  po::notify(options);

  verb_arguments given{options, {}, ""};
  if (options.contains("names")) {
    given.operands = options["names"].as<strings>();
  }
  given.department = given.GetText("department");
  if (given.department.empty()) given.department = env("MANGOPLANK_DEPARTMENT");
  command parsed;
  parsed.server = ReadServer(given.GetText("server"), env);
  parsed.token = ReadToken(given.GetText("token-file"), env);
  parsed.department = given.department;
  parsed.output = ParseOutputFormat(given.GetText("output"));
  const std::int64_t timeout_ms =
      given.GetNumber("timeout-ms", parsed.timeout.count());
  if (timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
    throw usage_error{"--timeout-ms must be from 1 to 3600000"};
  }
  parsed.timeout = core::milliseconds(timeout_ms);
  parsed.verb = entry->parse(given);
  return parsed;
}

}  // namespace

std::variant<command, usage> ParseCommandLine(const strings& arguments,
                                              const environment& env) {
  // Boost.Program_options reports errors by exceptions; none leaves here.
  try {
    return Parse(arguments, env);
  } catch (const po::error& e) {
    return usage{exit_code::kUsage, fmt::format("{}\n", e.what())};
  } catch (const usage_error& e) {
    return usage{exit_code::kUsage, e.reason + "\n"};
  }
}

}  // namespace mangoplank::ctl
