#ifndef MANGOPLANK_API_GROWING_BODY_H_
#define MANGOPLANK_API_GROWING_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace mangoplank::api {

/// A body in a string that grows with what arrives. Unlike string_body it
/// allocates nothing for a length that is only announced.
/// Beast sets the names of the members.
struct growing_body {
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& ec) {
      ec = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      for (const auto part : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(part.data()), part.size());
      }
      return boost::asio::buffer_size(buffers);
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_GROWING_BODY_H_
