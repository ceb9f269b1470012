#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// A crash of a target while it ran a request.
struct RequestCrash {
    RequestFingerprint request;
    Instant sentAt; ///< Time at which the request was sent to the target.
    Instant lostAt; ///< Time at which the connection failed.
};

/// Crashes under a request that one host has seen, each of an attempt sent after the crash before it.
struct CrashReport {
    RequestFingerprint request;
    std::uint64_t reporter = 0; ///< Hash of the name of the host.
    unsigned crashes = 0;
    Instant startedAt {}; ///< Time at which the first of these attempts was sent.
    Instant endedAt {}; ///< Time of the latest crash.
};

/// A request that targets no longer receive.
struct QuarantinedRequest {
    RequestFingerprint request;
    Duration remaining { 0 }; ///< Time for which it stays quarantined.
    unsigned quarantines = 1; ///< Number of times that it was quarantined in a row.
};

/// Limits of a RequestQuarantine.
struct QuarantineLimits {
    unsigned crashes = 3; ///< Crashes, each of an attempt sent after the one before it, that quarantine a request.
    Duration evidenceTime = std::chrono::minutes(1); ///< Time after the latest crash for which the evidence against a request is kept.
    Duration initialTime = std::chrono::minutes(2); ///< Duration of a request's first quarantine; each one in a row lasts twice as long as the one before it.
    Duration maxTime = std::chrono::hours(1);
    Duration probationTime = std::chrono::hours(2); ///< Time after a quarantine for which one crash is enough for the next one.
    std::size_t maxSuspects = 1024; ///< Most requests against which evidence is kept.
    std::size_t maxReporters = 8; ///< Most hosts whose reports about one request are kept.
    std::size_t maxQuarantined = 256; ///< Most requests that are quarantined or on probation.
};

/// \class RequestQuarantine
/// \ingroup Serve
/// \brief Decides which requests crash the targets that run them ("queries of death") and are no longer sent.
/// \details Other requests are in progress at a target that crashes. They are told apart by the order of events: a request is quarantined
/// after crashes of several targets, to each of which it was sent only after the crash before, so that targets that fail at the same time
/// count once. Crashes that different hosts report add up if they came one after the other. Any reply to a request clears it. After its
/// quarantine a request is on probation: one attempt decides.
class RequestQuarantine {
public:
    /// Receives changes of a request's state: request, event, detail.
    using Observer = std::function<void(RequestFingerprint, std::string_view, std::string_view)>;

    /// \param self hash of the name of this host
    RequestQuarantine(std::uint64_t self, QuarantineLimits limits, Observer observer = {});

    /// \returns whether nothing is known about any request
    bool empty() const { return m_suspects.empty() && m_entries.empty(); }
    /// \returns the time for which \a request stays quarantined; nothing if it is not
    std::optional<Duration> remaining(RequestFingerprint request, Instant now) const;
    /// \returns whether there is evidence against \a request or it was quarantined before, so that only one attempt at a time may run it until a target replies
    bool isSuspected(RequestFingerprint request, Instant now) const;
    /// Effect of a crash or of a report.
    struct CrashEffect {
        std::optional<CrashReport> report; ///< What other hosts are to be told, if it is new.
        std::optional<QuarantinedRequest> quarantined; ///< The quarantine that it brings about, if any.
    };
    /// Records a crash that this host has seen.
    CrashEffect recordCrash(const RequestCrash& crash, Instant now);
    /// Applies another host's report.
    CrashEffect apply(const CrashReport& report, Instant now);
    /// \brief Records that a target replied to \a request.
    /// \returns whether there was evidence against it, which is dropped
    bool recordReply(RequestFingerprint request);
    /// \brief Applies the quarantine that another host has decided on.
    /// \returns whether it was not known
    bool apply(const QuarantinedRequest& quarantined, Instant now);
    /// \returns up to \a maxCount quarantined requests, those that were quarantined last first
    std::vector<QuarantinedRequest> quarantined(std::size_t maxCount, Instant now) const;
    void removeExpired(Instant now);

private:
    struct Suspect {
        std::vector<CrashReport> reports; ///< One for each host.
        Instant latestCrash {};
    };
    struct Entry {
        Instant until;
        unsigned quarantines = 0;
    };

    bool onProbation(RequestFingerprint request, Instant now) const;
    Suspect& suspect(RequestFingerprint request);
    static CrashReport& reportOf(Suspect& suspect, RequestFingerprint request, std::uint64_t reporter, std::size_t maxReporters);
    /// \returns the most crashes in reports that do not overlap in time
    static unsigned crashesInSequence(std::vector<CrashReport> reports);
    /// Quarantines \a request if the evidence against it suffices.
    std::optional<QuarantinedRequest> judge(RequestFingerprint request, Instant now);
    QuarantinedRequest quarantine(RequestFingerprint request, unsigned quarantines, Instant now);
    void insert(RequestFingerprint request, Entry entry);
    void notify(RequestFingerprint request, std::string_view event, std::string_view detail) const;

    std::uint64_t m_self;
    QuarantineLimits m_limits;
    Observer m_observer;
    std::map<RequestFingerprint, Suspect> m_suspects;
    std::map<RequestFingerprint, Entry> m_entries; ///< Requests that are quarantined or on probation.
};

} // namespace pimentopoint
