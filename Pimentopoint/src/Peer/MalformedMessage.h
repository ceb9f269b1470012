#pragma once

#include "../Core/Failure.h"

namespace pimentopoint {

/// \class MalformedMessage
/// \ingroup Peer
/// \brief Thrown when bytes from another process cannot be decoded; cause() identifies the kind of error.
class MalformedMessage : public Failure {
public:
    enum class Cause {
        Truncated,
        TooLong,
        UnknownType,
        UnsupportedProtocolVersion,
        TrailingBytes,
        InvalidValue,
    };

    MalformedMessage(Cause cause, const std::string& detail)
        : Failure(detail)
        , m_cause(cause)
    {
    }

    Cause cause() const { return m_cause; }

private:
    Cause m_cause;
};

} // namespace pimentopoint
