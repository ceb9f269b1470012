/// \file
/// Transfer of a document to a process that holds an earlier version of it: only changed pieces travel.
#pragma once

#include "Messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// \returns \a text cut behind lines whose content selects them, so that an edit changes only the pieces around it
std::vector<std::string_view> splitDocument(std::string_view text);

/// \returns the digests of the pieces of \a text, in order
std::vector<Digest> pieceDigests(std::string_view text);

/// \returns \a text as a reply to \a request: pieces that the asker holds are left empty
DocumentReply makeDocumentReply(const DocumentRequest& request, std::uint64_t version, std::string_view text);

/// \brief Puts a document together from \a reply and the pieces of \a held.
/// \returns the document, or nothing if a piece is missing or the whole has another digest than stated
std::optional<std::string> assembleDocument(const DocumentReply& reply, std::string_view held);

} // namespace pimentopoint
