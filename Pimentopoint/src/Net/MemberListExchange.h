#pragma once

#include "../Peer/Membership.h"
#include "../Serve/TargetReply.h"
#include "HttpReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class MemberListExchange
/// \ingroup Net
/// \brief Requests the member lists of other hosts over HTTP and answers such requests.
/// \details A request carries the digest of the requester's list; an equal list is not sent.
class MemberListExchange {
public:
    /// Called with the records of a list that differs from the known one.
    using ListHook = std::function<void(const std::vector<MemberRecord>&)>;

    MemberListExchange(boost::asio::io_context& context, const Membership& membership, ListHook onList);

    /// Requests the list of \a member, unless a request is outstanding.
    void request(const MemberRecord& member);
    /// \returns the answer to a request for the member list; nothing if \a path is another one
    std::optional<CallerAnswer> answer(const std::string& path) const;

private:
    void handleResponse(const Endpoint& from, const HttpReader::Result& response);

    boost::asio::io_context& m_context;
    const Membership& m_membership;
    ListHook m_onList;
    std::shared_ptr<HttpReader> m_reader; ///< Set while a request is outstanding.
};

} // namespace pimentopoint
