#pragma once

#include "../Core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// What a host tells the others of its data centre about a target, the moment it learns it.
struct TargetNotice {
    enum class Kind : std::uint8_t {
        Late, ///< A request takes far longer than usual; the target may stand still.
        Failing, ///< A request was refused, failed or lost.
    };
    TargetId target;
    Kind kind = Kind::Late;

    auto operator<=>(const TargetNotice&) const = default;
};

/// First byte of a datagram of notices; no other message between hosts begins with it.
constexpr char noticeMark = '\xf5';

/// \returns \a notices as one datagram
std::string encodeNotices(const std::vector<TargetNotice>& notices);
/// \returns the notices in \a bytes; \throws MalformedMessage
std::vector<TargetNotice> decodeNotices(std::string_view bytes);

} // namespace pimentopoint
