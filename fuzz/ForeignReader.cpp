#include "ForeignReader.h"

#include "../platform/Documents.h"
#include "../platform/PlatformNames.h"
#include "../platform/StoreFormat.h"

#include <Pimentopoint/Net>
#include <Pimentopoint/Operator>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Serve>
#include <algorithm>
#include <boost/asio/write.hpp>
#include <memory>
#include <stdexcept>

namespace pimentopoint {

namespace {

    /// Parses \a input as a reply in pieces of several sizes.
    void readReply(const std::string& input)
    {
        constexpr std::size_t headBytes = std::size_t(32) * 1024;
        constexpr std::size_t bodyBytes = std::size_t(64) * 1024;
        constexpr ReplyParser::Limits limits { headBytes, bodyBytes };
        // Strings grow by doubling, and a head is stored beside the bytes that are not parsed yet.
        constexpr std::size_t maxHeldBytes = 2 * (2 * headBytes + bodyBytes);
        for (std::size_t piece : { std::size_t(3), std::size_t(1000), std::size_t(16) * 1024 }) {
            for (bool hasBody : { true, false }) {
                ReplyParser parser(limits, hasBody);
                auto progress = ReplyParser::Progress::Incomplete;
                for (std::size_t at = 0; at < input.size() && progress == ReplyParser::Progress::Incomplete; at += piece) {
                    progress = parser.put(std::string_view(input).substr(at, piece));
                    while (progress == ReplyParser::Progress::Interim)
                        progress = parser.put({});
                    if (progress == ReplyParser::Progress::Incomplete && parser.heldBytes() > maxHeldBytes + 2 * piece)
                        throw std::logic_error("a reply holds " + std::to_string(parser.heldBytes()) + " bytes");
                }
                if (progress == ReplyParser::Progress::Incomplete)
                    parser.putEnd();
            }
        }
    }

    /// Sends inputs to a CallerServer over loopback.
    class RequestReader {
    public:
        RequestReader()
        {
            CallerServer::Hooks hooks;
            hooks.request = [this](CallId call, const std::shared_ptr<const CallerRequest>&) { m_server->answer(call, CallerAnswer()); };
            hooks.disconnected = [](CallId) {};
            hooks.limits = [] { return CallerLimits(); };
            hooks.acceptsDelegations = true;
            constexpr std::size_t maxConnections = 8;
            m_server = std::make_unique<CallerServer>(m_context, m_clock, platform::headerNames(), m_endpoint, maxConnections, std::move(hooks));
        }

        void read(const std::string& input)
        {
            boost::asio::ip::tcp::socket caller(m_context);
            caller.connect({ boost::asio::ip::make_address_v4(m_endpoint.address()), m_endpoint.port() });
            caller.non_blocking(true);
            boost::system::error_code error;
            caller.write_some(boost::asio::buffer(input), error);
            caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
            constexpr int maxTurns = 1000;
            for (int turn = 0; turn < maxTurns && (turn < 2 || m_server->connections()); ++turn)
                m_context.run_for(std::chrono::milliseconds(1));
            m_server->closeAll();
        }

    private:
        boost::asio::io_context m_context { 1 };
        BootClock m_clock;
        Endpoint m_endpoint { "127.0.0.1", freePort() };
        std::unique_ptr<CallerServer> m_server;

        std::uint16_t freePort()
        {
            boost::asio::ip::tcp::acceptor acceptor(m_context, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 });
            return acceptor.local_endpoint().port();
        }
    };

    void decodeItems(const StoreResult& result)
    {
        for (const StoreItem& item : result.items) {
            try {
                platform::decode(item);
            } catch (const platform::MalformedDocument&) {
                // The expected outcome for a damaged entry.
                continue;
            }
        }
    }

    void readStore(const std::string& input)
    {
        constexpr unsigned statusOk = 200;
        StoreRead page;
        StoreRead watch;
        watch.kind = StoreRead::Kind::Watch;
        decodeItems(platform::parseStoreResult(page, statusOk, "1", input));
        decodeItems(platform::parseStoreResult(watch, statusOk, "", input));
    }

    /// Reads an item whose key is the first line of \a input and whose value is the rest.
    void readEntry(const std::string& input)
    {
        std::size_t end = std::min(input.find('\n'), input.size());
        StoreItem item;
        item.key = input.substr(0, end);
        item.value = input.substr(std::min(end + 1, input.size()));
        StoreResult result;
        result.items.push_back(std::move(item));
        decodeItems(result);
    }

    void readUpdates(const std::string& input)
    {
        constexpr unsigned statusOk = 200;
        decodeItems(decodeUpdates(statusOk, input));
        parseUpdatePath(input);
    }

    void readMembers(const std::string& input)
    {
        Endpoint self("127.0.0.1", 7000);
        MemberRecord record(MemberName("self"), MemberRole::Front, DataCentreName("a"), Incarnation(1));
        record.setEndpoints(self, self, self);
        Membership membership(record, { Endpoint("127.0.0.1", 7001) }, MembershipTiming(), 1);
        Instant now {};
        try {
            membership.handleDatagram(input, Endpoint("127.0.0.1", 7001), now);
            membership.merge(Frame::parse(input).decode<MembersReply>().members, now);
        } catch (const MalformedMessage&) {
            // The expected outcome for a damaged message.
        }
        connectionWeights(membership.self(), membership.members());
        membership.tick(now + std::chrono::seconds(1));
    }

    void readSettings(const std::string& input)
    {
        try {
            HostSettings::parse(input, "settings.yaml");
        } catch (const InvalidDocument&) {
            // The expected outcome for damaged settings.
            return;
        }
    }

} // namespace

std::vector<ForeignReader> foreignReaders()
{
    auto requests = std::make_shared<RequestReader>();
    return { { "replies", readReply }, { "requests", [requests](const std::string& input) { requests->read(input); } }, { "store", readStore }, { "entries", readEntry }, { "updates", readUpdates }, { "members", readMembers }, { "settings", readSettings } };
}

} // namespace pimentopoint
