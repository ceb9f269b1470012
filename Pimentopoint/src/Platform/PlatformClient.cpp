#include "PlatformClient.h"

#include "../Core/util/Constants.h"

#include <curl/curl.h>
#include <memory>

namespace pimentopoint {

namespace {

    constexpr Duration readTimeout = std::chrono::seconds(2);
    constexpr long connectTimeoutMilliseconds = 1000;

    std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* destination)
    {
        auto& body = *static_cast<std::string*>(destination);
        if (body.size() + size * count > maxDocumentBytes)
            return 0;
        body.append(data, size * count);
        return size * count;
    }

    int abortWhenCancelled(void* cancelled, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        return *static_cast<const std::atomic<bool>*>(cancelled) ? 1 : 0;
    }

    long milliseconds(Duration duration)
    {
        return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

} // namespace

PlatformClient::Reply PlatformClient::read(const PlatformRead& read, std::uint64_t knownVersion) const
{
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    std::string path = read.kind == DocumentKind::Configuration ? "/v1/configuration" : "/v1/hosts";
    std::string url = "http://" + m_platform.text() + path + "?above=" + std::to_string(knownVersion)
        + "&wait=" + std::to_string(milliseconds(read.wait));
    Reply reply;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, milliseconds(read.wait + readTimeout));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply.text);
    curl_easy_setopt(easy.get(), CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy.get(), CURLOPT_XFERINFOFUNCTION, abortWhenCancelled);
    curl_easy_setopt(easy.get(), CURLOPT_XFERINFODATA, &m_cancelled);
    if (curl_easy_perform(easy.get()) != CURLE_OK)
        return {};
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    constexpr long ok = 200;
    constexpr long notModified = 304;
    if (status == ok)
        reply.result = PlatformReadScheduler::Result::Newer;
    else if (status == notModified)
        reply.result = PlatformReadScheduler::Result::Unchanged;
    return reply;
}

} // namespace pimentopoint
