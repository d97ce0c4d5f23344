#include "gateway/core/GatewayCore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace papayashelf {

namespace {

constexpr std::size_t minimumOtherUpstreams = 2;
constexpr std::int64_t rejectionSpreadDivisor = 5; /**< VMs return within a fifth of the time after its end. */
constexpr Milliseconds longestRejectionSpread { 1'000 };

/** VMs that the store no longer lists may still use the other half, while the listed ones share this one. */
constexpr double extraRetriesFactor = 0.5;
/** The rest of the slack covers demand that moves between VMs before the other VMs receive the new figures. */
constexpr double tokenSlackFactor = 0.5;
/** Two intervals between confirmations plus one between reports; only missing replies make a confirmed view older. */
constexpr Milliseconds maximumConfirmationAge
    = ConfigurationFreshness::confirmationInterval * 2 + LoadExchange::reportInterval + Milliseconds(300);
constexpr double cacheMissProbability = 0.3; /**< Share of a prompt's shared tokens that is not found in the cache. */
/** Seconds of prefill that may be granted at once; engines complete it within the latency targets. */
constexpr double prefillBurstSeconds = 0.7;
constexpr double urgentOverdraft = 0.5; /**< Share of the depth by which the most urgent requests may overdraw. */
/** Share of the depth that each priority level leaves for the next more urgent one. */
constexpr double priorityReserveStep = 0.25;
/** At high pressure, a prompt with this prefill time, a fifth of usual latency targets, leaves the whole depth. */
constexpr Milliseconds longPrefillTime { 270 };
constexpr double lowPressure = 0.9; /**< Share of the prefill capacity; below it, the prompt length does not matter. */
constexpr double highPressure = 1.2; /**< Share of the prefill capacity from which long prompts yield completely. */
/** Share of the depth; it stays below 1 so that engines that are nearly idle accept any prompt. */
constexpr double maximumReserve = 0.9;
constexpr int lowestPriority = 4; /**< Priorities from this value on are treated alike. */
/** Share of all requests that precede even the most urgent ones, so that no priority starves. */
constexpr double promotedShare = 0.1;
/** Below 0, so that promoted requests are placed even while priority 0 alone uses the whole capacity. */
constexpr double promotedPriority = -0.4;
/** Time in which a VM that lost the store may regain it, or callers move to another VM. */
constexpr Milliseconds storeRetryDelay { 500 };
constexpr Milliseconds minimumWait { 50 };
constexpr Milliseconds minimumReturnDelay { 150 }; /**< For a service without free capacity. */
/** Spreads returns over at least this time, so that they do not arrive in bursts. */
constexpr Milliseconds minimumReturnSpread { 450 };
/** Limits delays to a quarter of the remaining time: a load peak may be over, and an answer is still possible. */
constexpr std::int64_t returnDelayDivisor = 4;
/** Part of the remaining time after which no return is planned, as too little would be left for an answer. */
constexpr std::int64_t longestReturnDivisor = 3;
/** Time for which a notice of a later configuration counts; VMs repeat it with each digest. */
constexpr Milliseconds noticeLifetime { 4'000 };

/** Returns the regions that are in both lists; an empty list allows all regions. */
std::vector<RegionId> intersectHomes(const std::vector<RegionId>& left, const std::vector<RegionId>& right)
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    std::vector<RegionId> both;
    for (const RegionId& region : left) {
        if (isHome(right, region))
            both.push_back(region);
    }
    // An empty region id stands for "no region", because an empty list would allow all regions.
    if (both.empty())
        both.emplace_back();
    return both;
}

/** Returns the prompt tokens that an upstream probably has to read. */
double estimateReadTokens(const PlacementQuery& query)
{
    const auto unsharedTokens = static_cast<double>(query.promptTokens - query.sharedTokens);
    return unsharedTokens + static_cast<double>(query.sharedTokens) * cacheMissProbability;
}

} // namespace

std::string_view toString(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::NoConfiguration:
        return "no_configuration";
    case RefusalCause::StaleConfiguration:
        return "stale_configuration";
    case RefusalCause::UnknownRoute:
        return "unknown_route";
    case RefusalCause::UnknownKey:
        return "unknown_key";
    case RefusalCause::OverLimit:
        return "over_limit";
    case RefusalCause::Stopping:
        return "stopping";
    case RefusalCause::NoUpstream:
        return "no_upstream";
    case RefusalCause::UnknownStream:
        return "unknown_stream";
    case RefusalCause::NoUpstreamOfVersion:
        return "no_upstream_of_version";
    case RefusalCause::AllFull:
        return "all_full";
    case RefusalCause::AllCold:
        return "all_cold";
    case RefusalCause::AllRejecting:
        return "all_rejecting";
    case RefusalCause::QuarantinedPrompt:
        return "quarantined_prompt";
    case RefusalCause::UpstreamsUnreachable:
        return "upstreams_unreachable";
    case RefusalCause::NoRetryLeft:
        return "no_retry_left";
    case RefusalCause::NoTimeLeft:
        return "no_time_left";
    }
    return "unknown";
}

GatewayCore::GatewayCore(const GatewaySettings& settings, std::string relayKey, std::uint64_t seed)
    : settings(settings)
    , relayKey(std::move(relayKey))
    , random(seed)
    , freshness(settings.bounds.keyWithdrawal)
    , loadExchange(settings.vm, settings.region)
    , streamOrigins(settings.vm, this->vms)
    , placement(settings.vm, settings.region, this->upstreams, this->vms, this->loadExchange, seed + 1)
    , recentVmCount(settings.bounds.retryWindow)
{
}

bool GatewayCore::applyConfiguration(ServingDocument document)
{
    if (this->configuration && document.version <= this->configuration->getVersion())
        return false;
    this->configuration = std::make_shared<const ServingConfiguration>(std::move(document));
    this->inForce = { this->configuration->getVersion(), {} };
    for (const ServingWorkspace& workspace : this->configuration->getDocument().workspaces) {
        const double slack = workspace.countsTokens ? this->settings.bounds.tokenSlack * tokenSlackFactor : 0;
        this->workspaceAllowances[workspace.id].setLimit({ workspace.unitsPerSecond, workspace.burstUnits, slack });
    }
    return true;
}

void GatewayCore::noteConfigurationConfirmation(Milliseconds sentAt)
{
    if (this->storedConfiguration.isProvenBy(sentAt, this->getVersionInForce()))
        this->freshness.noteConfirmation(sentAt);
}

void GatewayCore::noteStoredConfiguration(ConfigurationNotice stored)
{
    this->storedConfiguration.noteStored(stored);
    if (stored.version == this->inForce.version)
        this->inForce.storedAt = stored.storedAt;
}

void GatewayCore::noteConfigurationNotice(Milliseconds now, const ConfigurationNotice& notice)
{
    const bool isHeardExpired = now - this->heardAt >= noticeLifetime;
    if (!isHeardExpired && notice.version < this->heard.version)
        return;
    const bool isRepeated = !isHeardExpired && notice.version == this->heard.version;
    const StorePosition storedAt = isRepeated ? std::min(notice.storedAt, this->heard.storedAt) : notice.storedAt;
    this->heard = { notice.version, storedAt };
    this->heardAt = now;
}

bool GatewayCore::lacksConfiguration(Milliseconds now) const
{
    const bool isHeard = now - this->heardAt < noticeLifetime;
    const bool isLater = this->heard.version > this->getVersionInForce();
    // A later position means that the configuration is still on its way to this VM, whose reads prove what they prove.
    return isHeard && isLater && this->heard.storedAt <= this->knownRevision;
}

void GatewayCore::tick(Milliseconds now)
{
    if (!std::exchange(this->hasTicked, true))
        this->placement.noteStart(now);
    for (const UpstreamId& upstream : this->upstreams.expire(now))
        this->placement.forget(upstream);
    this->vms.expire(now);
    this->quarantine.expire(now);
    this->streamOrigins.expire(now);
    this->recentVmCount.note(now, this->vms.countVms());
    this->updateShares(now);
}

void GatewayCore::updateShares(Milliseconds now)
{
    for (auto& [workspace, allowance] : this->workspaceAllowances)
        allowance.setRemoteDemand({ this->loadExchange.getRemoteDemand(workspace), this->vms.countVms() });
    const std::size_t vmCount = std::max<std::size_t>(1, this->vms.getReadyVms(this->settings.region).size());
    for (auto& [service, allowance] : this->prefillAllowances) {
        const double capacity = this->placement.getPrefillCapacity(now, service);
        allowance.setLimit({ capacity, capacity * prefillBurstSeconds, 0 });
        const ServiceLoad others = this->loadExchange.getLocalLoadOfOtherVms(service);
        allowance.setRemoteDemand({ static_cast<double>(others.requestedTokensPerSecond), vmCount });
    }
}

LoadFigures GatewayCore::measureLoad(Milliseconds now) const
{
    LoadFigures load;
    for (const auto& [workspace, allowance] : this->workspaceAllowances) {
        const double demand = allowance.getDemand(now);
        if (demand >= 1)
            load.demand[workspace] = demand;
    }
    load.services = this->upstreams.measureLoad(this->settings.region);
    load.upstreams = this->upstreams.measureUpstreamLoads(this->settings.region);
    for (const auto& [service, allowance] : this->prefillAllowances) {
        ServiceLoad& serviceLoad = load.services[service];
        serviceLoad.requestedTokensPerSecond = static_cast<std::int64_t>(allowance.getDemand(now));
        serviceLoad.acceptedShare = this->placement.getAcceptedShare(service);
    }
    return load;
}

std::vector<std::pair<const VmAnnouncement*, DigestReport>> GatewayCore::makeReports(Milliseconds now)
{
    std::vector<std::pair<const VmAnnouncement*, DigestReport>> reports;
    // A collector without other regions sends no reports, but its replies contain its own load.
    this->loadExchange.setOwnLoad(this->measureLoad(now));
    this->loadExchange.expire(now, this->vms);
    for (const VmAnnouncement* receiver : this->loadExchange.chooseReceivers(now, this->vms)) {
        DigestReport report = this->loadExchange.makeReport(now, receiver->region);
        report.configuration = this->inForce;
        report.crashes = this->quarantine.makeEvidence(now);
        if (receiver->region == this->settings.region)
            report.statements = this->upstreams.getSharedStatements(now, this->settings.region);
        reports.emplace_back(receiver, std::move(report));
    }
    return reports;
}

DigestReply GatewayCore::answerReport(Milliseconds now, const DigestReport& report)
{
    this->loadExchange.noteReport(now, report);
    this->noteConfigurationNotice(now, report.configuration);
    this->quarantine.noteEvidence(now, report.crashes);
    this->noteSharedStatements(now, report.statements);
    DigestReply reply = this->loadExchange.makeReply(now, report, this->freshness.getAge(now), this->knownRevision);
    reply.configuration = this->inForce;
    reply.crashes = this->quarantine.makeEvidence(now);
    if (report.region == this->settings.region)
        reply.statements = this->upstreams.getSharedStatements(now, this->settings.region);
    return reply;
}

void GatewayCore::noteReply(Milliseconds now, const DigestReply& reply)
{
    this->quarantine.noteEvidence(now, reply.crashes);
    this->noteConfigurationNotice(now, reply.configuration);
    this->noteSharedStatements(now, reply.statements);
    const std::optional<FreshnessConfirmation> confirmation = this->loadExchange.noteReply(now, reply);
    if (!confirmation)
        return;
    if (confirmation->knownRevision > this->knownRevision) {
        this->behindSince = this->behindSince.value_or(now);
        return;
    }
    // A VM that knows only an older version cannot tell which keys the version in force here withdrew.
    const bool isOlder = reply.configuration.version != 0 && reply.configuration.version < this->getVersionInForce();
    if (isOlder)
        return;
    // What was current in an earlier era may have been lost and written again in this one.
    if (confirmation->knownRevision.era < this->knownRevision.era)
        return;
    // This VM has every change up to its own revision, so it lacks none of those the replier confirmed as complete.
    this->behindSince.reset();
    this->freshness.noteConfirmation(confirmation->confirmedAt);
}

void GatewayCore::noteSharedStatements(Milliseconds now, const std::vector<SharedStatement>& statements)
{
    for (const SharedStatement& statement : statements) {
        const KnownUpstream* upstream = this->upstreams.find(statement.upstream);
        if (upstream)
            this->upstreams.noteStatement(now, statement, this->getColdDuration(upstream->record.service));
    }
}

Milliseconds GatewayCore::getColdDuration(const ServiceId& service) const
{
    return this->configuration ? this->configuration->getService(service).coldDuration : Milliseconds(0);
}

bool GatewayCore::mustQueryStore(Milliseconds now) const
{
    return this->loadExchange.isCollector() || this->freshness.getAge(now) > maximumConfirmationAge
        || this->lacksConfiguration(now) || !this->freshness.isConfirmedAfter(this->confirmationNeededAfter);
}

AdmissionDecision GatewayCore::admit(Milliseconds now, const AdmissionQuery& query)
{
    if (!this->configuration)
        return Refusal { RefusalCause::NoConfiguration, storeRetryDelay };
    const bool isFresh = this->isFresh(now);
    const ServingRoute* route = this->configuration->findRoute(query.host, query.path);
    if (!route) {
        return isFresh ? Refusal { RefusalCause::UnknownRoute, Milliseconds(0) }
                       : Refusal { RefusalCause::StaleConfiguration, storeRetryDelay };
    }
    Admitted admitted { this->configuration, route, {}, this->chooseService(*route), route->homes, route->priority };
    if (route->isPublic || !this->configuration->hasWorkspaces())
        return admitted;
    if (!isFresh)
        return Refusal { RefusalCause::StaleConfiguration, storeRetryDelay };
    const ServingWorkspace* workspace = this->configuration->findWorkspaceOfKey(query.key);
    if (!workspace)
        return Refusal { RefusalCause::UnknownKey, Milliseconds(0) };
    // Before the limit, as a refused request must not use up what the workspace's other requests need.
    Milliseconds quarantined = this->quarantine.getRemaining(now, admitted.service, query.promptParts);
    if (query.identity) {
        const auto known = this->quarantine.findKnownIdentity(admitted.service, *query.identity, workspace->id);
        if (known)
            quarantined
                = std::max(quarantined, this->quarantine.getRemaining(now, admitted.service, std::array { *known }));
    }
    if (quarantined > Milliseconds(0))
        return Refusal { RefusalCause::QuarantinedPrompt, quarantined };
    SharedAllowance& allowance = this->workspaceAllowances[workspace->id];
    const double units = !workspace->countsTokens ? 1
        : query.tokens                            ? static_cast<double>(*query.tokens)
                                                  : workspace->defaultRequestUnits;
    if (!allowance.tryTake(now, units))
        return Refusal { RefusalCause::OverLimit, std::max(minimumWait, allowance.getWait(now)) };
    admitted.workspace = workspace->id;
    admitted.homes = intersectHomes(route->homes, workspace->homes);
    admitted.priority = workspace->priority.value_or(route->priority);
    return admitted;
}

const ServiceId& GatewayCore::chooseService(const ServingRoute& route)
{
    std::int64_t total = 0;
    for (const WeightedService& part : route.services)
        total += part.weight;
    std::int64_t drawnWeight
        = std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(0, total - 1))(this->random);
    for (const WeightedService& part : route.services) {
        drawnWeight -= part.weight;
        if (drawnWeight < 0)
            return part.service;
    }
    return route.services.front().service;
}

PlacementDecision GatewayCore::place(Milliseconds now, PlacementQuery query, int priority)
{
    static const ServingService unknown;
    const ServingService& service = this->configuration ? this->configuration->getService(query.service) : unknown;
    const Milliseconds quarantined = this->quarantine.getRemaining(now, query.service, query.promptParts);
    if (quarantined > Milliseconds(0))
        return PlacementFailure { PlacementFailureCause::Quarantined, quarantined };
    query.mayUseOwnUpstreams = !this->upstreamReach.isLost();
    // The VM that takes a request over counts it against its own share of the prefill capacity.
    if (query.promptTokens == 0 || !query.mayUseOwnUpstreams)
        return this->placement.choose(now, query, service);
    const double tokens = estimateReadTokens(query);
    SharedAllowance& allowance = this->prefillAllowances[query.service];
    const int level = std::min(priority, lowestPriority);
    PromptSizeFairness& fairness = this->sizeFairness[{ query.service, level }];
    if (query.isFirstPlacement) {
        allowance.noteDemand(now, tokens);
        fairness.noteOffered(now, tokens);
    }
    // Few upstreams can continue a stream, and what its caller already has would be lost.
    const bool isPromoted = query.version || std::bernoulli_distribution(promotedShare)(this->random);
    const double effectivePriority = isPromoted ? promotedPriority : level;
    // Long prompts yield to short ones, which are most of the requests but need little of the prefill capacity.
    const double pressure = (allowance.getPressure(now) - lowPressure) / (highPressure - lowPressure);
    const double time = tokens / this->placement.getPrefillSpeed(query.service);
    const double lengthReserve = fairness.shouldYield(now, tokens)
        ? std::clamp(pressure, 0.0, 1.0) * time / static_cast<double>(longPrefillTime.count())
        : 0;
    query.hasPrefillCapacity = allowance.hasLevelAbove(
        now, std::min(maximumReserve, effectivePriority * priorityReserveStep - urgentOverdraft + lengthReserve));
    PlacementDecision decision = this->placement.choose(now, query, service);
    if (const auto* choice = std::get_if<UseUpstream>(&decision)) {
        allowance.take(this->placement.getUsedPrefill(choice->upstream.id, tokens));
        this->placement.notePlaced(query.service, tokens);
    }
    if (!std::holds_alternative<PlacementFailure>(decision))
        fairness.notePlaced(now, tokens);
    return decision;
}

GatewayCore::ShuffledUpstreams GatewayCore::shuffleUpstreams(Milliseconds now)
{
    ShuffledUpstreams shuffled;
    for (const auto& [id, upstream] : this->upstreams.getAll()) {
        if (upstream.record.region != this->settings.region || upstream.goneAt)
            continue;
        const bool isDoubtful = upstream.hasEnded() || upstream.health.isUnreachable(now);
        (isDoubtful ? shuffled.doubtful : shuffled.sound).push_back(upstream.record);
    }
    std::shuffle(shuffled.sound.begin(), shuffled.sound.end(), this->random);
    std::shuffle(shuffled.doubtful.begin(), shuffled.doubtful.end(), this->random);
    return shuffled;
}

std::vector<UpstreamRecord> GatewayCore::chooseCheckedUpstreams(Milliseconds now)
{
    auto [chosen, doubtful] = this->shuffleUpstreams(now);
    chosen.insert(chosen.end(), doubtful.begin(), doubtful.end());
    chosen.resize(std::min(chosen.size(), UpstreamReach::checkedUpstreams));
    return chosen;
}

std::vector<UpstreamRecord> GatewayCore::chooseOtherUpstreams(Milliseconds now, const UpstreamId& ended)
{
    std::vector<UpstreamRecord> chosen = this->shuffleUpstreams(now).sound;
    std::erase_if(chosen, [&ended](const UpstreamRecord& upstream) { return upstream.id == ended; });
    // One more that has just ended, too, would decide alone.
    if (chosen.size() < minimumOtherUpstreams)
        return {};
    chosen.resize(std::min(chosen.size(), UpstreamReach::checkedUpstreams));
    return chosen;
}

bool GatewayCore::noteReachCheck(Milliseconds now, std::size_t tried, std::size_t reached)
{
    if (tried == 0 || !this->upstreamReach.noteCheck(now, tried, reached))
        return false;
    if (!this->upstreamReach.isLost())
        this->upstreams.discardHealth(this->settings.region);
    return true;
}

StatementChange GatewayCore::noteStatement(
    Milliseconds now, const UpstreamRecord& upstream, UpstreamStatement statement)
{
    this->upstreams.noteContact(now, upstream, now - statement.connectedFor, this->getColdDuration(upstream.service));
    const Milliseconds rejectsFor = std::min(statement.rejectsFor, this->settings.bounds.longestRejection);
    // An upstream in need tells many VMs the same time, and they must not all return at its end.
    const Milliseconds latest = std::min(rejectsFor / rejectionSpreadDivisor, longestRejectionSpread);
    std::uniform_int_distribution<std::int64_t> spread(0, latest.count());
    statement.rejectsFor = rejectsFor + Milliseconds(spread(this->random));
    return this->upstreams.noteStatement(now, upstream, statement);
}

Milliseconds GatewayCore::planReturn(
    Milliseconds now, const PlacementQuery& query, Milliseconds known, Milliseconds remaining)
{
    const Milliseconds drawn = this->drawReturnDelay(remaining);
    const auto found = this->prefillAllowances.find(query.service);
    if (found == this->prefillAllowances.end())
        return known + drawn;
    SharedAllowance& allowance = found->second;
    const Milliseconds unplanned = std::max(known, allowance.getWait(now)) + drawn;
    // Without stated limits, the rate is only an estimate of what engines can read.
    if (!allowance.hasLimit() || !query.mayRelay || this->placement.getAcceptedShare(query.service) >= 1)
        return unplanned;
    const Milliseconds latest = remaining / longestReturnDivisor;
    const Milliseconds planned = this->returnSchedules[query.service].reserve(
        now, estimateReadTokens(query), allowance.getRate(now), allowance.getDemand(now), latest);
    // Times without a reservation are all alike and have to be spread.
    return planned > latest ? planned + drawn : std::max(planned, unplanned);
}

Milliseconds GatewayCore::drawReturnDelay(Milliseconds remaining)
{
    const Milliseconds latest = std::max(minimumReturnDelay + minimumReturnSpread, remaining / returnDelayDivisor);
    std::uniform_int_distribution<std::int64_t> spread(minimumReturnDelay.count(), latest.count());
    return Milliseconds(spread(this->random));
}

SharedRetryBudget& GatewayCore::getRetryBudget(const ServiceId& service)
{
    const GatewayBounds& bounds = this->settings.bounds;
    const RetryBound bound { bounds.retryRatio, bounds.extraRetries, bounds.retryWindow };
    return this->retryBudgets.try_emplace(service, bound).first->second;
}

double GatewayCore::getExtraRetryShare(Milliseconds now) const
{
    // A process that ran on this VM before may have used its share, and a new process may not know all VMs yet.
    if (!this->recentVmCount.coversWindow(now))
        return 0;
    return extraRetriesFactor / static_cast<double>(std::max<std::size_t>(1, this->recentVmCount.get()));
}

void GatewayCore::noteRequest(Milliseconds now, const ServiceId& service)
{
    this->getRetryBudget(service).noteRequest(now);
}

bool GatewayCore::hasRetry(Milliseconds now, const ServiceId& service)
{
    return this->getRetryBudget(service).hasRetry(now, this->getExtraRetryShare(now));
}

bool GatewayCore::tryRetry(Milliseconds now, const ServiceId& service)
{
    return this->getRetryBudget(service).tryTake(now, this->getExtraRetryShare(now));
}

std::optional<StreamOrigin> GatewayCore::findOnlyOrigin(
    Milliseconds now, const ServingRoute& route, Milliseconds takenUpAt) const
{
    if (!this->isFresh(now) || !this->freshness.isConfirmedAfter(takenUpAt))
        return std::nullopt;
    return this->findOriginInView(now, route);
}

bool GatewayCore::needsConfirmation(Milliseconds now, const ServingRoute& route, Milliseconds takenUpAt)
{
    if (this->freshness.isConfirmedAfter(takenUpAt) || !this->findOriginInView(now, route))
        return false;
    this->confirmationNeededAfter = std::max(this->confirmationNeededAfter, takenUpAt);
    return true;
}

std::optional<StreamOrigin> GatewayCore::findOriginInView(Milliseconds now, const ServingRoute& route) const
{
    if (route.services.size() != 1)
        return std::nullopt;
    const ServiceId& service = route.services.front().service;
    const std::optional<SoftwareVersion> version
        = this->upstreams.findOnlyVersion(now, service, StreamOriginTable::longestLifetime);
    return version ? std::optional(StreamOrigin { service, *version }) : std::nullopt;
}

bool GatewayCore::isReady(Milliseconds now) const
{
    return this->configuration && !this->isStopping() && this->isFresh(now);
}

void GatewayCore::beginStopping(Milliseconds now)
{
    if (!this->stop)
        this->stop.emplace(now, this->settings.bounds.stopGrace);
}

bool GatewayCore::takesRequests(Milliseconds now) const
{
    return !this->stop || this->stop->takesRequests(now);
}

const CallerLimits& GatewayCore::getCallerLimits() const
{
    static const CallerLimits defaults;
    return this->configuration ? this->configuration->getLimits() : defaults;
}

VmAnnouncement GatewayCore::makeStatus(Milliseconds now) const
{
    VmAnnouncement status;
    status.vm = this->settings.vm;
    status.region = this->settings.region;
    status.failureDomain = this->settings.failureDomain;
    status.callers = this->settings.listeners.callers;
    status.relays = this->settings.listeners.relays;
    status.relayKey = this->relayKey;
    status.isReady = this->configuration && !this->isStopping();
    status.reachesUpstreams = !this->upstreamReach.isLost();
    status.takesRequests = this->configuration && this->takesRequests(now);
    return status;
}

} // namespace papayashelf
