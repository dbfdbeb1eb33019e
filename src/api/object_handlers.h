#ifndef MANGOPLANK_API_OBJECT_HANDLERS_H_
#define MANGOPLANK_API_OBJECT_HANDLERS_H_

#include "api/json_codec.h"
#include "api/request_context.h"

namespace mangoplank::api {

/// Reads and changes declared objects.
class object_handlers {
 public:
  using result = core::awaitable<core::outcome<response>>;

  object_handlers(control::client& client, const distribution::view& view)
      : client_(client), view_(view) {}

  /// One page of a collection.
  result List(const request_context& context, collection_route route);
  result Get(const request_context& context, item_route route);
  /// POST on a collection.
  result Create(const request_context& context, collection_route route);
  /// PUT: creates or replaces.
  result Put(const request_context& context, item_route route);
  /// PATCH: merges a patch into the spec.
  result Patch(const request_context& context, item_route route);
  result Delete(const request_context& context, item_route route);
  result Cancel(const request_context& context, cancel_route route);
  result Explain(const request_context& context, explain_route route);
  result Drain(const request_context& context, drain_route route);

 private:
  /// Reads one object from the leader.
  core::awaitable<core::outcome<control::object_view>> ReadObject(
      cell::object_key key, core::time_point deadline);
  result Write(const request_context& context, change_options options,
               api::declaration declaration);

  control::client& client_;
  const distribution::view& view_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_OBJECT_HANDLERS_H_
