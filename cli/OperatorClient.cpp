#include "OperatorClient.h"

#include <array>
#include <civetweb.h>
#include <memory>

namespace pimentopoint {

namespace {

    constexpr int replyTimeoutMilliseconds = 12000;

    std::string readBody(mg_connection* connection, long long length)
    {
        std::string body;
        std::array<char, 4096> buffer {};
        while (length < 0 || body.size() < static_cast<std::size_t>(length)) {
            int count = mg_read(connection, buffer.data(), buffer.size());
            if (count <= 0)
                break;
            body.append(buffer.data(), static_cast<std::size_t>(count));
        }
        if (length >= 0 && body.size() < static_cast<std::size_t>(length))
            throw ProcessUnreachable("the connection was closed before the complete reply was received");
        return body;
    }

} // namespace

OperatorClient::Reply OperatorClient::request(const std::string& method, const std::string& path, const std::string& body) const
{
    std::array<char, 256> error {};
    std::unique_ptr<mg_connection, decltype(&mg_close_connection)> connection(
        mg_connect_client(m_process.address().c_str(), m_process.port(), 0, error.data(), error.size()), mg_close_connection);
    if (!connection)
        throw ProcessUnreachable(m_process.text() + ": " + error.data());
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + m_process.text() + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n";
    std::string message = head + body;
    mg_write(connection.get(), message.data(), message.size());
    if (mg_get_response(connection.get(), error.data(), error.size(), replyTimeoutMilliseconds) < 0)
        throw ProcessUnreachable(m_process.text() + ": " + error.data());
    const mg_response_info* info = mg_get_response_info(connection.get());
    return { info->status_code, readBody(connection.get(), info->content_length) };
}

} // namespace pimentopoint
