#pragma once

#include "../Operator/Configuration.h"
#include "../Operator/HostList.h"
#include "DocumentVersions.h"
#include "Messages.h"

#include <functional>
#include <mutex>
#include <string>

namespace pimentopoint {

/// What became of a document that was offered.
enum class Adoption {
    Adopted, ///< It is in force now.
    NotNewer, ///< The one in force has the same version and content, or a later version.
    Conflict, ///< The one in force has the same version and other content; it stays.
    Refused, ///< It is invalid; the one in force stays.
};

/// Result of an offer; \c detail says why it was not adopted.
struct OfferResult {
    Adoption adoption = Adoption::NotNewer;
    std::string detail;
};

/// \class DocumentStore
/// \ingroup Peer
/// \brief The configuration and the list of hosts in force. Versions only ever grow.
class DocumentStore {
public:
    /// Both documents in force, each or none.
    struct ActiveDocuments {
        ConfigurationPointer configuration;
        HostListPointer hosts;
        DocumentVersions versions;
    };

    OfferResult offer(DocumentKind kind, const std::string& text);

    ActiveDocuments activeDocuments() const;
    DocumentVersions versions() const;
    /// \returns the text of the document in force; empty if there is none
    std::string text(DocumentKind kind) const;
    /// \returns the version in force; 0 if there is none
    std::uint64_t version(DocumentKind kind) const;

    /// \returns a request for what is newer than the document in force
    DocumentRequest request(DocumentKind kind) const;
    /// \returns the answer to \a request from what is in force
    DocumentReply reply(const DocumentRequest& request) const;
    /// Takes the answer of a member.
    OfferResult accept(const DocumentReply& reply);

private:
    struct StoredDocument {
        std::uint64_t version = 0;
        Digest digest;
        std::string text;
        Digest refusedDigest; ///< Digest of the last document that was refused.
    };

    DocumentVersions versionsLocked() const;
    OfferResult adoptLocked(StoredDocument& held, std::uint64_t version, const std::string& text);
    const StoredDocument& stored(DocumentKind kind) const { return kind == DocumentKind::Configuration ? m_storedConfiguration : m_storedHosts; }
    StoredDocument& held(DocumentKind kind) { return kind == DocumentKind::Configuration ? m_storedConfiguration : m_storedHosts; }

    mutable std::mutex m_mutex;
    StoredDocument m_storedConfiguration;
    StoredDocument m_storedHosts;
    ConfigurationPointer m_configuration;
    HostListPointer m_hosts;
};

} // namespace pimentopoint
