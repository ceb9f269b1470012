#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace pimentopoint {

/// \class ReplyBody
/// \ingroup Net
/// \brief Body type for Boost.Beast that stores a reply's body in a string and allocates memory only for bytes that have arrived.
/// \details boost::beast::http::string_body reserves the length that the sender states.
struct ReplyBody {
    using value_type = std::string;

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) { error = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            std::size_t before = m_body.size();
            for (auto buffer : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
            error = {};
            return m_body.size() - before;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
    using reader = Reader; ///< The name that Boost.Beast expects.
};

} // namespace pimentopoint
