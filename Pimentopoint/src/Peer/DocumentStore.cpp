#include "DocumentStore.h"

#include "../Operator/ConfigurationText.h"
#include "../Operator/InvalidDocument.h"
#include "DocumentPieces.h"

namespace pimentopoint {

OfferResult DocumentStore::offer(DocumentKind kind, const std::string& text)
{
    Digest digest(hashOf(text));
    {
        std::lock_guard lock(m_mutex);
        const StoredDocument& current = stored(kind);
        if (current.version && current.digest == digest)
            return {};
        if (current.rejectedDigest == digest)
            return { Adoption::Rejected, "the same document was rejected before" };
    }
    try {
        if (kind == DocumentKind::Configuration) {
            ConfigurationPointer parsed = readConfiguration(text);
            std::lock_guard lock(m_mutex);
            OfferResult result = adoptLocked(m_storedConfiguration, parsed->version().value(), text);
            if (result.adoption == Adoption::Adopted)
                m_configuration = std::move(parsed);
            return result;
        }
        HostListPointer parsed = readHostList(text);
        std::lock_guard lock(m_mutex);
        OfferResult result = adoptLocked(m_storedHosts, parsed->version().value(), text);
        if (result.adoption == Adoption::Adopted)
            m_hosts = std::move(parsed);
        return result;
    } catch (const InvalidDocument& invalid) {
        std::lock_guard lock(m_mutex);
        stored(kind).rejectedDigest = digest;
        return { Adoption::Rejected, invalid.what() };
    }
}

OfferResult DocumentStore::adoptLocked(StoredDocument& current, std::uint64_t version, const std::string& text)
{
    // The same document may have been adopted from another source while this one was parsed.
    if (version < current.version || current.digest == Digest(hashOf(text)))
        return {};
    if (version == current.version)
        return { Adoption::Conflict, "version " + std::to_string(version) + " is active with different content" };
    current.version = version;
    current.digest = Digest(hashOf(text));
    current.text = text;
    return { Adoption::Adopted, "" };
}

DocumentStore::ActiveDocuments DocumentStore::activeDocuments() const
{
    std::lock_guard lock(m_mutex);
    return { m_configuration, m_hosts, versionsLocked() };
}

DocumentVersions DocumentStore::versions() const
{
    std::lock_guard lock(m_mutex);
    return versionsLocked();
}

DocumentVersions DocumentStore::versionsLocked() const
{
    return { ConfigurationVersion(m_storedConfiguration.version), m_storedConfiguration.digest, HostListVersion(m_storedHosts.version),
        m_storedHosts.digest };
}

std::string DocumentStore::text(DocumentKind kind) const
{
    std::lock_guard lock(m_mutex);
    return stored(kind).text;
}

std::uint64_t DocumentStore::version(DocumentKind kind) const
{
    std::lock_guard lock(m_mutex);
    return stored(kind).version;
}

DocumentRequest DocumentStore::request(DocumentKind kind) const
{
    DocumentRequest request;
    request.kind = kind;
    std::lock_guard lock(m_mutex);
    request.knownVersion = stored(kind).version;
    request.knownDigests = pieceDigests(stored(kind).text);
    return request;
}

DocumentReply DocumentStore::reply(const DocumentRequest& request) const
{
    std::lock_guard lock(m_mutex);
    const StoredDocument& current = stored(request.kind);
    return makeDocumentReply(request, current.version, current.text);
}

OfferResult DocumentStore::accept(const DocumentReply& reply)
{
    if (reply.pieces.empty())
        return {};
    auto assembled = assembleDocument(reply, text(reply.kind));
    if (!assembled)
        return { Adoption::Rejected, "a piece of the document is missing, or the digest of the assembled document differs" };
    return offer(reply.kind, *assembled);
}

} // namespace pimentopoint
