#include "ReplyParser.h"

namespace pimentopoint {

namespace http = boost::beast::http;

ReplyParser::ReplyParser(Limits limits, bool hasBody)
    : m_limits(limits)
    , m_hasBody(hasBody)
{
    beginReply();
}

void ReplyParser::beginReply()
{
    m_parser.emplace();
    // Eager parsing would go on after the stated length was found to exceed the body limit (Boost 1.74).
    m_parser->eager(false);
    m_parser->header_limit(m_limits.headBytes);
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->skip(!m_hasBody);
}

ReplyParser::Progress ReplyParser::put(std::string_view bytes)
{
    constexpr unsigned firstFinalStatus = 200;
    if (m_parser->is_done())
        beginReply();
    m_input.append(bytes);
    std::size_t parsed = 0;
    while (parsed < m_input.size() && !m_parser->is_done()) {
        boost::system::error_code error;
        bool inHead = !m_parser->is_header_done();
        std::size_t bodyBytes = m_parser->get().body().size();
        std::size_t consumed = m_parser->put(boost::asio::buffer(m_input) + parsed, error);
        std::size_t overhead = consumed - (m_parser->get().body().size() - bodyBytes);
        parsed += consumed;
        (inHead ? m_headBytes : m_framingBytes) += overhead;
        bool withinLimits = m_headBytes <= m_limits.headBytes && overhead <= m_limits.headBytes && m_framingBytes <= m_limits.bodyBytes;
        if (!withinLimits || (error && error != http::error::need_more))
            return Progress::Invalid;
        if (error || !consumed)
            break;
    }
    m_input.erase(0, parsed);
    // The library's limits don't cover the header of a chunk and a trailer, which it parses only as a whole.
    if (!m_parser->is_done())
        return m_input.size() > m_limits.headBytes ? Progress::Invalid : Progress::Incomplete;
    return m_parser->get().result_int() < firstFinalStatus ? Progress::Interim : Progress::Complete;
}

ReplyParser::Progress ReplyParser::putEnd()
{
    boost::system::error_code error;
    if (m_parser->got_some())
        m_parser->put_eof(error);
    return !error && m_parser->is_done() ? Progress::Complete : Progress::Invalid;
}

} // namespace pimentopoint
