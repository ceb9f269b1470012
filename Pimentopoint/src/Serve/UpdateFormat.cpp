#include "UpdateFormat.h"

#include "../Peer/WireArchive.h"

#include <charconv>

namespace pimentopoint {

namespace {

    constexpr std::string_view pagePath = "/v1/news/all/";
    constexpr std::string_view watchPath = "/v1/news/since/";
    constexpr unsigned statusOk = 200;
    /// Longest wait of a watch that another host may request.
    constexpr std::chrono::milliseconds maxWait = std::chrono::seconds(30);

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
        return failed == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }

} // namespace

std::string updatePath(const StoreRead& read)
{
    if (read.kind == StoreRead::Kind::Page)
        return std::string(pagePath);
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(read.wait).count();
    return std::string(watchPath) + std::to_string(read.afterRevision) + "/" + std::to_string(wait);
}

std::optional<StoreRead> parseUpdatePath(const std::string& path)
{
    StoreRead read;
    std::string_view rest(path);
    if (rest == pagePath)
        return read;
    if (!rest.starts_with(watchPath))
        return std::nullopt;
    rest.remove_prefix(watchPath.size());
    std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    auto after = parseNumber(rest.substr(0, slash));
    auto wait = parseNumber(rest.substr(slash + 1));
    if (!after || !wait || *wait > static_cast<std::uint64_t>(maxWait.count()))
        return std::nullopt;
    read.kind = StoreRead::Kind::Watch;
    read.afterRevision = *after;
    read.wait = std::chrono::milliseconds(*wait);
    return read;
}

std::string encodeUpdates(const StoreResult& result)
{
    std::string bytes;
    WireWriter writer(bytes);
    writer(static_cast<std::uint8_t>(result.kind), result.revision, static_cast<std::uint64_t>(result.items.size()));
    for (const StoreItem& item : result.items)
        writer(item.key, item.value, item.revision, item.removed);
    return bytes;
}

StoreResult decodeUpdates(unsigned status, const std::string& body)
{
    StoreResult result;
    if (status != statusOk) {
        result.cause = "status " + std::to_string(status);
        return result;
    }
    try {
        WireReader reader(body);
        StoreResult::Kind kind = StoreResult::Kind::Failed;
        serializeEnumeration(reader, kind, StoreResult::Kind::Failed);
        reader(result.revision);
        std::uint64_t count = reader.readSize();
        for (std::uint64_t i = 0; i < count; ++i) {
            StoreItem item;
            reader(item.key, item.value, item.revision, item.removed);
            result.items.push_back(std::move(item));
        }
        if (reader.remaining())
            throw MalformedMessage(MalformedMessage::Cause::TrailingBytes, "bytes follow the last item");
        result.kind = kind;
    } catch (const MalformedMessage& malformed) {
        result = StoreResult();
        result.cause = malformed.what();
    }
    return result;
}

} // namespace pimentopoint
