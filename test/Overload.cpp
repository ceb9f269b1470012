// Admission of queries by AdmissionControl while targets are overloaded.
#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <catch2/catch.hpp>
#include <deque>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// Simulates the targets as one queue that refuses queries that cannot complete in time. A query that takes more than a third of the
/// deadline counts as delayed.
class QueueFixture {
public:
    /// Offers \a load times the capacity of the queue for \a length. \returns complete answers divided by the capacity
    double offer(double load, Duration length)
    {
        unsigned complete = 0;
        auto queries = static_cast<unsigned>(load * static_cast<double>(length / service));
        Duration interval = length / queries;
        for (unsigned i = 0; i < queries; ++i) {
            clock.advance(interval);
            removeCompleted(complete);
            if (!control.admit(clock.now()))
                continue;
            if (std::max(m_idleAt, clock.now()) + service > clock.now() + deadline) {
                control.recordCompletion(Congestion::Refused, clock.now(), clock.now());
                continue;
            }
            m_idleAt = std::max(m_idleAt, clock.now()) + service;
            m_queue.push_back({ clock.now(), m_idleAt });
        }
        return static_cast<double>(complete) / static_cast<double>(length / service);
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

    void removeCompleted(unsigned& complete)
    {
        while (!m_queue.empty() && m_queue.front().end <= clock.now()) {
            Duration latency = m_queue.front().end - m_queue.front().begin;
            complete += latency <= deadline;
            control.recordCompletion(latency > deadline / 3 ? Congestion::Delayed : Congestion::None, m_queue.front().begin, m_queue.front().end);
            m_queue.pop_front();
        }
    }

    std::deque<Query> m_queue;
    Instant m_idleAt {};
};

} // namespace

TEST_CASE("Below capacity every query is admitted")
{
    QueueFixture fixture;
    CHECK(fixture.offer(0.9, 10s) > 0.89);
    CHECK(fixture.control.admittedFraction() == 1);
}

TEST_CASE("Above capacity complete answers reach nine tenths of the capacity")
{
    double load = GENERATE(1.1, 1.3, 2.0, 4.0);
    QueueFixture fixture;
    fixture.offer(load, 5s);
    CHECK(fixture.offer(load, 20s) >= 0.9);
    CHECK(fixture.control.admittedFraction() < 1);
}

TEST_CASE("After overload every query is admitted again, also at a low request rate")
{
    QueueFixture fixture;
    fixture.offer(2, 10s);
    REQUIRE(fixture.control.admittedFraction() < 1);
    fixture.offer(0.01, 3s);
    fixture.clock.advance(2s);
    CHECK(fixture.control.admit(fixture.clock.now()));
    CHECK(fixture.control.admittedFraction() == 1);
}
