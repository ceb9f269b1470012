#include "MemberListExchange.h"

#include "../Core/Log.h"
#include "../Peer/Frame.h"

namespace pimentopoint {

namespace {

    constexpr std::string_view listPath = "/v1/members/";
    /// A list of a thousand records takes a few milliseconds to send; a host that takes longer than this has no processor time to spare.
    constexpr Duration requestTimeout = std::chrono::seconds(1);
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNoContent = 204;

} // namespace

MemberListExchange::MemberListExchange(boost::asio::io_context& context, const Membership& membership, ListHook onList)
    : m_context(context)
    , m_membership(membership)
    , m_onList(std::move(onList))
{
}

void MemberListExchange::request(const MemberRecord& member)
{
    if (m_reader)
        return;
    m_reader = std::make_shared<HttpReader>(m_context, member.tcp());
    m_reader->get(std::string(listPath) + std::to_string(m_membership.digest()), requestTimeout, [this, from = member.tcp()](const HttpReader::Result& response) { handleResponse(from, response); });
}

void MemberListExchange::handleResponse(const Endpoint& from, const HttpReader::Result& response)
{
    // The connection is not kept: the next list comes from another host.
    auto reader = std::exchange(m_reader, nullptr);
    reader->close();
    if (response.status == statusNoContent)
        return;
    if (response.status != statusOk) {
        Log::event(Severity::Info, "member-list-failed", { { "source", from.text() }, { "cause", response.status ? "status " + std::to_string(response.status) : response.cause } });
        return;
    }
    try {
        m_onList(Frame::parse(response.body).decode<MembersReply>().members);
    } catch (const MalformedMessage& malformed) {
        Log::event(Severity::Warning, "member-list-failed", { { "source", from.text() }, { "cause", malformed.what() } });
    }
}

std::optional<CallerAnswer> MemberListExchange::answer(const std::string& path) const
{
    if (!path.starts_with(listPath))
        return std::nullopt;
    CallerAnswer answer;
    if (path.substr(listPath.size()) == std::to_string(m_membership.digest())) {
        answer.status = statusNoContent;
        return answer;
    }
    MembersReply list { m_membership.members() };
    list.members.push_back(m_membership.self());
    answer.status = statusOk;
    answer.body = encodeDatagram(list);
    return answer;
}

} // namespace pimentopoint
