#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Failure.h"

#include <boost/asio/ip/tcp.hpp>

namespace pimentopoint {

/// \class ListenFailure
/// \ingroup Net
/// \brief Thrown if an address can't be bound; the message contains the address.
class ListenFailure : public Failure {
public:
    using Failure::Failure;
};

/// \returns an acceptor on \a endpoint; \throws ListenFailure if \a endpoint can't be bound
boost::asio::ip::tcp::acceptor listenOn(boost::asio::io_context& context, const Endpoint& endpoint);

} // namespace pimentopoint
