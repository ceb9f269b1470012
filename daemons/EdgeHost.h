/// \file
/// One host of the system: serves callers, sends requests to targets and follows the platform's store.
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
/// \brief Connects the decision classes of Serve to the sockets of Net and to the platform's documents.
/// \details Runs on one thread, apart from the HTTP server for readiness and metrics.
class EdgeHost {
public:
    /// \param settingsPath the file that \a settings were read from; it is read again when it changes
    EdgeHost(HostSettings settings, std::string settingsPath);

    /// Serves until SIGTERM or SIGINT and returns after the shutdown is complete.
    void run();

private:
    void awaitSignals();
    void beginStop();
    void reloadSettings(const char* cause);
    void tick();
    /// Does what is due in one tick; \returns whether the process may exit
    bool performTick();
    void everySecond(Instant now);
    /// Performs the steps of a shutdown that are due; \returns whether the process may exit
    bool continueStop(Instant now);
    void setReady(bool ready);
    void armCallTimer();
    void handleCallTimer();
    void perform(CallActions& actions);
    /// Tells other hosts of crashes and quarantines.
    void reportCrashes(const CallActions& actions);
    void handleCrashNotice(const CrashNotice& notice);
    void handleQuarantineNotice(const QuarantineNotice& notice);
    void send(const QuarantineExchange::Datagrams& datagrams);
    void applyUpdates(const std::vector<StoreItem>& items);
    void applyUpdate(const StoreItem& item);
    void applyRouting(RoutingTable::Contents contents);
    void updateHosts();
    CallerServer::Hooks callerHooks(bool fromHosts);
    void recordCall(const CallRecord& record);
    bool hasCompleteState() const;

    HostSettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    BootClock m_clock;
    Metrics m_metrics;
    MemoryBudget m_replyMemory; ///< Limits the replies in progress and the answers that callers have not accepted. Outlives the connections that handlers in the event loop hold.
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_callTimer;
    std::optional<Instant> m_nextCallWakeup;
    TargetPool m_targetPool;
    AggregatorPool m_aggregatorPool;
    CallEngine m_engine;
    TargetConnectionPool m_targetConnections;
    std::uint64_t m_lastCall = 0;
    CallerServer m_callerServer;
    std::optional<CallerServer> m_hostServer; ///< Accepts the fan-outs that other hosts delegate to this one.
    Membership m_membership;
    MemberListExchange m_memberLists;
    MemberSocket m_memberSocket;
    QuarantineExchange m_quarantineExchange;
    bool m_hostsChanged = false;
    HostCountEstimate m_hostCount;
    UpdateFeed m_updateFeed;
    std::set<DataCentreName> m_evacuatedDataCentres;
    std::atomic<bool> m_ready { false };
    std::unique_ptr<HttpServer> m_readiness;
    std::optional<Instant> m_stoppingSince;
    Instant m_nextSecond {};
    unsigned m_callLinesLeft = 0; ///< Lines about calls that may still be logged in this second.
    std::uint64_t m_callLinesDropped = 0;
};

} // namespace pimentopoint
