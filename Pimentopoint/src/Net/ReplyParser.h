#pragma once

#include "ReplyBody.h"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class ReplyParser
/// \ingroup Net
/// \brief Parses the bytes of one HTTP reply, and of the interim replies before it, and keeps what it stores within limits.
class ReplyParser {
public:
    struct Limits {
        std::uint32_t headBytes; ///< Most bytes of all heads, of the header of a chunk with its extensions, and of a trailer.
        std::uint64_t bodyBytes; ///< Most bytes of the body, and of the framing of its chunks.
    };
    enum class Progress : std::uint8_t {
        Incomplete, ///< More bytes are needed.
        Interim, ///< An interim reply is complete; parsing goes on with the next call of put().
        Complete,
        Invalid, ///< The bytes are not a valid reply within the limits; the parser can't be used further.
    };

    /// \param hasBody whether the reply may have a body; replies to HEAD requests have none
    ReplyParser(Limits limits, bool hasBody);

    /// Parses \a bytes after those that are left from earlier calls.
    Progress put(std::string_view bytes);
    /// Ends the reply, since the connection was closed by the sender.
    Progress putEnd();

    /// \returns why the reply is invalid, after Progress::Invalid
    const char* cause() const { return m_cause; }
    /// \returns the final reply; complete after Progress::Complete
    const boost::beast::http::response<ReplyBody>& reply() const { return m_parser->get(); }
    std::string takeBody() { return std::move(m_parser->get().body()); }
    /// \returns the memory that the bytes of the reply use
    std::size_t heldBytes() const { return m_input.capacity() + m_headBytes + m_parser->get().body().capacity(); }
    /// \returns whether the connection can carry another request after the complete reply
    bool reusable() const { return m_input.empty() && m_parser->keep_alive() && !m_parser->need_eof(); }

private:
    using Parser = boost::beast::http::response_parser<ReplyBody>;

    void beginReply();
    Progress reject(const char* cause);
    /// \returns why the bytes parsed so far exceed a limit; null if they don't
    const char* exceededLimit(std::size_t overhead) const;

    Limits m_limits;
    bool m_hasBody;
    std::string m_input; ///< Bytes that are not parsed yet.
    std::size_t m_headBytes = 0; ///< Bytes of heads that are parsed, those of interim replies included.
    std::size_t m_framingBytes = 0; ///< Bytes of chunk headers and trailers that are parsed.
    std::optional<Parser> m_parser;
    const char* m_cause = "";
};

} // namespace pimentopoint
