#ifndef MANGOPLANK_API_OBJECT_HANDLERS_H_
#define MANGOPLANK_API_OBJECT_HANDLERS_H_

#include "api/exchange.h"
#include "api/json_codec.h"

namespace mangoplank::api {

/// Reads and changes declared objects.
class object_handlers {
 public:
  using result = core::awaitable<core::outcome<response>>;

  object_handlers(control::client& client, const distribution::view& view)
      : client_(client), view_(view) {}

  /// One page of a collection.
  result List(const exchange& x, collection_route to);
  result Get(const exchange& x, item_route to);
  /// POST on a collection.
  result Create(const exchange& x, collection_route to);
  /// PUT: creates or replaces.
  result Put(const exchange& x, item_route to);
  /// PATCH: merges into the spec.
  result Patch(const exchange& x, item_route to);
  result Delete(const exchange& x, item_route to);
  result Cancel(const exchange& x, cancel_route to);
  result Explain(const exchange& x, explain_route to);
  result Drain(const exchange& x, drain_route to);

 private:
  /// Reads one object from the leader.
  core::awaitable<core::outcome<control::object_view>> Read(
      cell::object_key key, core::time_point deadline);
  result Write(const exchange& x, change_options options, declaration d);

  control::client& client_;
  const distribution::view& view_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_OBJECT_HANDLERS_H_
