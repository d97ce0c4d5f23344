#pragma once

#include "foundation/hashing/StableHash.h"
#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/governance/Governance.h"

#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayashelf {

/** One workspace of the measurement. */
struct TraceWorkspace {
    const char* name;
    std::int64_t tokensPerSecond;
    std::int64_t burstTokens;
    double load; /**< Mean of the tokens really used, as a part of the rate. */
    double meanTokens; /**< Mean of the tokens that one request really uses. */
    double spike; /**< What its load is multiplied with in its bad minutes. */
};

/** One request of a trace; who serves it depends on the policy. */
struct TraceRequest {
    Milliseconds at;
    std::size_t region = 0;
    std::size_t workspace = 0;
    std::int64_t reserved = 0;
    std::int64_t used = 0;
    Milliseconds duration;
    bool followsList = false; /**< Its caller takes the first VM that it was told, not any of its region. */
    std::uint64_t choice = 0;
};

struct Trace {
    std::vector<TraceWorkspace> workspaces;
    std::vector<std::string> regions;
    Milliseconds length;
    double loadFactor = 1;
    std::vector<TraceRequest> requests;
};

/** Five uneven workspaces over three regions whose daily peaks are a third of a day apart; a day takes 10 minutes. */
inline Trace makeTrace(std::uint64_t seed, bool withSpikes, double loadFactor)
{
    Trace trace;
    trace.loadFactor = loadFactor;
    trace.regions = { "altiplano", "oriente", "verapaz" };
    trace.workspaces = {
        { "entries", 30'000, 300'000, 0.7, 300, 1 },
        { "reports", 12'000, 120'000, 0.6, 500, 1 },
        { "courses", 8'000, 80'000, 0.5, 300, 5 },
        { "heats", 3'000, 30'000, 0.6, 150, 1 },
        { "clubs", 1'000, 12'000, 0.5, 200, 1 },
    };
    trace.length = Milliseconds::fromSeconds(600);
    constexpr double pi = 3.14159265358979;
    constexpr double millisecondsPerToken = 15;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (std::size_t workspace = 0; workspace < trace.workspaces.size(); ++workspace) {
        const TraceWorkspace& each = trace.workspaces[workspace];
        for (std::size_t region = 0; region < trace.regions.size(); ++region) {
            // A sequence for each, so that one workspace's bad minutes leave the others' requests as they are.
            std::mt19937_64 random(combineHashes(seed, workspace * trace.regions.size() + region));
            // Thinning: candidates at the highest rate, kept by the rate of their moment.
            const double mean
                = loadFactor * each.load * static_cast<double>(each.tokensPerSecond) / each.meanTokens / 3;
            const double highest = mean * 2 * std::max(1.0, each.spike) * 1.2;
            std::exponential_distribution<double> gap(highest);
            for (double at = gap(random); at < trace.length.seconds(); at += gap(random)) {
                const double day = at / trace.length.seconds() + static_cast<double>(region) / 3;
                double now = mean * (1 + 0.9 * std::sin(2 * pi * day)) * (1 + 0.15 * std::sin(2 * pi * at / 47));
                const bool isBad = (at > 100 && at < 160) || (at > 400 && at < 460);
                if (withSpikes && isBad)
                    now *= each.spike;
                if (uniform(random) * highest > now)
                    continue;
                const double tokens = -std::log(1 - uniform(random)) * each.meanTokens * 0.8 + each.meanTokens * 0.2;
                TraceRequest request;
                request.at = Milliseconds(static_cast<std::int64_t>(at * 1000));
                request.region = region;
                request.workspace = workspace;
                request.used = std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens));
                request.reserved = static_cast<std::int64_t>(tokens * (1 + 2 * uniform(random))) + 1;
                request.duration = Milliseconds(static_cast<std::int64_t>(tokens * millisecondsPerToken));
                request.followsList = uniform(random) < 0.5;
                request.choice = random();
                trace.requests.push_back(request);
            }
        }
    }
    std::stable_sort(trace.requests.begin(), trace.requests.end(),
        [](const TraceRequest& left, const TraceRequest& right) { return left.at < right.at; });
    return trace;
}

inline std::shared_ptr<Governance> makeTraceGovernance(const Trace& trace)
{
    auto governance = std::make_shared<Governance>();
    governance->revision = 1;
    for (const std::string& region : trace.regions)
        governance->regions[RegionId(region)].id = RegionId(region);
    for (const TraceWorkspace& each : trace.workspaces) {
        Workspace& workspace = governance->workspaces[WorkspaceId(each.name)];
        workspace.id = WorkspaceId(each.name);
        workspace.tokensPerSecond = each.tokensPerSecond;
        workspace.burstTokens = each.burstTokens;
    }
    return governance;
}

} // namespace papayashelf
