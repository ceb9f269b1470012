#pragma once

#include "../Core/Endpoint.h"
#include "../Peer/Messages.h"
#include "PlatformReadScheduler.h"

#include <atomic>
#include <string>

namespace pimentopoint {

/// \class PlatformClient
/// \ingroup Platform
/// \brief Reads documents from the platform over HTTP; each read blocks until the platform replies or the read times out.
class PlatformClient {
public:
    struct Reply {
        PlatformReadScheduler::Result result = PlatformReadScheduler::Result::Failed;
        std::string text;
    };

    explicit PlatformClient(Endpoint platform)
        : m_platform(std::move(platform))
    {
    }

    /// \returns the document if its version is greater than \a knownVersion; failures are reported in Reply::result and never thrown
    Reply read(const PlatformRead& read, std::uint64_t knownVersion) const;
    /// Aborts reads in progress within about one second and makes later reads fail.
    void cancel() { m_cancelled = true; }

private:
    Endpoint m_platform;
    std::atomic<bool> m_cancelled { false };
};

} // namespace pimentopoint
