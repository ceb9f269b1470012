// Stand-in for the platform's store: kv-range and kv-watch, linearizable, never in trouble.
#pragma once

#include "Net.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review {

class Store {
public:
    Store()
        : m_listener("127.0.0.1", [this](int peer) { serve(peer); })
    {
    }
    ~Store()
    {
        m_stopped = true;
        m_changed.notify_all();
        std::this_thread::sleep_for(100ms);
    }
    const Address& address() const { return m_listener.address(); }
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        m_items[key] = { value, ++m_revision, false };
        m_changed.notify_all();
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        m_items[key] = { {}, ++m_revision, true };
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
        bool removed;
    };

    static std::string base64(const std::string& bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    static std::map<std::string, std::string> query(const std::string& target)
    {
        std::map<std::string, std::string> result;
        for (std::size_t at = target.find('?'); at != std::string::npos;) {
            std::size_t end = target.find('&', at + 1);
            std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            std::size_t equals = pair.find('=');
            result[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
            at = end;
        }
        return result;
    }

    static nlohmann::json toJson(const std::string& key, const Item& item)
    {
        if (item.removed)
            return { { "key", key }, { "revision", item.revision }, { "removed", true } };
        return { { "key", key }, { "value", base64(item.value) }, { "revision", item.revision }, { "created", item.revision }, { "lease", 0 } };
    }

    std::string page(const std::string& prefix, const std::string& after)
    {
        std::lock_guard lock(m_mutex);
        auto items = nlohmann::json::array();
        for (const auto& [key, item] : m_items) {
            if (!item.removed && key.starts_with(prefix) && key > after)
                items.push_back(toJson(key, item));
        }
        return nlohmann::json({ { "items", items }, { "has_more", false }, { "as_of", m_revision } }).dump();
    }

    std::string watch(const std::string& prefix, std::uint64_t after, int waitMilliseconds)
    {
        auto until = Clock::now() + std::chrono::milliseconds(waitMilliseconds);
        std::unique_lock lock(m_mutex);
        while (true) {
            auto events = nlohmann::json::array();
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix) && item.revision > after)
                    events.push_back(toJson(key, item));
            }
            if (!events.empty() || m_stopped || Clock::now() >= until)
                return nlohmann::json({ { "events", events }, { "as_of", m_revision } }).dump();
            m_changed.wait_until(lock, until);
        }
    }

    void serve(int peer)
    {
        std::string buffer;
        Message request;
        while (!m_stopped && readMessage(peer, buffer, request, Clock::now() + 130s) == ReadResult::Message) {
            auto arguments = query(request.word());
            std::string prefix = arguments["prefix"];
            std::string body = request.word().starts_with("/api/kv-watch") ? watch(prefix, std::stoull(arguments["after"]), std::stoi(arguments["wait_ms"])) : page(prefix, arguments["after"]);
            std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!sendAll(peer, reply))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::atomic<bool> m_stopped { false };
    Listener m_listener;
};

} // namespace review
