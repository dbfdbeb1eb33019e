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
constexpr std::int64_t kMostTimeoutMs = 3'600'000;

/// A wrong command line; caught in ParseCommandLine.
struct wrong_usage {
  std::string reason;
};

/// What a verb's parser works on.
struct parsed {
  const po::variables_map& options;
  /// What follows the verb.
  strings names;
  std::string department;

  bool Flag(const char* name) const { return options.contains(name); }
  std::string Text(const char* name) const {
    return options.contains(name) ? options[name].as<std::string>()
                                  : std::string();
  }
  std::int64_t Number(const char* name, std::int64_t fallback) const {
    if (!options.contains(name)) return fallback;
    const auto n = options[name].as<std::int64_t>();
    if (n < 0)
      throw wrong_usage{fmt::format("--{} must not be negative", name)};
    return n;
  }
};

/// One verb, declared once.
struct verb_entry {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  void (*options)(po::options_description_easy_init);
  verb (*parse)(const parsed&);
};

void NoOptions(po::options_description_easy_init) {}

void PathOptions(po::options_description_easy_init add) {
  add("file,f", po::value<std::string>()->required(),
      "declaration, or folder of declarations (*.json)");
  add("prune",
      "also delete objects of the departments and kinds present in "
      "the declarations that are not declared");
}

void ApplyOptions(po::options_description_easy_init add) {
  PathOptions(add);
  add("dry-run", "check at the cell and change nothing");
}

void WatchOptions(po::options_description_easy_init add) {
  add("from", po::value<std::int64_t>(), "revision after which to begin");
}

void DeleteOptions(po::options_description_easy_init add) {
  add("if-version", po::value<std::int64_t>(),
      "delete only if this is the version");
}

void RunOptions(po::options_description_easy_init add) {
  add("file,f", po::value<std::string>()->required(),
      "declaration of a batch or gang job");
  add("no-wait", "return when the job is accepted");
}

void CallOptions(po::options_description_easy_init add) {
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

void RolloutOptions(po::options_description_easy_init add) {
  add("wait", "wait for the end of the rollout");
}

cell::object_kind KindNamed(const std::string& word) {
  auto k = api::KindFromName(word);
  if (!k) k = api::KindFromCollection(word);
  if (!k) throw wrong_usage{fmt::format("unknown kind '{}'", word)};
  return *k;
}

target_name Target(const parsed& p, std::size_t first, bool name_needed) {
  const std::size_t given = p.names.size();
  if (given <= first || given > first + 2) {
    throw wrong_usage{name_needed ? "KIND and NAME are needed"
                                  : "KIND is needed"};
  }
  if (name_needed && given < first + 2) throw wrong_usage{"NAME is needed"};
  target_name t;
  t.k = KindNamed(p.names[first]);
  if (given == first + 2) t.name = p.names[first + 1];
  if (!api::IsDepartmental(t.k)) return t;
  t.department = p.department;
  if (t.department.empty()) {
    throw wrong_usage{"--department or MANGOPLANK_DEPARTMENT is needed"};
  }
  return t;
}

void RequireCount(const parsed& p, std::size_t n) {
  if (p.names.size() != n) {
    throw wrong_usage{fmt::format("{} arguments are needed, {} were given", n,
                                  p.names.size())};
  }
}

verb ParseApply(const parsed& p) {
  RequireCount(p, 0);
  return apply_verb{p.Text("file"), p.Flag("prune"), p.Flag("dry-run")};
}
verb ParseDiff(const parsed& p) {
  RequireCount(p, 0);
  return diff_verb{p.Text("file"), p.Flag("prune")};
}
verb ParseGet(const parsed& p) { return get_verb{Target(p, 0, false)}; }
verb ParseDescribe(const parsed& p) {
  return describe_verb{Target(p, 0, true)};
}
verb ParseWatch(const parsed& p) {
  const auto from = static_cast<core::revision>(p.Number("from", 0));
  return watch_verb{Target(p, 0, false), from};
}
verb ParseExplain(const parsed& p) { return explain_verb{Target(p, 0, true)}; }
verb ParseDrain(const parsed& p) {
  RequireCount(p, 1);
  return drain_verb{p.names[0], true};
}
verb ParseUndrain(const parsed& p) {
  RequireCount(p, 1);
  return drain_verb{p.names[0], false};
}
verb ParseCancel(const parsed& p) { return cancel_verb{Target(p, 0, true)}; }
verb ParseDelete(const parsed& p) {
  delete_verb v{Target(p, 0, true), std::nullopt};
  const std::int64_t version = p.Number("if-version", 0);
  if (version > 0) v.expected = static_cast<core::revision>(version);
  return v;
}
verb ParseRun(const parsed& p) {
  RequireCount(p, 0);
  return run_verb{p.Text("file"), !p.Flag("no-wait")};
}
verb ParseCall(const parsed& p) {
  call_verb v;
  v.ask = p.Flag("ask");
  RequireCount(p, v.ask ? 1 : 2);
  v.department = p.department;
  if (v.department.empty()) {
    throw wrong_usage{"--department or MANGOPLANK_DEPARTMENT is needed"};
  }
  v.service = p.names[0];
  if (!v.ask) v.operation = p.names[1];
  v.key = p.Text("key");
  if (v.ask && v.key.empty()) throw wrong_usage{"--ask needs --key"};
  v.deadline_ms = p.Number("deadline-ms", 0);
  v.body_file = p.Text("body");
  return v;
}
verb ParseRollout(const parsed& p) {
  if (p.names.empty() || p.names[0] != "status") {
    throw wrong_usage{"the only form is: rollout status KIND NAME"};
  }
  return rollout_verb{Target(p, 1, true), p.Flag("wait")};
}
verb ParseTop(const parsed& p) {
  RequireCount(p, 0);
  return top_verb{};
}

constexpr auto kVerbs = std::to_array<verb_entry>({
    {"apply", "-f PATH", "create or change the declared objects", ApplyOptions,
     ParseApply},
    {"diff", "-f PATH", "show what apply would change", PathOptions, ParseDiff},
    {"get", "KIND [NAME]", "list objects or show one", NoOptions, ParseGet},
    {"describe", "KIND NAME", "show all about one object", NoOptions,
     ParseDescribe},
    {"watch", "KIND [NAME]", "print changes as they come", WatchOptions,
     ParseWatch},
    {"explain", "KIND NAME", "why a job waits, runs or ended", NoOptions,
     ParseExplain},
    {"drain", "WORKER", "give a worker no new work and move its work away",
     NoOptions, ParseDrain},
    {"undrain", "WORKER", "let a worker take work again", NoOptions,
     ParseUndrain},
    {"cancel", "KIND NAME", "end a job's tasks and keep its object", NoOptions,
     ParseCancel},
    {"delete", "KIND NAME", "delete an object", DeleteOptions, ParseDelete},
    {"run", "-f FILE", "submit a job and wait for its end", RunOptions,
     ParseRun},
    {"call", "SERVICE OPERATION", "call a service; prints the answer",
     CallOptions, ParseCall},
    {"rollout", "status KIND NAME",
     "how far a service's or a configuration's last change is", RolloutOptions,
     ParseRollout},
    {"top", "", "shares of departments and load of the cell", NoOptions,
     ParseTop},
});

void AddGlobals(po::options_description_easy_init add) {
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

po::options_description Globals() {
  po::options_description d("Options");
  AddGlobals(d.add_options());
  return d;
}

const verb_entry* FindVerb(std::string_view name) {
  const auto it = std::ranges::find(kVerbs, name, &verb_entry::name);
  return it == kVerbs.end() ? nullptr : &*it;
}

constexpr const char* kExitCodes =
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

std::string GeneralHelp() {
  std::ostringstream out;
  out << "mangoplank-ctl [OPTIONS] VERB [ARGUMENTS]\n\nVerbs:\n";
  for (const verb_entry& v : kVerbs) {
    out << fmt::format("  {:<26} {}\n",
                       fmt::format("{} {}", v.name, v.arguments), v.help);
  }
  out << "\nKinds: service, batch_job, gang_job, department, worker, "
         "configuration\n\n"
      << Globals() << "\n"
      << kExitCodes;
  return out.str();
}

po::options_description VerbOptions(const verb_entry& v) {
  po::options_description d(fmt::format("Options of {}", v.name));
  v.options(d.add_options());
  return d;
}

std::string VerbHelp(const verb_entry& v) {
  std::ostringstream out;
  out << fmt::format("mangoplank-ctl {} {}\n\n{}\n\n", v.name, v.arguments,
                     v.help);
  const po::options_description own = VerbOptions(v);
  if (!own.options().empty()) out << own << "\n";
  out << Globals() << "\n" << kExitCodes;
  return out.str();
}

std::string ReadToken(const std::string& file, const environment& env) {
  if (file.empty()) return env("MANGOPLANK_TOKEN");
  std::ifstream in(file);
  std::string token;
  if (!std::getline(in, token)) {
    throw wrong_usage{fmt::format("can't read a token from {}", file)};
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
  const auto e = core::Capture([&] { return settings::ParseEndpoint(text); });
  if (!e) throw wrong_usage{"--server must be IP-ADDRESS:PORT"};
  return *e;
}

output_format ReadFormat(const std::string& text) {
  if (text.empty() || text == "table") return output_format::kTable;
  if (text == "json") return output_format::kJson;
  throw wrong_usage{"--output must be table or json"};
}

/// @return the name of the verb, empty if there is none.
std::string VerbName(const strings& arguments) {
  po::options_description all = Globals();
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

po::variables_map ParseVerb(const strings& arguments, const verb_entry& v) {
  po::options_description all = Globals();
  all.add(VerbOptions(v));
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
  const std::string name = VerbName(arguments);
  const verb_entry* const entry = FindVerb(name);
  const auto has = [&](std::string_view flag) {
    return std::ranges::find(arguments, flag) != arguments.end();
  };
  if (name.empty() && has("--version")) {
    return usage{exit_code::kOk, "mangoplank-ctl " MANGOPLANK_VERSION "\n"};
  }
  if (name.empty() && (has("--help") || has("-h"))) {
    return usage{exit_code::kOk, GeneralHelp()};
  }
  if (name.empty()) throw wrong_usage{"a verb is needed; see --help"};
  if (name == "help") return usage{exit_code::kOk, GeneralHelp()};
  if (entry == nullptr) {
    throw wrong_usage{fmt::format("unknown verb '{}'; see --help", name)};
  }
  po::variables_map options = ParseVerb(arguments, *entry);
  if (options.contains("help")) {
    return usage{exit_code::kOk, VerbHelp(*entry)};
  }
  po::notify(options);

  parsed p{options, {}, ""};
  if (options.contains("names")) p.names = options["names"].as<strings>();
  p.department = p.Text("department");
  if (p.department.empty()) p.department = env("MANGOPLANK_DEPARTMENT");
  command c;
  c.server = ReadServer(p.Text("server"), env);
  c.token = ReadToken(p.Text("token-file"), env);
  c.department = p.department;
  c.output = ReadFormat(p.Text("output"));
  const std::int64_t timeout = p.Number("timeout-ms", c.timeout.count());
  if (timeout < 1 || timeout > kMostTimeoutMs) {
    throw wrong_usage{"--timeout-ms must be from 1 to 3600000"};
  }
  c.timeout = core::milliseconds(timeout);
  c.v = entry->parse(p);
  return c;
}

}  // namespace

std::variant<command, usage> ParseCommandLine(const strings& arguments,
                                              const environment& env) {
  // Program_options reports by exceptions; they end here.
  try {
    return Parse(arguments, env);
  } catch (const po::error& e) {
    return usage{exit_code::kUsage, fmt::format("{}\n", e.what())};
  } catch (const wrong_usage& e) {
    return usage{exit_code::kUsage, e.reason + "\n"};
  }
}

}  // namespace mangoplank::ctl
