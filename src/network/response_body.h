// The body of a response as Beast's parser fills it.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace delivery {

// Whether the body of a response is kept. One that is discarded is read to its end all the same, so that the
// connection can be reused.
enum class BodyUse { keep, discard };

// A body type as Beast requires it (its names are Beast's). Unlike string_body it reserves no memory for the
// length that the peer announces.
struct ResponseBody {
  struct value_type {  // NOLINT(readability-identifier-naming)
    std::string text;
    BodyUse use = BodyUse::keep;
  };

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <class Header>
    reader(Header& /*header*/, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      if (body_.use == BodyUse::keep) {
        for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
          body_.text.append(static_cast<const char*>(buffer.data()), buffer.size());
        }
      }
      return boost::asio::buffer_size(buffers);
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace delivery
