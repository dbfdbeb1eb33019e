#ifndef MANGOPLANK_API_JSON_CODEC_H_
#define MANGOPLANK_API_JSON_CODEC_H_

#include <boost/json.hpp>
#include <optional>
#include <string_view>

#include "mangoplank/control/messages.h"

/// Translation between JSON and the values of cell and control.
namespace mangoplank::api {

/// @return the word for a kind in JSON, for example `batch_job`.
std::string_view KindWord(cell::object_kind k);
/// @return the collection's name in paths, for example `batch_jobs`.
std::string_view CollectionWord(cell::object_kind k);
/// @return the kind with this collection name.
std::optional<cell::object_kind> KindOfCollection(std::string_view word);
/// @return the kind with this word.
std::optional<cell::object_kind> KindOfWord(std::string_view word);
/// @return whether objects of the kind belong to a department.
bool IsDepartmental(cell::object_kind k);

/// @return the word of an outcome, for example `not_run`.
std::string_view EndingWord(cell::ending e);
/// @return the word of a phase, for example `running`.
std::string_view PhaseWord(cell::task_phase p);

/// Parses text.
/// @return the value, or invalid_request that names the position.
core::outcome<boost::json::value> ParseJson(std::string_view text);

/// A declaration as sent by an operator.
struct declaration {
  cell::object_key key;
  cell::object_spec spec;
  /// Version on which the declaration is based; 0 if not named.
  core::revision version = 0;

  friend bool operator==(const declaration&, const declaration&) = default;
};

/// Reads a declaration. Members that the system sets (`uid`, `generation`,
/// `created_ms`, `status`, `worker`, `committed`) are accepted and not read, so
/// that an object that was read can be changed and sent back.
/// @param key of the path; an empty name is taken from the declaration. Members
/// of the declaration that differ from it are errors.
/// @return the declaration, or invalid_request with one entry for each wrong
/// field.
core::outcome<declaration> ReadDeclaration(const boost::json::value& v,
                                           const cell::object_key& key);

/// Reads a spec alone.
/// @param path in front of the names of fields in errors.
core::outcome<cell::object_spec> ReadSpec(const boost::json::value& v,
                                          cell::object_kind k);

boost::json::value WriteSpec(const cell::object_spec& spec);
boost::json::object WriteKey(const cell::object_key& key);
boost::json::object WriteObject(const cell::object& o);
/// An object with its status, and for workers what they announced.
boost::json::object WriteView(const control::object_view& v);
boost::json::object WriteTask(const cell::task_record& t);
boost::json::object WriteWorker(const cell::worker_record& w);
boost::json::object WriteStatus(const control::status_answer& s);

/// Reads a worker's announcement (docs/worker_protocol.md).
/// @param name of the worker, from the path.
core::outcome<control::announcement> ReadAnnouncement(
    const boost::json::value& v, const core::worker_id& name);
boost::json::object WriteReply(const control::announcement_reply& r);

/// Applies a merge patch (RFC 7396).
boost::json::value MergePatch(boost::json::value target,
                              const boost::json::value& patch);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_JSON_CODEC_H_
