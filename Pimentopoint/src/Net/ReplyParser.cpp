#include "ReplyParser.h"

namespace pimentopoint {

namespace http = boost::beast::http;

namespace {

    constexpr const char* longHead = "the heads of the reply and of the interim replies before it are longer than the limit";
    constexpr const char* longFraming = "the chunk headers or the trailer of the reply are longer than the limit";

} // namespace

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
        if (const char* exceeded = exceededLimit(overhead))
            return reject(exceeded);
        if (error == http::error::header_limit)
            return reject(longHead);
        if (error == http::error::body_limit)
            return reject("the body of the reply is longer than the limit, or states that it is");
        if (error && error != http::error::need_more)
            return reject("the reply must be valid HTTP");
        if (error || !consumed)
            break;
    }
    m_input.erase(0, parsed);
    // The library's limits don't cover the header of a chunk and a trailer, which it parses only as a whole.
    if (!m_parser->is_done())
        return m_input.size() > m_limits.headBytes ? reject(m_parser->is_header_done() ? longFraming : longHead) : Progress::Incomplete;
    return m_parser->get().result_int() < firstFinalStatus ? Progress::Interim : Progress::Complete;
}

ReplyParser::Progress ReplyParser::putEnd()
{
    boost::system::error_code error;
    if (m_parser->got_some())
        m_parser->put_eof(error);
    return !error && m_parser->is_done() ? Progress::Complete : reject("the connection ended before the reply was complete");
}

const char* ReplyParser::exceededLimit(std::size_t overhead) const
{
    if (m_headBytes > m_limits.headBytes)
        return longHead;
    return overhead > m_limits.headBytes || m_framingBytes > m_limits.bodyBytes ? longFraming : nullptr;
}

ReplyParser::Progress ReplyParser::reject(const char* cause)
{
    m_cause = cause;
    return Progress::Invalid;
}

} // namespace pimentopoint
