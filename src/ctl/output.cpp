#include "ctl/output.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mangoplank::ctl {

namespace {

namespace json = boost::json;

/// Header of a column and the path of the member that it shows.
struct column {
  std::string_view header;
  std::string_view path;
};

std::vector<column> JobColumns() {
  return {{"NAME", "name"},
          {"TASKS", "spec.tasks"},
          {"WAITING", "status.waiting"},
          {"ASSIGNED", "status.assigned"},
          {"RUNNING", "status.running"},
          {"SUCCEEDED", "status.succeeded"},
          {"FAILED", "status.failed"},
          {"NOT-RUN", "status.not_run"},
          {"STOPPED", "status.stopped"},
          {"UNKNOWN", "status.unknown"},
          {"URGENCY", "spec.urgency"},
          {"VERSION", "version"}};
}

std::vector<column> ColumnsOf(cell::object_kind kind) {
  switch (kind) {
    case cell::object_kind::kService:
      return {{"NAME", "name"},
              {"REPLICAS", "spec.replicas"},
              {"RUNNING", "status.running"},
              {"WAITING", "status.waiting"},
              {"URGENCY", "spec.urgency"},
              {"GENERATION", "generation"},
              {"VERSION", "version"}};
    case cell::object_kind::kBatchJob:
    case cell::object_kind::kGangJob:
      return JobColumns();
    case cell::object_kind::kDepartment:
      return {{"NAME", "name"},
              {"PARENT", "spec.parent"},
              {"WEIGHT", "spec.weight"},
              {"CPU-MILLI", "spec.quota.cpu_milli"},
              {"MEMORY-MIB", "spec.quota.memory_mib"},
              {"ACCELERATORS", "spec.quota.accelerators"},
              {"VERSION", "version"}};
    case cell::object_kind::kWorker:
      return {{"NAME", "name"},
              {"REGION", "worker.region"},
              {"RACK", "worker.rack"},
              {"DRAIN", "spec.drain"},
              {"CPU-MILLI", "worker.capacity.cpu_milli"},
              {"USED", "committed.cpu_milli"},
              {"MEMORY-MIB", "worker.capacity.memory_mib"},
              {"USED", "committed.memory_mib"},
              {"ADDRESS", "worker.address"}};
    case cell::object_kind::kConfiguration:
      break;
  }
  return {{"NAME", "name"}, {"VERSION", "version"}, {"VALUES", "spec.values"}};
}

const json::value* Find(const json::value& root, std::string_view path) {
  const json::value* found = &root;
  while (found != nullptr && !path.empty()) {
    const std::size_t dot = path.find('.');
    const json::object* const parent = found->if_object();
    found =
        parent == nullptr ? nullptr : parent->if_contains(path.substr(0, dot));
    path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
  }
  return found;
}

}  // namespace

std::string Printable(std::string_view text) {
  std::string out(text);
  std::ranges::replace_if(
      out, [](unsigned char c) { return (c < ' ' && c != '\n') || c == 0x7f; },
      '?');
  return out;
}

void PrintTable(std::ostream& out, const table& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << (last ? row[i] : fmt::format("{:<{}}  ", row[i], widths[i]));
    }
    out << "\n";
  }
}

std::string TextAt(const json::value& value, std::string_view path) {
  const json::value* const found = Find(value, path);
  if (found == nullptr || found->is_null()) return "-";
  if (const json::string* const text = found->if_string()) {
    return text->empty()
               ? "-"
               : Printable(std::string_view(text->data(), text->size()));
  }
  return Printable(json::serialize(*found));
}

std::int64_t NumberAt(const json::value& value, std::string_view path) {
  const json::value* const found = Find(value, path);
  if (found == nullptr) return 0;
  if (found->is_int64()) return found->get_int64();
  return found->is_uint64() ? static_cast<std::int64_t>(found->get_uint64())
                            : 0;
}

table MakeObjectTable(cell::object_kind kind, const json::array& objects) {
  const std::vector<column> columns = ColumnsOf(kind);
  table rows(1);
  for (const column& shown : columns) rows[0].emplace_back(shown.header);
  for (const json::value& object : objects) {
    std::vector<std::string>& row = rows.emplace_back();
    for (const column& shown : columns) {
      row.push_back(TextAt(object, shown.path));
    }
  }
  return rows;
}

void PrintIndented(std::ostream& out, const json::value& value, int depth) {
  const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
  if (const json::array* const list = value.if_array()) {
    for (const json::value& item : *list) {
      out << indent << "-\n";
      PrintIndented(out, item, depth + 1);
    }
    return;
  }
  const json::object* const object = value.if_object();
  if (object == nullptr) {
    out << indent << TextAt(value, "") << "\n";
    return;
  }
  for (const auto& member : *object) {
    const json::value& inner = member.value();
    out << indent << std::string(member.key()) << ":";
    if (inner.is_object() || inner.is_array()) {
      out << "\n";
      PrintIndented(out, inner, depth + 1);
    } else {
      out << " " << TextAt(inner, "") << "\n";
    }
  }
}

}  // namespace mangoplank::ctl
