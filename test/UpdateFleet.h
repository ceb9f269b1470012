/// \file
/// Simulation of the hosts of one data centre that read updates of the platform's store. It runs UpdateRelay on one thread with
/// simulated time and without a network, and depends on Core, Peer and Serve.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Serve>
#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class UpdateFleet
/// \brief A store with a published version among its items, which may return from an older copy, and hosts that read it directly or through each other.
class UpdateFleet {
public:
    static constexpr Duration maxUpdateDelay = std::chrono::seconds(6);

    /// Hosts start at the same time; each knows the others after \a discoveryTime.
    UpdateFleet(std::size_t hosts, Duration discoveryTime)
        : m_discoveryTime(discoveryTime)
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 0; i < hosts; ++i) {
            MemberRecord record(MemberName("host-" + std::to_string(i)), MemberRole::Front, DataCentreName("a"), Incarnation(1));
            Endpoint endpoint("10.0.0.1", static_cast<std::uint16_t>(i + 1));
            record.setEndpoints(endpoint, endpoint, endpoint);
            // The first host has most processor time, so that the tests know which one reads the store.
            record.setMillicores(i < 3 ? static_cast<std::uint32_t>(600 - 100 * i) : 120);
            records.push_back(record);
        }
        for (std::size_t i = 0; i < hosts; ++i)
            m_hosts.push_back(std::make_unique<Host>(Host { UpdateRelay(records[i], maxUpdateDelay, i + 1) }));
        m_records = std::move(records);
    }

    void run(Duration duration)
    {
        for (Instant end = m_now + duration; m_now < end; m_now += step) {
            if (!m_membersKnown && m_now >= Instant(m_discoveryTime))
                announceMembers();
            replyToStoreWatches();
            deliver();
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (m_now.time_since_epoch() % tickInterval != Duration(0) || silent.contains(i))
                    continue;
                UpdateActions actions;
                m_hosts[i]->relay.tick(m_now, actions);
                perform(i, std::move(actions));
            }
        }
    }
    /// Writes the next version to the store.
    void publish()
    {
        ++m_version;
        republish();
    }
    /// Writes the latest version again.
    void republish() { write("item", std::to_string(m_version)); }
    /// Writes an item that is not the version.
    void write(const std::string& key, const std::string& value) { m_store.items[key] = { key, value, ++m_store.revision, false }; }
    /// Content of the store.
    struct StoreCopy {
        std::uint64_t revision = 1;
        std::map<std::string, StoreItem> items;
    };
    const StoreCopy& storeContent() const { return m_store; }
    /// Replaces the store's content by \a copy, which begins an era, and cuts the watches.
    void returnFrom(const StoreCopy& copy)
    {
        m_store = copy;
        m_era = StoreEra(m_era.value() + 1);
        StoreResult cut;
        cut.cause = "the connection was reset";
        for (const StoreWatch& watch : std::exchange(m_storeWatches, {}))
            schedule(step, [this, watch, cut] { finish(watch.host, watch.number, cut, std::nullopt); });
    }
    /// \returns the hosts that run and don't know version \a version or a later one
    std::vector<std::size_t> uninformedHosts(std::uint64_t version) const
    {
        std::vector<std::size_t> uninformed;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (!silent.contains(i) && m_hosts[i]->known < version)
                uninformed.push_back(i);
        }
        return uninformed;
    }
    std::uint64_t publishedVersion() const { return m_version; }
    /// \returns the number of hosts that know the latest version
    std::size_t informedHosts() const
    {
        return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [this](const auto& host) { return host->known == m_version; }));
    }
    std::size_t size() const { return m_hosts.size(); }
    Instant now() const { return m_now; }

    std::set<std::size_t> refused; ///< Hosts that the store refuses.
    std::set<std::size_t> silent; ///< Hosts that do nothing and reply to nobody.
    std::set<std::size_t> isolated; ///< Hosts that reach the store, but no other host.
    std::size_t storeReads = 0; ///< Reads at the store, refused ones included, but for stale pages.
    std::size_t stalePages = 0;
    std::size_t refusals = 0; ///< Reads that hosts refused to each other.

private:
    static constexpr Duration step = std::chrono::milliseconds(2); ///< Also the delay of each message.
    static constexpr Duration tickInterval = std::chrono::milliseconds(100);

    struct Host {
        UpdateRelay relay;
        std::uint64_t known = 0; ///< Greatest version.
    };
    struct StoreWatch {
        std::size_t host;
        ReadNumber number;
        StoreRead read;
        Instant expiresAt;
    };
    struct Event {
        Instant at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    bool connected(std::size_t a, std::size_t b) const { return !isolated.contains(a) && !isolated.contains(b); }
    void schedule(Duration delay, std::function<void()> run) { m_events.push({ m_now + delay, ++m_order, std::move(run) }); }
    void deliver()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            Event event = m_events.top();
            m_events.pop();
            event.run();
        }
    }
    void announceMembers()
    {
        m_membersKnown = true;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            std::vector<MemberRecord> others = m_records;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            m_hosts[i]->relay.setMembers(others);
        }
    }
    StoreResult storeResult(const StoreRead& read) const
    {
        StoreResult result;
        result.era = m_era;
        result.revision = m_store.revision;
        bool page = read.kind == StoreRead::Kind::Page;
        if (!page && read.afterRevision > m_store.revision) {
            result.kind = StoreResult::Kind::HistoryLost;
            return result;
        }
        result.kind = page ? StoreResult::Kind::Items : StoreResult::Kind::Changes;
        for (const auto& [key, item] : m_store.items) {
            if (page || item.revision > read.afterRevision)
                result.items.push_back(item);
        }
        return result;
    }
    void finish(std::size_t host, ReadNumber number, StoreResult result, std::optional<ReplyAge> age)
    {
        if (silent.contains(host))
            return;
        UpdateActions actions;
        m_hosts[host]->relay.handleResult(number, std::move(result), age, m_now, actions);
        perform(host, std::move(actions));
    }
    void perform(std::size_t host, UpdateActions actions)
    {
        for (const StoreItem& item : actions.items) {
            if (item.key == "item" && !item.removed)
                m_hosts[host]->known = std::max<std::uint64_t>(m_hosts[host]->known, std::stoull(item.value));
        }
        for (const UpdateActions::Reply& reply : actions.replies) {
            auto [reader, number] = m_readers.at(reply.reader);
            refusals += reply.result.kind == StoreResult::Kind::Failed;
            if (connected(host, reader))
                schedule(step, [this, reader = reader, number = number, reply] { finish(reader, number, reply.result, reply.age); });
        }
        for (const UpdateActions::Read& each : actions.reads)
            send(host, each);
    }
    void send(std::size_t host, const UpdateActions::Read& each)
    {
        ReadNumber number = each.number;
        schedule(each.read.timeout, [this, host, number] {
            StoreResult failure;
            failure.cause = "no reply within the timeout";
            finish(host, number, failure, std::nullopt);
        });
        if (each.source.host) {
            std::size_t to = each.source.host->port() - 1U;
            CallId reader(++m_lastReader);
            m_readers[reader] = { host, number };
            schedule(step, [this, host, to, reader, read = each.read] {
                if (silent.contains(to) || !connected(host, to))
                    return;
                UpdateActions actions;
                m_hosts[to]->relay.handleRead(reader, read, m_now, actions);
                perform(to, std::move(actions));
            });
            return;
        }
        ++(each.read.mayBeStale ? stalePages : storeReads);
        StoreRead read = each.read;
        schedule(step, [this, host, number, read] {
            if (refused.contains(host)) {
                StoreResult refusal;
                refusal.cause = "status 503";
                schedule(step, [this, host, number, refusal] { finish(host, number, refusal, std::nullopt); });
            } else if (read.kind == StoreRead::Kind::Page) {
                schedule(step, [this, host, number, result = storeResult(read)] { finish(host, number, result, std::nullopt); });
            } else {
                m_storeWatches.push_back({ host, number, read, m_now + read.wait });
            }
        });
    }
    void replyToStoreWatches()
    {
        std::erase_if(m_storeWatches, [this](const StoreWatch& watch) {
            if (watch.read.afterRevision == m_store.revision && m_now < watch.expiresAt)
                return false;
            schedule(step, [this, watch, result = storeResult(watch.read)] { finish(watch.host, watch.number, result, std::nullopt); });
            return true;
        });
    }

    Duration m_discoveryTime;
    Instant m_now {};
    bool m_membersKnown = false;
    StoreCopy m_store { 1, { { "item", { "item", "1", 1, false } } } };
    StoreEra m_era { 1 };
    std::uint64_t m_version = 1;
    std::vector<MemberRecord> m_records;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<StoreWatch> m_storeWatches;
    std::map<CallId, std::pair<std::size_t, ReadNumber>> m_readers;
    std::uint64_t m_lastReader = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace pimentopoint
