#pragma once

#include "../Core/Endpoint.h"
#include "../Peer/Messages.h"
#include "PlatformReadScheduler.h"

#include <atomic>
#include <string>

namespace pimentopoint {

/// \class PlatformClient
/// \ingroup Platform
/// \brief Reads documents from the platform over HTTP; blocks for as long as the read waits.
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

    /// \returns the document if its version is above \a above; never throws
    Reply read(const PlatformRead& read, std::uint64_t above) const;
    /// Makes reads end early, those in progress within a second.
    void cancel() { m_cancelled = true; }

private:
    Endpoint m_platform;
    std::atomic<bool> m_cancelled { false };
};

} // namespace pimentopoint
