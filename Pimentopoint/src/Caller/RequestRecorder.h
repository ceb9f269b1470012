#pragma once

#include "../Core/BurnRateWindows.h"
#include "../Core/Metrics.h"
#include "../Operator/Configuration.h"
#include "Answer.h"
#include "SearchRequest.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace pimentopoint {

/// \class RequestRecorder
/// \ingroup Caller
/// \brief Records the outcomes of requests: metrics, service levels, and an explanation of each of the latest requests.
class RequestRecorder {
public:
    explicit RequestRecorder(Metrics& metrics)
        : m_metrics(metrics)
    {
    }

    /// \brief Records \a answer to \a request; errors of the caller don't count in the service levels.
    /// \param id identifies the request in explain()
    /// \param searchFront the search front of the request, or null if there is none
    void record(const SearchRequest& request, const Answer& answer, const std::string& id, const SearchFront* searchFront, Duration latency, Instant now);
    /// \returns the service levels of the search fronts in \a configuration as JSON
    std::string burnReport(const Configuration* configuration, Instant now) const;
    /// \returns what is known of the request \a id as JSON, or an empty string if nothing is known
    std::string explain(const std::string& id) const;

private:
    void updateMetrics(const SearchRequest& request, const Answer& answer, Duration latency);
    void storeExplanation(const std::string& id, const std::string& explanation);

    Metrics& m_metrics;
    mutable std::mutex m_burnMutex;
    std::map<SearchFrontName, BurnRateWindows> m_burn;
    mutable std::mutex m_explanationsMutex;
    std::map<std::string, std::string> m_explanations;
    std::deque<std::string> m_explanationOrder;
};

} // namespace pimentopoint
