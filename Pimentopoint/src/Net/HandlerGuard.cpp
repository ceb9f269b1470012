#include "HandlerGuard.h"

#include "../Core/Log.h"

namespace pimentopoint {

void logHandlerException(std::string_view owner, std::string_view peer, const std::exception& error)
{
    Log::event(Severity::Error, "handler-failed", { { "owner", owner }, { "peer", peer }, { "cause", error.what() } });
}

} // namespace pimentopoint
