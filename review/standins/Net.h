// Blocking HTTP/1.1 helpers for the review's stand-ins. Everything is on loopback; each connection has a thread.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in raw() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }
};

/// Opens a listening socket on a free port of \a ip.
inline int listenOn(const std::string& ip, Address& address)
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address = { ip, 0 };
    sockaddr_in raw = address.raw();
    socklen_t size = sizeof raw;
    if (bind(listener, reinterpret_cast<sockaddr*>(&raw), size) || listen(listener, 512) || getsockname(listener, reinterpret_cast<sockaddr*>(&raw), &size)) {
        close(listener);
        return -1;
    }
    address.port = ntohs(raw.sin_port);
    return listener;
}

/// \returns an address with a port that is free for TCP and UDP
inline Address freeAddress(const std::string& ip)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        Address address;
        int listener = listenOn(ip, address);
        if (listener < 0)
            continue;
        int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in raw = address.raw();
        bool isFree = !bind(datagrams, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
        close(datagrams);
        close(listener);
        if (isFree)
            return address;
    }
    return {};
}

inline int connectTo(const Address& address)
{
    int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = address.raw();
    int on = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(peer, reinterpret_cast<sockaddr*>(&raw), sizeof raw)) {
        close(peer);
        return -1;
    }
    return peer;
}

inline bool sendAll(int peer, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        ssize_t size = send(peer, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    /// \returns the second word of the start line: a request's target or a reply's status
    std::string word() const
    {
        std::size_t first = startLine.find(' ');
        std::size_t second = startLine.find(' ', first + 1);
        return first == std::string::npos ? "" : startLine.substr(first + 1, second - first - 1);
    }
};

enum class ReadResult { Message, Closed, TimedOut };

/// Reads one message whose body has a Content-Length (or no body). Bytes after it stay in \a buffer.
inline ReadResult readMessage(int peer, std::string& buffer, Message& message, Clock::time_point deadline)
{
    message = {};
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (end == std::string::npos) {
            end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::size_t at = buffer.find("\r\n");
                message.startLine = buffer.substr(0, at);
                while (at < end) {
                    std::size_t next = buffer.find("\r\n", at + 2);
                    std::string line = buffer.substr(at + 2, next - at - 2);
                    std::size_t colon = line.find(':');
                    if (colon != std::string::npos) {
                        std::string name = line.substr(0, colon);
                        for (char& c : name)
                            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                        std::size_t value = line.find_first_not_of(' ', colon + 1);
                        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
                    }
                    at = next;
                }
                std::string text = message.header("content-length");
                length = text.empty() ? 0 : std::stoul(text);
            }
        }
        if (end != std::string::npos && buffer.size() >= end + 4 + length) {
            message.body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return ReadResult::Message;
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        if (left <= 0)
            return ReadResult::TimedOut;
        pollfd ready { peer, POLLIN, 0 };
        if (poll(&ready, 1, static_cast<int>(left)) <= 0)
            continue;
        char bytes[16384];
        ssize_t size = recv(peer, bytes, sizeof bytes, 0);
        if (size <= 0)
            return ReadResult::Closed;
        buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

/// Accepts connections until it is destroyed; each one is handled by a detached thread.
class Listener {
public:
    using Handler = std::function<void(int)>;

    Listener(const std::string& ip, Handler handler)
        : m_listener(listenOn(ip, m_address))
        , m_handler(std::move(handler))
        , m_thread([this] { run(); })
    {
    }
    ~Listener()
    {
        m_stopped = true;
        m_thread.join();
        close(m_listener);
    }
    const Address& address() const { return m_address; }
    bool stopped() const { return m_stopped; }

private:
    void run()
    {
        while (!m_stopped) {
            pollfd ready { m_listener, POLLIN, 0 };
            if (poll(&ready, 1, 100) <= 0)
                continue;
            int peer = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0)
                continue;
            int on = 1;
            setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([handler = m_handler, peer] {
                handler(peer);
                close(peer);
            }).detach();
        }
    }

    Address m_address;
    int m_listener;
    Handler m_handler;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

/// Writes lines with the time since the start to record.txt.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    template <typename... Parts>
    void line(const Parts&... parts)
    {
        std::string text;
        (text.append(toText(parts)), ...);
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", secondsSince(m_start), text.c_str());
        std::fflush(m_file);
    }
    Clock::time_point start() const { return m_start; }

private:
    static std::string toText(const std::string& text) { return text; }
    static std::string toText(const char* text) { return text; }
    static std::string toText(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.2f", value);
        return text;
    }
    template <typename Number>
        requires std::is_integral_v<Number>
    static std::string toText(Number value) { return std::to_string(value); }

    std::FILE* m_file;
    std::mutex m_mutex;
    Clock::time_point m_start = Clock::now();
};

} // namespace review
