/// \file
/// A host of the system: meets callers, sends to targets, follows the platform's store. One thread.
#pragma once

#include "../platform/Dialect.h"
#include "../platform/Documents.h"
#include "../platform/StoreFormat.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <Pimentopoint/Serve>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class EdgeHost
/// \brief Wires the decisions of Serve to the sockets of Net and to the platform's documents.
class EdgeHost {
public:
    /// \param settingsPath the file that \a settings were read from; read again when it changes
    EdgeHost(HostSettings settings, std::string settingsPath);

    /// Serves until SIGTERM or SIGINT and what follows it.
    void run();

private:
    void awaitSignals();
    void beginStop();
    void reloadSettings(const char* cause);
    void tick();
    void everySecond(Instant now);
    /// Does what is due of a stop that has begun; \returns whether the process may end
    bool continueStop(Instant now);
    void setReady(bool ready);
    void armTimer();
    void perform(CallActions& actions);
    void takeNews(const std::vector<StoreItem>& items);
    void apply(const StoreItem& item);
    void takeRouting(RoutingTable::Parts parts);
    void countHosts();
    CallerServer::Hooks callerHooks(bool fromHosts);
    void record(const CallRecord& record);
    bool known() const;

    HostSettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    BootClock m_clock;
    Metrics m_metrics;
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_callTimer;
    std::optional<Instant> m_callWake;
    TargetPool m_pool;
    AggregatorPool m_aggregators;
    CallEngine m_engine;
    TargetLinks m_targets;
    std::uint64_t m_lastCall = 0;
    CallerServer m_callers;
    std::optional<CallerServer> m_hostCallers; ///< Hosts whose fan-outs are run here.
    Membership m_membership;
    MemberSocket m_members;
    HostCount m_hosts;
    NewsFeed m_feed;
    std::set<DataCentreName> m_excluded;
    std::atomic<bool> m_ready { false };
    std::unique_ptr<HttpServer> m_readiness;
    std::optional<Instant> m_stopSince;
    Instant m_nextSecond {};
    unsigned m_linesLeft = 0; ///< Lines about calls that may be logged in this second.
    std::uint64_t m_linesDropped = 0;
};

} // namespace pimentopoint
