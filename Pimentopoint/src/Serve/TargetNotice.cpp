#include "TargetNotice.h"

#include "../Peer/WireArchive.h"

namespace pimentopoint {

std::string encodeNotices(const std::vector<TargetNotice>& notices)
{
    std::string bytes(1, noticeMark);
    WireWriter writer(bytes);
    writer(static_cast<std::uint64_t>(notices.size()));
    for (const TargetNotice& notice : notices)
        writer(notice.target.value(), static_cast<std::uint8_t>(notice.kind));
    return bytes;
}

std::vector<TargetNotice> decodeNotices(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != noticeMark)
        throw MalformedMessage(MalformedMessage::Cause::UnknownType, "not a datagram of notices");
    WireReader reader(bytes.substr(1));
    std::vector<TargetNotice> notices(reader.readSize());
    for (TargetNotice& notice : notices) {
        std::uint64_t target = 0;
        reader(target);
        notice.target = TargetId(target);
        serializeEnumeration(reader, notice.kind, TargetNotice::Kind::Failing);
    }
    if (reader.remaining())
        throw MalformedMessage(MalformedMessage::Cause::TrailingBytes, "bytes follow the last notice");
    return notices;
}

} // namespace pimentopoint
