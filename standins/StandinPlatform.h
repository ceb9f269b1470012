/// \file
/// Stand-in for the platform of the front and gateway daemons, for tests and benches. It serves documents that can be read and watched over
/// HTTP, runs on threads of its own, and depends on Core only.
#pragma once

#include <Pimentopoint/Core>
#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace pimentopoint::standins {

/// \class StandinPlatform
/// \brief Serves /v1/configuration and /v1/hosts; a PUT to the same path publishes a document.
/// \details A read with "above" waits until a version above it is published or the time of "wait" has passed.
class StandinPlatform {
public:
    StandinPlatform(const Endpoint& endpoint, unsigned threads);
    ~StandinPlatform();

    /// Publishes \a text as \a document with \a version; \a version may be lower than the current one, as after a restore from a backup.
    void publish(const std::string& document, std::uint64_t version, const std::string& text);
    /// During an outage every read fails with status 503, also those that wait.
    void setOutage(bool outage);
    /// \returns the number of reads so far, including those that wait
    std::uint64_t reads() const;

private:
    struct Document {
        std::uint64_t version = 0;
        std::string text;
    };

    HttpResponse handleRequest(const HttpRequest& request);
    HttpResponse read(const std::string& document, const HttpRequest& request);
    Document& document(const std::string& name) { return m_documents[name == "hosts" ? 1 : 0]; }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::array<Document, 2> m_documents;
    bool m_outage = false;
    bool m_stopping = false;
    std::uint64_t m_reads = 0;
    std::unique_ptr<HttpServer> m_http;
};

} // namespace pimentopoint::standins
