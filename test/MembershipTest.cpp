#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Platform>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

Endpoint endpointOf(std::size_t index)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
}

MemberRecord record(std::size_t index, std::uint64_t incarnation)
{
    MemberRecord member(MemberName("m" + std::to_string(index)), MemberRole::Front, DataCentreName("a"), Incarnation(incarnation));
    member.setEndpoints(endpointOf(index), endpointOf(index), endpointOf(index));
    return member;
}

/// Simulated members on a manual clock. Datagrams are delivered in the step in which they are sent, unless they are dropped.
class Group {
public:
    explicit Group(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            add(i, 1);
    }

    void add(std::size_t index, std::uint64_t incarnation)
    {
        m_members.insert_or_assign(index, Membership(record(index, incarnation), { endpointOf(0), endpointOf(1) }, MembershipTiming(), index + 1));
    }
    void step(Duration duration)
    {
        constexpr Duration tick = 50ms;
        for (Duration passed(0); passed < duration; passed += tick) {
            m_clock.advance(tick);
            for (auto& [index, member] : m_members) {
                if (!down.contains(index))
                    execute(index, member.tick(m_clock.now()));
            }
        }
    }
    void execute(std::size_t from, MembershipActions actions)
    {
        confirmed[from] = confirmed[from] || actions.confirmed;
        superseded[from] = superseded[from] || actions.superseded;
        conflicts[from] = conflicts[from] || actions.documentConflict;
        if (actions.requestDocumentsFrom) {
            std::size_t at = actions.requestDocumentsFrom->udp().port() - 1U;
            execute(from, m_members.at(from).setVersions(m_members.at(at).versions(), m_clock.now()));
        }
        if (actions.requestMembersFrom) {
            std::size_t at = actions.requestMembersFrom->udp().port() - 1U;
            execute(from, m_members.at(from).merge(m_members.at(at).members(), m_clock.now()));
        }
        for (const MembershipActions::Datagram& datagram : actions.datagrams) {
            std::size_t to = datagram.destination.port() - 1U;
            CHECK(datagram.bytes.size() <= maxDatagramBytes);
            if (down.contains(to) || isDropped(from, to) || !m_members.contains(to))
                continue;
            execute(to, m_members.at(to).handleDatagram(datagram.bytes, endpointOf(from), m_clock.now()));
        }
    }
    Membership& at(std::size_t index) { return m_members.at(index); }
    Instant now() const { return m_clock.now(); }
    std::size_t hasState(std::size_t by, std::size_t subject, MemberState state)
    {
        const MemberRecord* found = at(by).member(MemberName("m" + std::to_string(subject)));
        return found && found->state() == state;
    }

    std::set<std::size_t> down;
    std::function<bool(std::size_t, std::size_t)> isDropped = [](std::size_t, std::size_t) { return false; };
    std::map<std::size_t, bool> confirmed;
    std::map<std::size_t, bool> superseded;
    std::map<std::size_t, bool> conflicts;

private:
    ManualClock m_clock;
    std::map<std::size_t, Membership> m_members;
};

DocumentVersions versions(std::uint64_t configuration, std::uint64_t digest = 1)
{
    return { ConfigurationVersion(configuration), Digest(digest), HostListVersion(0), Digest(0) };
}

} // namespace

TEST_CASE("Members discover each other from two seeds and detect the failure and return of a member")
{
    Group group(12);
    group.step(10s);
    for (std::size_t i = 0; i < 12; ++i)
        CHECK(group.at(i).usableCount() == 11);
    group.down.insert(5);
    group.step(25s);
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 5)
            CHECK(group.hasState(i, 5, MemberState::Dead));
    }
    group.add(5, 2);
    group.down.clear();
    group.step(15s);
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 5)
            CHECK(group.hasState(i, 5, MemberState::Alive));
    }
}

TEST_CASE("A member that only one other member cannot reach is not declared dead")
{
    Group group(8);
    group.step(8s);
    group.isDropped = [](std::size_t from, std::size_t to) { return (from == 2 && to == 3) || (from == 3 && to == 2); };
    group.step(60s);
    CHECK(group.at(2).member(MemberName("m3"))->usable());
    CHECK(group.at(3).member(MemberName("m2"))->usable());
}

TEST_CASE("The members on both sides of a network partition reconnect after it ends")
{
    Group group(8);
    group.step(8s);
    group.isDropped = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    group.step(60s);
    CHECK(group.hasState(0, 6, MemberState::Dead));
    group.isDropped = [](std::size_t, std::size_t) { return false; };
    group.step(60s);
    for (std::size_t i = 0; i < 8; ++i)
        CHECK(group.at(i).usableCount() == 7);
}

TEST_CASE("A newer document version reaches all members within three seconds, and a conflict is reported")
{
    Group group(40);
    group.step(20s);
    group.execute(7, group.at(7).setVersions(versions(5), group.now()));
    group.step(3s);
    for (std::size_t i = 0; i < 40; ++i)
        CHECK(group.at(i).versions().configuration() == ConfigurationVersion(5));
    group.at(3).setVersions(versions(5, 2), group.now());
    group.step(5s);
    bool reported = group.conflicts[3];
    for (std::size_t i = 0; i < 40; ++i)
        reported = reported || group.conflicts[i];
    CHECK(reported);
}

TEST_CASE("After a start or a pause, a process is confirmed only by the reply to a probe sent since")
{
    Group group(4);
    group.step(5s);
    group.confirmed.clear();
    group.execute(1, group.at(1).revalidate(group.now()));
    CHECK(group.confirmed[1]);
    group.confirmed.clear();
    group.isDropped = [](std::size_t from, std::size_t) { return from == 1; };
    group.execute(1, group.at(1).revalidate(group.now()));
    group.step(3s);
    CHECK_FALSE(group.confirmed[1]);
}

TEST_CASE("A process detects that a later incarnation uses its name")
{
    Group group(4);
    group.step(5s);
    MemberRecord later = record(2, 9);
    group.execute(2, group.at(2).merge({ later }, group.now()));
    CHECK(group.superseded[2]);
}

TEST_CASE("A leaving member is not usable, and an older record does not change its state")
{
    Group group(4);
    group.step(5s);
    group.execute(2, group.at(2).leave(group.now()));
    group.step(2s);
    CHECK_FALSE(group.at(0).member(MemberName("m2"))->usable());
    group.execute(0, group.at(0).merge({ record(2, 1) }, group.now()));
    CHECK_FALSE(group.at(0).member(MemberName("m2"))->usable());
}

TEST_CASE("A datagram that is not a valid membership message is rejected with MalformedMessage")
{
    Membership member(record(0, 1), {}, MembershipTiming(), 1);
    std::string truncated = encodeDatagram(Probe {}).substr(0, 6);
    for (const std::string& bytes : { std::string(), std::string("x"), std::string(1400, '\xff'), truncated, encodeDatagram(CancelBatch {}) })
        CHECK_THROWS_AS(member.handleDatagram(bytes, endpointOf(1), Instant()), MalformedMessage);
}

TEST_CASE("Two members of a data centre watch the platform, the others read rarely, and an outage causes no burst of reads")
{
    std::vector<MemberRecord> members;
    for (std::size_t i = 0; i < 100; ++i)
        members.push_back(record(i, 1));
    std::size_t watchers = 0;
    for (const MemberRecord& self : members)
        watchers += PlatformReadScheduler::isWatcher(self, members, 2);
    CHECK(watchers == 2);
    constexpr std::size_t processes = 750;
    ManualClock clock;
    std::vector<PlatformReadScheduler> watches;
    for (std::size_t i = 0; i < processes; ++i)
        watches.emplace_back(PlatformTiming(), i, clock.now());
    std::size_t maxReads = 0;
    std::size_t total = 0;
    for (int second = 0; second < 120; ++second) {
        std::size_t reads = 0;
        bool outage = second < 60;
        for (int step = 0; step < 10; ++step) {
            clock.advance(100ms);
            for (std::size_t i = 0; i < processes; ++i) {
                bool watcher = i < 14;
                for (const PlatformRead& read : watches[i].startDueReads(clock.now(), watcher)) {
                    ++reads;
                    watches[i].recordResult(read.kind, outage ? PlatformReadScheduler::Result::Failed : PlatformReadScheduler::Result::Unchanged, clock.now() + read.wait, watcher);
                }
            }
        }
        maxReads = std::max(maxReads, reads);
        total += second >= 100 ? reads : 0;
    }
    CHECK(maxReads <= 2000);
    CHECK(total / 20 <= 200);
}
