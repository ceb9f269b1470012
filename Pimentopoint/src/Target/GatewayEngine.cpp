#include "GatewayEngine.h"

namespace pimentopoint {

namespace {

    /// Time after which a new configuration is active on all gateways; a former owner has stopped by then.
    constexpr Duration configurationPropagationTime = std::chrono::seconds(11);

} // namespace

GatewayEngine::GatewayEngine(MemberName self, DataCentreName dataCentre, Hooks hooks, Instant start)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_hooks(std::move(hooks))
    , m_start(start)
{
}

GatewayEngine::State GatewayEngine::state() const
{
    std::lock_guard lock(m_stateMutex);
    return m_state;
}

NotRunReason GatewayEngine::refusalReason(const State& state, TargetId target) const
{
    if (!state.serving)
        return state.notServingReason;
    const Configuration& configuration = *state.documents.configuration;
    if (configuration.takenOut(m_dataCentre))
        return NotRunReason::TakenOut;
    if (state.documents.hosts && state.documents.hosts->leaving(target))
        return NotRunReason::Leaving;
    if (state.shares->share(target, m_self).empty())
        return NotRunReason::NotOwner;
    return NotRunReason::None;
}

void GatewayEngine::setDocuments(const DocumentStore::ActiveDocuments& documents, Instant now)
{
    if (!documents.configuration)
        return;
    State updated;
    {
        std::lock_guard lock(m_stateMutex);
        if (!m_state.shares || m_state.documents.configuration != documents.configuration)
            m_state.shares = std::make_shared<const ShareTable>(*documents.configuration);
        m_state.documents = documents;
        updated = m_state;
    }
    for (const Target& target : documents.configuration->targets()) {
        if (target.dataCentre() == m_dataCentre)
            updateAdmission(updated, target, now);
    }
    for (Stripe& stripe : m_stripes) {
        std::vector<std::pair<TargetId, AdmissionActions>> removed;
        {
            std::lock_guard lock(stripe.mutex);
            for (auto& [id, admission] : stripe.admissions) {
                if (documents.configuration->target(id))
                    continue;
                removed.emplace_back(id, AdmissionActions());
                admission.setShare({}, now, Duration(0), removed.back().second);
            }
        }
        for (const auto& [id, actions] : removed)
            perform(id, actions);
    }
}

void GatewayEngine::updateAdmission(const State& state, const Target& target, Instant now)
{
    Share share = state.shares->share(target.id(), m_self);
    NotRunReason reason = refusalReason(state, target.id());
    Duration longestDeadline = state.documents.configuration->longestDeadline();
    AdmissionActions actions;
    {
        Stripe& stripe = stripeFor(target.id());
        std::lock_guard lock(stripe.mutex);
        auto found = stripe.admissions.find(target.id());
        if (found == stripe.admissions.end()) {
            if (share.empty())
                return;
            // At the start of the process no share is taken over from another gateway; only requests of the previous incarnation of this one may still run.
            Instant openAt = m_start + longestDeadline;
            found = stripe.admissions.emplace(target.id(), TargetAdmission(target.id(), target.endpoint(), now, openAt)).first;
            bool starting = now - m_start < configurationPropagationTime;
            found->second.setShare(share, now, starting ? Duration(0) : configurationPropagationTime + longestDeadline, actions);
        } else {
            found->second.setEndpoint(target.endpoint());
            found->second.setShare(share, now, configurationPropagationTime + longestDeadline, actions);
        }
        if (reason != NotRunReason::None)
            found->second.refuseWaiting(reason, actions);
    }
    perform(target.id(), actions);
}

void GatewayEngine::setServing(bool serving, NotRunReason reason, Instant now)
{
    {
        std::lock_guard lock(m_stateMutex);
        bool canServe = m_state.documents.configuration != nullptr;
        m_state.serving = serving && canServe;
        if (!serving)
            m_state.notServingReason = reason;
    }
    if (!serving)
        refuseAllWaiting(reason);
    else
        tick(now);
}

void GatewayEngine::refuseAllWaiting(NotRunReason reason)
{
    for (Stripe& stripe : m_stripes) {
        std::vector<std::pair<TargetId, AdmissionActions>> refused;
        {
            std::lock_guard lock(stripe.mutex);
            for (auto& [id, admission] : stripe.admissions) {
                refused.emplace_back(id, AdmissionActions());
                admission.refuseWaiting(reason, refused.back().second);
            }
        }
        for (const auto& [id, actions] : refused)
            perform(id, actions);
    }
}

void GatewayEngine::checkForPause(Instant now)
{
    {
        // Serving stops before the lock on the pause detector is released, so that no other thread that wakes up finds the engine serving.
        std::lock_guard pauseLock(m_pauseMutex);
        if (!m_pauseDetector.tick(now))
            return;
        std::lock_guard lock(m_stateMutex);
        if (m_state.notServingReason != NotRunReason::Stopping)
            m_state.notServingReason = NotRunReason::Stale;
        m_state.serving = false;
    }
    refuseAllWaiting(NotRunReason::Stale);
    m_hooks.paused();
}

void GatewayEngine::refuse(const AttemptId& attempt, NotRunReason reason)
{
    SubReply reply;
    reply.attempt = attempt.number();
    reply.outcome = Outcome::NotRun;
    reply.notRunReason = reason;
    m_hooks.reply(attempt, std::move(reply));
}

void GatewayEngine::submit(const SearchBatch& batch, Instant now)
{
    checkForPause(now);
    State current = state();
    auto context = std::make_shared<const SubQueryContext>(SubQueryContext { batch.snapshot, batch.urgency, batch.idempotent, batch.text });
    Instant deadline = now + std::min(Duration(static_cast<Duration::rep>(batch.remaining)), maxDeadline);
    for (const SubQuery& subQuery : batch.subQueries) {
        AttemptId attempt(batch.sender, subQuery.attempt);
        NotRunReason reason = refusalReason(current, subQuery.target);
        AdmissionActions actions;
        bool accepted = false;
        if (reason == NotRunReason::None) {
            Stripe& stripe = stripeFor(subQuery.target);
            std::lock_guard lock(stripe.mutex);
            auto admission = stripe.admissions.find(subQuery.target);
            accepted = admission != stripe.admissions.end();
            if (accepted)
                admission->second.submit({ attempt, subQuery.target, subQuery.range, deadline, context }, subQuery.hint, now, actions);
        }
        if (accepted)
            perform(subQuery.target, actions);
        else
            refuse(attempt, reason == NotRunReason::None ? NotRunReason::NotOwner : reason);
    }
}

void GatewayEngine::handleResult(const ExchangeResult& result, Instant now)
{
    checkForPause(now);
    AdmissionActions actions;
    {
        Stripe& stripe = stripeFor(result.target);
        std::lock_guard lock(stripe.mutex);
        auto admission = stripe.admissions.find(result.target);
        if (admission == stripe.admissions.end())
            return;
        admission->second.handleResult(result, now, actions);
    }
    perform(result.target, actions);
}

void GatewayEngine::cancel(const CancelBatch& batch, Instant now)
{
    checkForPause(now);
    for (Stripe& stripe : m_stripes) {
        std::vector<std::pair<TargetId, AdmissionActions>> cancelled;
        {
            std::lock_guard lock(stripe.mutex);
            for (auto& [id, admission] : stripe.admissions) {
                if (admission.idle())
                    continue;
                cancelled.emplace_back(id, AdmissionActions());
                for (std::uint64_t number : batch.attempts)
                    admission.cancel(AttemptId(batch.sender, number), cancelled.back().second);
            }
        }
        for (const auto& [id, actions] : cancelled)
            perform(id, actions);
    }
}

void GatewayEngine::tick(Instant now)
{
    checkForPause(now);
    for (Stripe& stripe : m_stripes) {
        std::vector<std::pair<TargetId, AdmissionActions>> due;
        {
            std::lock_guard lock(stripe.mutex);
            for (auto& [id, admission] : stripe.admissions) {
                AdmissionActions actions;
                admission.tick(now, actions);
                if (!actions.empty())
                    due.emplace_back(id, std::move(actions));
            }
        }
        for (const auto& [id, actions] : due)
            perform(id, actions);
    }
}

void GatewayEngine::perform(TargetId target, const AdmissionActions& actions)
{
    for (const Dispatch& dispatch : actions.dispatches)
        m_hooks.dispatch(dispatch);
    for (const AttemptId& attempt : actions.cancels)
        m_hooks.cancel(target, attempt);
    for (const AdmissionActions::Reply& reply : actions.replies)
        m_hooks.reply(reply.attempt, reply.reply);
}

bool GatewayEngine::idle() const
{
    for (const Stripe& stripe : m_stripes) {
        std::lock_guard lock(stripe.mutex);
        for (const auto& [id, admission] : stripe.admissions) {
            if (!admission.idle())
                return false;
        }
    }
    return true;
}

std::vector<GatewayEngine::TargetStatus> GatewayEngine::status() const
{
    State current = state();
    std::vector<TargetStatus> all;
    for (const Stripe& stripe : m_stripes) {
        std::lock_guard lock(stripe.mutex);
        for (const auto& [id, admission] : stripe.admissions) {
            const Target* target = current.documents.configuration->target(id);
            TargetName name = target ? target->name() : TargetName("removed");
            all.push_back({ name, admission.share(), admission.ramp().state(), admission.waiting(), admission.outstanding(), admission.ramp().serviceTime() });
        }
    }
    return all;
}

} // namespace pimentopoint
