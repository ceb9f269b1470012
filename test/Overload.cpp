// What a front lets begin when its targets have more to do than they can.
#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <catch2/catch.hpp>
#include <deque>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// Targets as one queue, which refuses at the door what cannot end in time; a query is congested if it waited long.
class QueueBench {
public:
    /// Offers \a load times what the queue can serve for \a length. \returns whole answers over what can be served
    double offer(double load, Duration length)
    {
        unsigned whole = 0;
        auto queries = static_cast<unsigned>(load * static_cast<double>(length / service));
        Duration interval = length / queries;
        for (unsigned i = 0; i < queries; ++i) {
            clock.advance(interval);
            settle(whole);
            if (!control.admit(clock.now()))
                continue;
            if (std::max(m_free, clock.now()) + service > clock.now() + deadline) {
                control.recordCompletion(Congestion::Refused, clock.now(), clock.now());
                continue;
            }
            m_free = std::max(m_free, clock.now()) + service;
            m_waiting.push_back({ clock.now(), m_free });
        }
        return static_cast<double>(whole) / static_cast<double>(length / service);
    }

    ManualClock clock;
    AdmissionControl control { 3 };

private:
    static constexpr Duration service = 2ms;
    static constexpr Duration deadline = 400ms;

    struct Query {
        Instant begin;
        Instant end;
    };

    void settle(unsigned& whole)
    {
        while (!m_waiting.empty() && m_waiting.front().end <= clock.now()) {
            Duration took = m_waiting.front().end - m_waiting.front().begin;
            whole += took <= deadline;
            control.recordCompletion(took > deadline / 3 ? Congestion::Delayed : Congestion::None, m_waiting.front().begin, m_waiting.front().end);
            m_waiting.pop_front();
        }
    }

    std::deque<Query> m_waiting;
    Instant m_free {};
};

} // namespace

TEST_CASE("below capacity every query begins")
{
    QueueBench bench;
    CHECK(bench.offer(0.9, 10s) > 0.89);
    CHECK(bench.control.admittedFraction() == 1);
}

TEST_CASE("beyond capacity nine tenths of it still end whole")
{
    double load = GENERATE(1.1, 1.3, 2.0, 4.0);
    QueueBench bench;
    bench.offer(load, 5s);
    CHECK(bench.offer(load, 20s) >= 0.9);
    CHECK(bench.control.admittedFraction() < 1);
}

TEST_CASE("after overload every query begins again, also when few are asked")
{
    QueueBench bench;
    bench.offer(2, 10s);
    REQUIRE(bench.control.admittedFraction() < 1);
    bench.offer(0.01, 3s);
    bench.clock.advance(2s);
    CHECK(bench.control.admit(bench.clock.now()));
    CHECK(bench.control.admittedFraction() == 1);
}
