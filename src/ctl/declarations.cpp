#include "ctl/declarations.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <utility>

#include "mangoplank/cell/state.h"

namespace mangoplank::ctl {

namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

using errors = std::vector<core::field_error>;

/// Departments come before the work that belongs to them.
int Rank(cell::object_kind k) {
  if (k == cell::object_kind::kDepartment) return 0;
  return api::IsDepartmental(k) ? 2 : 1;
}

std::vector<std::string> FilesAt(const std::string& path, errors& wrong) {
  std::error_code ec;
  std::vector<std::string> files;
  if (!fs::is_directory(path, ec)) return {path};
  for (fs::recursive_directory_iterator it(path, ec), end; !ec && it != end;
       it.increment(ec)) {
    if (it->path().extension() == ".json" && it->is_regular_file(ec)) {
      files.push_back(it->path().string());
    }
  }
  if (ec) wrong.push_back({path, ec.message()});
  if (!ec && files.empty()) wrong.push_back({path, "holds no *.json file"});
  std::ranges::sort(files);
  return files;
}

std::string TextOf(const json::object& o, std::string_view name) {
  const json::value* const v = o.if_contains(name);
  if (v == nullptr || !v->is_string()) return {};
  const json::string& s = v->get_string();
  return {s.data(), s.size()};
}

void ReadOne(const json::value& v, const std::string& where,
             const std::string& department, std::vector<declared>& out,
             errors& wrong) {
  const json::object* const o = v.if_object();
  const auto kind = o ? api::KindFromName(TextOf(*o, "kind")) : std::nullopt;
  if (!kind) {
    wrong.push_back({where + ": kind",
                     "must be one of: service, batch_job, "
                     "gang_job, department, worker, "
                     "configuration"});
    return;
  }
  cell::object_key key{*kind, {}, ""};
  if (api::IsDepartmental(*kind)) {
    const std::string own = TextOf(*o, "department");
    key.department.v = own.empty() ? department : own;
  }
  const auto d = api::ReadDeclaration(v, key);
  const errors found = d ? cell::Validate(d->key, d->spec)
                         : std::get<core::invalid_request>(d.error()).fields;
  for (const core::field_error& f : found) {
    wrong.push_back({fmt::format("{}: {}", where, f.field), f.reason});
  }
  if (found.empty()) out.push_back({where, *d});
}

void ReadFile(const std::string& file, const std::string& department,
              std::vector<declared>& out, errors& wrong) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    wrong.push_back({file, "can't be read"});
    return;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  const auto v = api::ParseJson(text);
  if (!v) {
    wrong.push_back({file, core::Describe(v.error())});
    return;
  }
  const json::array* const list = v->if_array();
  if (list == nullptr) {
    ReadOne(*v, file, department, out, wrong);
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    ReadOne((*list)[i], fmt::format("{}[{}]", file, i), department, out, wrong);
  }
}

void CheckRepeated(const std::vector<declared>& all, errors& wrong) {
  std::map<cell::object_key, std::string> first;
  for (const declared& d : all) {
    const auto [it, added] = first.emplace(d.d.key, d.file);
    if (!added) {
      wrong.push_back(
          {d.file + ": name", fmt::format("'{}' is also declared in {}",
                                          d.d.key.name, it->second)});
    }
  }
}

}  // namespace

core::outcome<std::vector<declared>> LoadDeclarations(
    const std::string& path, const std::string& department) {
  core::invalid_request failure;
  std::vector<declared> out;
  for (const std::string& file : FilesAt(path, failure.fields)) {
    ReadFile(file, department, out, failure.fields);
  }
  CheckRepeated(out, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  std::ranges::stable_sort(
      out, {}, [](const declared& d) { return Rank(d.d.key.kind); });
  return out;
}

std::vector<std::string> Differences(const json::value& before,
                                     const json::value& after,
                                     const std::string& path) {
  std::vector<std::string> out;
  if (before == after) return out;
  const json::object* const b = before.if_object();
  const json::object* const a = after.if_object();
  if (b == nullptr || a == nullptr) {
    out.push_back(fmt::format("~ {}: {} -> {}", path, json::serialize(before),
                              json::serialize(after)));
    return out;
  }
  for (const auto& member : *a) {
    const std::string name =
        fmt::format("{}.{}", path, std::string(member.key()));
    const json::value* const old = b->if_contains(member.key());
    if (old == nullptr) {
      out.push_back(
          fmt::format("+ {}: {}", name, json::serialize(member.value())));
      continue;
    }
    const auto inner = Differences(*old, member.value(), name);
    out.insert(out.end(), inner.begin(), inner.end());
  }
  for (const auto& member : *b) {
    if (a->contains(member.key())) continue;
    out.push_back(fmt::format("- {}.{}: {}", path, std::string(member.key()),
                              json::serialize(member.value())));
  }
  return out;
}

}  // namespace mangoplank::ctl
