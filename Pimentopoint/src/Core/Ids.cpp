#include "Ids.h"

#include <xxhash.h>

namespace pimentopoint {

std::uint64_t hashOf(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

TargetId targetIdOf(const TargetName& name)
{
    return TargetId(hashOf(name.value()));
}

} // namespace pimentopoint
