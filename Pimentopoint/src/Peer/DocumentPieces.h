/// \file
/// Splits documents into content-defined pieces, so that a process with an earlier version receives only the changed ones.
#pragma once

#include "Messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// \returns \a text split after lines selected by their hash, so that an edit changes only the pieces around it
std::vector<std::string_view> splitDocument(std::string_view text);

/// \returns the digests of the pieces of \a text, in order
std::vector<Digest> pieceDigests(std::string_view text);

/// \returns \a text as a reply to \a request; the text of pieces that the requester already has is left empty
DocumentReply makeDocumentReply(const DocumentRequest& request, std::uint64_t version, std::string_view text);

/// \brief Assembles a document from \a reply and the pieces of the earlier version \a previous.
/// \returns the document, or nothing if a piece is missing or the digest differs from the one in \a reply
std::optional<std::string> assembleDocument(const DocumentReply& reply, std::string_view previous);

} // namespace pimentopoint
