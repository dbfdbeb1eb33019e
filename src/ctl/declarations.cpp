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

using field_errors = std::vector<core::field_error>;

/// Departments are applied before the objects that belong to them.
int ApplyOrderOf(cell::object_kind kind) {
  if (kind == cell::object_kind::kDepartment) return 0;
  return api::IsDepartmental(kind) ? 2 : 1;
}

std::vector<std::string> ListFiles(const std::string& path,
                                   field_errors& errors) {
  std::error_code ec;
  std::vector<std::string> files;
  if (!fs::is_directory(path, ec)) return {path};
  for (fs::recursive_directory_iterator it(path, ec), end; !ec && it != end;
       it.increment(ec)) {
    if (it->path().extension() == ".json" && it->is_regular_file(ec)) {
      files.push_back(it->path().string());
    }
  }
  if (ec) errors.push_back({path, ec.message()});
  if (!ec && files.empty()) errors.push_back({path, "contains no *.json file"});
  std::ranges::sort(files);
  return files;
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  const json::string& text = value->get_string();
  return {text.data(), text.size()};
}

void ReadOne(const json::value& value, const std::string& source,
             const std::string& department,
             std::vector<loaded_declaration>& out, field_errors& errors) {
  const json::object* const object = value.if_object();
  const auto kind =
      object ? api::KindOfWord(TextOf(*object, "kind")) : std::nullopt;
  if (!kind) {
    errors.push_back({source + ": kind",
                      "must be one of: service, batch_job, "
                      "gang_job, department, worker, "
                      "configuration"});
    return;
  }
  cell::object_key key{*kind, {}, ""};
  if (api::IsDepartmental(*kind)) {
    const std::string own = TextOf(*object, "department");
    key.department.v = own.empty() ? department : own;
  }
  const auto declaration = api::ReadDeclaration(value, key);
  const field_errors found =
      declaration ? cell::Validate(declaration->key, declaration->spec)
                  : std::get<core::invalid_request>(declaration.error()).fields;
  for (const core::field_error& error : found) {
    errors.push_back(
        {fmt::format("{}: {}", source, error.field), error.reason});
  }
  if (found.empty()) out.push_back({source, *declaration});
}

void ReadFile(const std::string& file, const std::string& department,
              std::vector<loaded_declaration>& out, field_errors& errors) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    errors.push_back({file, "can't be read"});
    return;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  const auto value = api::ParseJson(text);
  if (!value) {
    errors.push_back({file, core::Describe(value.error())});
    return;
  }
  const json::array* const list = value->if_array();
  if (list == nullptr) {
    ReadOne(*value, file, department, out, errors);
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    ReadOne((*list)[i], fmt::format("{}[{}]", file, i), department, out,
            errors);
  }
}

void CheckDuplicates(const std::vector<loaded_declaration>& all,
                     field_errors& errors) {
  std::map<cell::object_key, std::string> first;
  for (const loaded_declaration& loaded : all) {
    const auto [it, added] =
        first.emplace(loaded.declaration.key, loaded.source);
    if (!added) {
      errors.push_back({loaded.source + ": name",
                        fmt::format("'{}' is also declared in {}",
                                    loaded.declaration.key.name, it->second)});
    }
  }
}

}  // namespace

core::outcome<std::vector<loaded_declaration>> LoadDeclarations(
    const std::string& path, const std::string& department) {
  core::invalid_request failure;
  std::vector<loaded_declaration> out;
  for (const std::string& file : ListFiles(path, failure.fields)) {
    ReadFile(file, department, out, failure.fields);
  }
  CheckDuplicates(out, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  std::ranges::stable_sort(out, {}, [](const loaded_declaration& loaded) {
    return ApplyOrderOf(loaded.declaration.key.kind);
  });
  return out;
}

std::vector<std::string> ListDifferences(const json::value& before,
                                         const json::value& after,
                                         const std::string& path) {
  std::vector<std::string> out;
  if (before == after) return out;
  const json::object* const old_object = before.if_object();
  const json::object* const new_object = after.if_object();
  if (old_object == nullptr || new_object == nullptr) {
    out.push_back(fmt::format("~ {}: {} -> {}", path, json::serialize(before),
                              json::serialize(after)));
    return out;
  }
  for (const auto& member : *new_object) {
    const std::string name =
        fmt::format("{}.{}", path, std::string(member.key()));
    const json::value* const old = old_object->if_contains(member.key());
    if (old == nullptr) {
      out.push_back(
          fmt::format("+ {}: {}", name, json::serialize(member.value())));
      continue;
    }
    const auto inner = ListDifferences(*old, member.value(), name);
    out.insert(out.end(), inner.begin(), inner.end());
  }
  for (const auto& member : *old_object) {
    if (new_object->contains(member.key())) continue;
    out.push_back(fmt::format("- {}.{}: {}", path, std::string(member.key()),
                              json::serialize(member.value())));
  }
  return out;
}

}  // namespace mangoplank::ctl
