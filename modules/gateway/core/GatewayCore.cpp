#include "gateway/core/GatewayCore.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

constexpr double retryRatioFactor = 0.9; /**< Of the ratio: requests counted here may be counted in another window. */
constexpr double extraRetriesFactor
    = 0.5; /**< Of the extra retries: half is there at once, half comes over the window. */
constexpr double tokenSlackFactor = 0.5; /**< The rest is for demand that moves while the others hear of it. */
constexpr double retryWindowSeconds = 10;
/** A vouched view is younger unless replies fail to come: two intervals between proofs, and one between reports. */
constexpr Milliseconds maximumConfirmationAge
    = ConfigurationFreshness::confirmationInterval * 2 + LoadExchange::reportInterval + Milliseconds(300);
constexpr double cacheMissProbability = 0.3; /**< Part of shared prompt tokens that is not found cached. */
constexpr double prefillBurstSeconds
    = 0.7; /**< Seconds of reading that may come at once; it is read within the goals. */
constexpr double urgentOverdraft = 0.5; /**< Of the depth, by which the most urgent requests may go below 0. */
constexpr double priorityReserveStep = 0.25; /**< Of the depth, that each less urgent rank leaves to those before it. */
constexpr Milliseconds longPrefillTime {
    270
}; /**< A prompt that takes this long, a fifth of usual goals, leaves all. */
constexpr double lowPressure = 0.9; /**< Of what engines read; up to here all prompts are alike. */
constexpr double highPressure = 1.2; /**< From here on, long prompts give way in full. */
constexpr double maximumReserve = 0.9; /**< Of the depth; engines that are nearly idle read any prompt. */
constexpr int lowestPriority = 4; /**< Ranks from here on are alike. */
constexpr double promotedShare = 0.1; /**< Of all requests go before the most urgent ones, so that no rank starves. */
constexpr double promotedPriority = -0.4; /**< Below the rank whose requests take all that comes, at the worst load. */
constexpr Milliseconds storeRetryDelay {
    500
}; /**< Until a VM that lost the store may have it back, or callers moved. */
constexpr Milliseconds minimumWait { 50 };

/** Regions that are in both lists; a list without entries allows all. */
std::vector<RegionId> intersectHomes(const std::vector<RegionId>& left, const std::vector<RegionId>& right)
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    std::vector<RegionId> both;
    for (const RegionId& region : left) {
        if (isHome(right, region))
            both.push_back(region);
    }
    // An unnamed region stands for "none": an empty list would allow all.
    if (both.empty())
        both.emplace_back();
    return both;
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
    case RefusalCause::AllFull:
        return "all_full";
    case RefusalCause::AllCold:
        return "all_cold";
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
    , placement(settings.vm, settings.region, this->upstreams, this->vms, this->loadExchange, seed + 1)
{
}

bool GatewayCore::applyConfiguration(ServingDocument document)
{
    if (this->configuration && document.version <= this->configuration->getVersion())
        return false;
    this->configuration = std::make_shared<const ServingConfiguration>(std::move(document));
    for (const ServingWorkspace& workspace : this->configuration->getDocument().workspaces) {
        const double slack = workspace.countsTokens ? this->settings.bounds.tokenSlack * tokenSlackFactor : 0;
        this->workspaceAllowances[workspace.id].setLimit({ workspace.unitsPerSecond, workspace.burstUnits, slack });
    }
    return true;
}

void GatewayCore::tick(Milliseconds now)
{
    if (!std::exchange(this->hasTicked, true))
        this->placement.noteStart(now);
    this->upstreams.expire(now);
    this->vms.expire(now);
    this->updateShares();
}

void GatewayCore::updateShares()
{
    for (auto& [workspace, allowance] : this->workspaceAllowances)
        allowance.setRemoteDemand({ this->loadExchange.getRemoteDemand(workspace), this->vms.countVms() });
    const std::size_t vmCount = std::max<std::size_t>(1, this->vms.getReadyVms(this->settings.region).size());
    for (auto& [service, allowance] : this->prefillAllowances) {
        const double capacity = this->placement.getPrefillCapacity(service, this->settings.region);
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
    for (const auto& [service, allowance] : this->prefillAllowances)
        load.services[service].requestedTokensPerSecond = static_cast<std::int64_t>(allowance.getDemand(now));
    return load;
}

std::vector<std::pair<const VmAnnouncement*, DigestReport>> GatewayCore::makeReports(Milliseconds now)
{
    std::vector<std::pair<const VmAnnouncement*, DigestReport>> reports;
    const LoadFigures load = this->measureLoad(now);
    for (const VmAnnouncement* receiver : this->loadExchange.chooseReceivers(now, this->vms))
        reports.emplace_back(receiver, this->loadExchange.makeReport(now, receiver->region, load));
    return reports;
}

DigestReply GatewayCore::answerReport(Milliseconds now, const DigestReport& report)
{
    this->loadExchange.noteReport(now, report);
    return this->loadExchange.makeReply(now, report, this->freshness.getAge(now), this->knownRevision);
}

void GatewayCore::noteReply(Milliseconds now, const DigestReply& reply)
{
    const std::optional<FreshnessConfirmation> confirmation = this->loadExchange.noteReply(now, reply);
    if (!confirmation)
        return;
    if (confirmation->knownRevision > this->knownRevision) {
        this->behindSince = this->behindSince.value_or(now);
        return;
    }
    // This VM has seen all changes up to its own last one, so it lacks none that the replier proved to be all.
    this->behindSince.reset();
    this->freshness.noteConfirmation(confirmation->confirmedAt);
}

bool GatewayCore::mustQueryStore(Milliseconds now) const
{
    return this->loadExchange.isCollector() || this->freshness.getAge(now) > maximumConfirmationAge;
}

AdmissionDecision GatewayCore::admit(Milliseconds now, const AdmissionQuery& query)
{
    if (!this->configuration)
        return Refusal { RefusalCause::NoConfiguration, storeRetryDelay };
    const bool isFresh = this->freshness.isFresh(now);
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
    int total = 0;
    for (const WeightedService& part : route.services)
        total += part.weight;
    int drawnWeight = std::uniform_int_distribution<int>(0, std::max(0, total - 1))(this->random);
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
    if (query.promptTokens == 0)
        return this->placement.choose(now, query, service);
    const auto unsharedTokens = static_cast<double>(query.promptTokens - query.sharedTokens);
    const double tokens = unsharedTokens + static_cast<double>(query.sharedTokens) * cacheMissProbability;
    SharedAllowance& allowance = this->prefillAllowances[query.service];
    if (query.isFirstPlacement)
        allowance.noteDemand(now, tokens);
    const bool isPromoted = std::bernoulli_distribution(promotedShare)(this->random);
    const double effectivePriority = isPromoted ? promotedPriority : std::min(priority, lowestPriority);
    // Long prompts give way to short ones, which are most of the requests and little of the reading.
    const double pressure = (allowance.getPressure(now) - lowPressure) / (highPressure - lowPressure);
    const double time = tokens / this->placement.getPrefillSpeed(query.service);
    const double size = std::clamp(pressure, 0.0, 1.0) * time / static_cast<double>(longPrefillTime.count());
    query.hasPrefillCapacity = allowance.hasLevelAbove(
        now, std::min(maximumReserve, effectivePriority * priorityReserveStep - urgentOverdraft + size));
    PlacementDecision decision = this->placement.choose(now, query, service);
    if (std::holds_alternative<UseUpstream>(decision))
        allowance.take(tokens);
    return decision;
}

Milliseconds GatewayCore::getPrefillWait(Milliseconds now, const ServiceId& service)
{
    const auto found = this->prefillAllowances.find(service);
    return found == this->prefillAllowances.end() ? Milliseconds(0) : found->second.getWait(now);
}

RetryBudget& GatewayCore::getBudget(const ServiceId& service)
{
    if (this->budgetVmCount != this->vms.countVms()) {
        this->budgets.clear();
        this->budgetVmCount = this->vms.countVms();
    }
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    DispatchSettings dispatch;
    const double extra
        = this->settings.bounds.extraRetries * extraRetriesFactor / static_cast<double>(this->budgetVmCount);
    dispatch.retriesPerRequest = this->settings.bounds.retryRatio * retryRatioFactor;
    dispatch.retriesPerSecond = extra / retryWindowSeconds;
    dispatch.retryBudgetLimit = std::max(1.0, extra);
    return this->budgets.emplace(service, RetryBudget(dispatch)).first->second;
}

void GatewayCore::noteRequest(const ServiceId& service)
{
    this->getBudget(service).noteRequest();
}

bool GatewayCore::tryRetry(Milliseconds now, const ServiceId& service)
{
    return this->getBudget(service).tryTake(now);
}

bool GatewayCore::isReady(Milliseconds now) const
{
    return this->configuration && !this->isStopping() && this->freshness.isFresh(now);
}

void GatewayCore::beginStopping(Milliseconds now)
{
    if (!this->stoppingSince)
        this->stoppingSince = now;
}

bool GatewayCore::takesRequests(Milliseconds now) const
{
    return !this->stoppingSince || now - *this->stoppingSince < this->settings.bounds.stopGrace * 3 / 10;
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
    status.takesRequests = this->configuration && this->takesRequests(now);
    return status;
}

} // namespace papayashelf
