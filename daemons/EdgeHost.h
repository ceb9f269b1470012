/// \file
/// A host of the system: meets callers, sends to targets, follows the platform's store. One thread.
#pragma once

#include "../platform/Documents.h"
#include "../platform/PlatformNames.h"
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
    void armCallTimer();
    void perform(CallActions& actions);
    void applyUpdates(const std::vector<StoreItem>& items);
    void applyUpdate(const StoreItem& item);
    void applyRouting(RoutingTable::Contents parts);
    void updateHosts();
    CallerServer::Hooks callerHooks(bool fromHosts);
    void recordCall(const CallRecord& record);
    bool hasCompleteState() const;

    HostSettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    BootClock m_clock;
    Metrics m_metrics;
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_callTimer;
    std::optional<Instant> m_nextCallWakeup;
    TargetPool m_targetPool;
    AggregatorPool m_aggregatorPool;
    CallEngine m_engine;
    TargetConnectionPool m_targetLinks;
    std::uint64_t m_lastCall = 0;
    CallerServer m_callerServer;
    std::optional<CallerServer> m_hostServer; ///< Hosts whose fan-outs are run here.
    Membership m_membership;
    MemberSocket m_memberSocket;
    HostCountEstimate m_hostCount;
    UpdateFeed m_updateFeed;
    std::set<DataCentreName> m_evacuatedDataCentres;
    std::atomic<bool> m_ready { false };
    std::unique_ptr<HttpServer> m_readiness;
    std::optional<Instant> m_stoppingSince;
    Instant m_nextSecond {};
    unsigned m_callLinesLeft = 0; ///< Lines about calls that may be logged in this second.
    std::uint64_t m_callLinesDropped = 0;
};

} // namespace pimentopoint
