#include "DocumentPieces.h"

#include <unordered_map>
#include <unordered_set>

namespace pimentopoint {

namespace {

    /// Average number of lines after which a piece ends.
    constexpr std::uint64_t linesPerPiece = 16;
    /// Size from which a piece ends with the current line (bytes).
    constexpr std::size_t pieceBytesThreshold = 2 << 10;

} // namespace

std::vector<std::string_view> splitDocument(std::string_view text)
{
    std::vector<std::string_view> pieces;
    std::size_t begin = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        std::size_t newline = text.find('\n', position);
        std::size_t end = newline == std::string_view::npos ? text.size() : newline + 1;
        std::string_view line = text.substr(position, end - position);
        position = end;
        bool selected = hashOf(line) % linesPerPiece == 0;
        if (selected || position - begin >= pieceBytesThreshold || position == text.size()) {
            pieces.push_back(text.substr(begin, position - begin));
            begin = position;
        }
    }
    return pieces;
}

std::vector<Digest> pieceDigests(std::string_view text)
{
    std::vector<Digest> digests;
    for (std::string_view piece : splitDocument(text))
        digests.emplace_back(hashOf(piece));
    return digests;
}

DocumentReply makeDocumentReply(const DocumentRequest& request, std::uint64_t version, std::string_view text)
{
    DocumentReply reply;
    reply.kind = request.kind;
    reply.version = version;
    reply.digest = Digest(hashOf(text));
    if (version <= request.knownVersion)
        return reply;
    std::unordered_set<Digest> knownDigests(request.knownDigests.begin(), request.knownDigests.end());
    for (std::string_view piece : splitDocument(text)) {
        Digest digest(hashOf(piece));
        reply.pieces.push_back({ digest, knownDigests.contains(digest) ? std::string() : std::string(piece) });
    }
    return reply;
}

std::optional<std::string> assembleDocument(const DocumentReply& reply, std::string_view previous)
{
    std::unordered_map<Digest, std::string_view> pieces;
    for (std::string_view piece : splitDocument(previous))
        pieces.emplace(Digest(hashOf(piece)), piece);
    std::string text;
    for (const DocumentReply::Piece& piece : reply.pieces) {
        if (!piece.text.empty()) {
            text += piece.text;
            continue;
        }
        auto found = pieces.find(piece.digest);
        if (found == pieces.end())
            return std::nullopt;
        text += found->second;
    }
    if (Digest(hashOf(text)) != reply.digest)
        return std::nullopt;
    return text;
}

} // namespace pimentopoint
