/// \file
/// Clients of the benches: one queries a front, the other the targets directly. Each runs on its caller's thread and depends on libcurl.
#pragma once

#include <Pimentopoint/Operator>
#include <memory>
#include <string>
#include <vector>

using CURL = void;
using CURLM = void;
struct curl_slist;

namespace pimentopoint::bench {

/// \returns the body of the reply to a GET request; empty if there was no reply
std::string fetch(const Endpoint& endpoint, const std::string& path);

/// Outcome of one query as its caller sees it.
enum class QueryOutcome {
    Complete,
    Partial,
    Refused, ///< Answered as not run.
    Unknown, ///< Any other reply.
    NoReply, ///< Connection failed or timed out.
};

/// Result of one query as its caller sees it.
struct QueryResult {
    QueryOutcome outcome = QueryOutcome::NoReply;
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
/// \brief Baseline that queries one replica of each shard directly, in rotation, without gateways, hedges, batches or limits.
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
