/// \file
/// Ways to ask: through a front, and straight at the targets.
#pragma once

#include <Pimentopoint/Operator>
#include <memory>
#include <string>
#include <vector>

using CURL = void;
using CURLM = void;
struct curl_slist;

namespace pimentopoint::bench {

/// \returns the body of a GET; empty if there was none
std::string fetch(const Endpoint& endpoint, const std::string& path);

/// What became of one query, as its caller sees it.
enum class QueryOutcome {
    Complete,
    Partial,
    Refused, ///< Stated as not run.
    Unknown,
    NoReply, ///< No reply at all.
};

/// One query as its caller sees it.
struct QueryResult {
    Ending outcome = Ending::NoReply;
    double coverage = 0;
};

/// \class FrontCaller
/// \brief One caller's connection to a front.
class FrontCaller {
public:
    FrontCaller(const Endpoint& front, const std::string& searchFront);
    ~FrontCaller();
    FrontCaller(const FrontCaller&) = delete;
    FrontCaller& operator=(const FrontCaller&) = delete;

    QueryResult sendQuery(std::uint64_t number);

private:
    CURL* m_easy;
    curl_slist* m_headers;
    std::string m_url;
};

/// \class DirectCaller
/// \brief The baseline: every shard's replicas in turn, straight from the caller; no gateway, hedge, batch or limit.
class DirectCaller {
public:
    DirectCaller(const Configuration& configuration, const ShardGroup& group, Duration deadline);
    ~DirectCaller();
    DirectCaller(const DirectCaller&) = delete;
    DirectCaller& operator=(const DirectCaller&) = delete;

    QueryResult sendQuery(std::uint64_t number);

private:
    void startSubQuery(std::size_t index, std::uint64_t number, std::string& body);

    const Configuration& m_configuration;
    const ShardGroup& m_group;
    Duration m_deadline;
    CURLM* m_multi;
    curl_slist* m_headers;
    std::vector<CURL*> m_easies;
};

} // namespace pimentopoint::bench
