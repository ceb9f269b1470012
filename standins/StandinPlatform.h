/// \file
/// A small stand-in for the platform: documents that can be read and watched.
#pragma once

#include <Pimentopoint/Core>
#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace pimentopoint::standins {

/// \class StandinPlatform
/// \brief Serves /v1/configuration and /v1/hosts; operators publish with PUT to the same paths.
class StandinPlatform {
public:
    StandinPlatform(const Endpoint& endpoint, unsigned threads);
    ~StandinPlatform();

    /// Publishes \a text with \a version; an older version may replace a newer one, as after a restore.
    void publish(const std::string& document, std::uint64_t version, const std::string& text);
    /// While out, every read fails.
    void setOutage(bool out);
    /// \returns the number of reads so far, waiting ones included
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
