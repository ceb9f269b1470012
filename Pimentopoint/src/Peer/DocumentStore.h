#pragma once

#include "../Operator/Configuration.h"
#include "../Operator/HostList.h"
#include "DocumentVersions.h"
#include "Messages.h"

#include <functional>
#include <mutex>
#include <string>

namespace pimentopoint {

/// Result of offering a document to a DocumentStore.
enum class Adoption {
    Adopted, ///< The document is active now.
    NotNewer, ///< The active document has the same version and content, or a later version.
    Conflict, ///< The active document has the same version and different content; it stays active.
    Rejected, ///< The document is invalid or incomplete; the active one stays.
};

/// Result of an offer; \c detail gives the reason for a conflict or rejection.
struct OfferResult {
    Adoption adoption = Adoption::NotNewer;
    std::string detail;
};

/// \class DocumentStore
/// \ingroup Peer
/// \brief Holds the active configuration and host list. A document is replaced only by a later version. Thread-safe.
class DocumentStore {
public:
    /// The active documents; a pointer is null if there is none of its kind.
    struct ActiveDocuments {
        ConfigurationPointer configuration;
        HostListPointer hosts;
        DocumentVersions versions;
    };

    /// Parses \a text and adopts it if it is valid and its version is later than the active one.
    OfferResult offer(DocumentKind kind, const std::string& text);

    ActiveDocuments activeDocuments() const;
    DocumentVersions versions() const;
    /// \returns the text of the active document; empty if there is none
    std::string text(DocumentKind kind) const;
    /// \returns the version of the active document; 0 if there is none
    std::uint64_t version(DocumentKind kind) const;

    /// \returns a request for a version later than the active one
    DocumentRequest request(DocumentKind kind) const;
    /// \returns the reply to \a request from the active document
    DocumentReply reply(const DocumentRequest& request) const;
    /// Assembles the document in \a reply and offers it.
    OfferResult accept(const DocumentReply& reply);

private:
    struct StoredDocument {
        std::uint64_t version = 0;
        Digest digest;
        std::string text;
        Digest rejectedDigest; ///< Digest of the last rejected document, which is not parsed again.
    };

    DocumentVersions versionsLocked() const;
    OfferResult adoptLocked(StoredDocument& current, std::uint64_t version, const std::string& text);
    const StoredDocument& stored(DocumentKind kind) const { return kind == DocumentKind::Configuration ? m_storedConfiguration : m_storedHosts; }
    StoredDocument& stored(DocumentKind kind) { return kind == DocumentKind::Configuration ? m_storedConfiguration : m_storedHosts; }

    mutable std::mutex m_mutex;
    StoredDocument m_storedConfiguration;
    StoredDocument m_storedHosts;
    ConfigurationPointer m_configuration;
    HostListPointer m_hosts;
};

} // namespace pimentopoint
