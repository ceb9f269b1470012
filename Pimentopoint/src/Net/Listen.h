#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Failure.h"

#include <boost/asio/ip/tcp.hpp>

namespace pimentopoint {

/// \class ListenFailure
/// \ingroup Net
/// \brief An address that can't be bound; the text names it.
class ListenFailure : public Failure {
public:
    using Failure::Failure;
};

/// \returns an acceptor on \a endpoint; \throws ListenFailure
boost::asio::ip::tcp::acceptor listenOn(boost::asio::io_context& context, const Endpoint& endpoint);

} // namespace pimentopoint
