#ifndef MANGOPLANK_API_JSON_CODEC_H_
#define MANGOPLANK_API_JSON_CODEC_H_

#include <boost/json.hpp>
#include <optional>
#include <string_view>

#include "mangoplank/control/messages.h"

/// Translation between JSON and the values of cell and control.
namespace mangoplank::api {

/// @return the name of a kind in JSON, for example `batch_job`.
std::string_view KindName(cell::object_kind kind);
/// @return the collection's name in paths, for example `batch_jobs`.
std::string_view CollectionName(cell::object_kind kind);
/// @return the kind with this collection name.
std::optional<cell::object_kind> KindFromCollection(
    std::string_view collection);
/// @return the kind with this name.
std::optional<cell::object_kind> KindFromName(std::string_view name);
/// @return whether objects of the kind belong to a department.
bool IsDepartmental(cell::object_kind kind);

/// @return the name of an outcome, for example `not_run`.
std::string_view EndingName(cell::ending ending);
/// @return the name of a phase, for example `running`.
std::string_view PhaseName(cell::task_phase phase);

/// Parses JSON.
/// @return the value, or an invalid_request that states the position.
core::outcome<boost::json::value> ParseJson(std::string_view text);

/// A declaration as sent by an operator.
struct declaration {
  cell::object_key key;
  cell::object_spec spec;
  /// Version on which the declaration is based; 0 if not given.
  core::revision version = 0;

  friend bool operator==(const declaration&, const declaration&) = default;
};

/// Reads a declaration. Members that the system sets (`uid`, `generation`,
/// `created_ms`, `status`, `worker`, `committed`) are accepted but ignored, so
/// that an object that was read can be changed and sent back.
/// @param key in the path; an empty name is taken from the declaration. Members
/// of the declaration that differ from it are errors.
/// @return the declaration, or an invalid_request with an entry for each
/// invalid field.
core::outcome<declaration> ReadDeclaration(const boost::json::value& value,
                                           const cell::object_key& key);

/// Reads a spec without the rest of its declaration.
core::outcome<cell::object_spec> ReadSpec(const boost::json::value& value,
                                          cell::object_kind kind);

boost::json::value WriteSpec(const cell::object_spec& spec);
boost::json::object WriteKey(const cell::object_key& key);
boost::json::object WriteObject(const cell::object& object);
/// Writes an object with its status, and a worker with its announced state.
boost::json::object WriteView(const control::object_view& view);
boost::json::object WriteTask(const cell::task_record& task);
boost::json::object WriteWorker(const cell::worker_record& worker);
boost::json::object WriteStatus(const control::status_answer& status);

/// Reads a worker's announcement (docs/worker_protocol.md).
/// @param name of the worker in the path.
core::outcome<control::announcement> ReadAnnouncement(
    const boost::json::value& value, const core::worker_id& name);
boost::json::object WriteReply(const control::announcement_reply& reply);

/// Applies a merge patch (RFC 7396).
boost::json::value MergePatch(boost::json::value target,
                              const boost::json::value& patch);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_JSON_CODEC_H_
