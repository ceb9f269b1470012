#include "RequestFingerprint.h"

#include <array>
#include <charconv>
#include <strings.h>

namespace pimentopoint {

namespace {

    void append(std::string& bytes, std::string_view part)
    {
        // With its length in front, a part can't be taken for the end of the one before it.
        bytes.append(std::to_string(part.size())).append(":").append(part);
    }

} // namespace

RequestFingerprint fingerprintOf(const CallerRequest& request)
{
    std::string bytes;
    bytes.reserve(request.requestTarget.size() + request.body.size() + 64);
    append(bytes, request.method);
    append(bytes, request.host);
    append(bytes, request.requestTarget);
    append(bytes, request.body);
    for (const char* name : { "Authorization", "Cookie" }) {
        for (const auto& [header, value] : request.headers) {
            if (strcasecmp(header.c_str(), name) == 0)
                append(bytes, value);
        }
        append(bytes, {});
    }
    return RequestFingerprint(hashOf(bytes));
}

std::string textOf(RequestFingerprint fingerprint)
{
    constexpr int hexadecimal = 16;
    std::array<char, 16> digits {};
    auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.value(), hexadecimal);
    return { digits.data(), end };
}

} // namespace pimentopoint
