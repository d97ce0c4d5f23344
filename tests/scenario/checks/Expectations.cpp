#include "scenario/checks/Expectations.h"

#include <algorithm>
#include <map>
#include <vector>

namespace papayashelf {

namespace {

/** What became of one operation over all its repeats. */
struct OperationResult {
    const WorldRecord* first = nullptr;
    bool wasFinished = false;
    bool wasRefusedForShare = false;
    std::int64_t usedTokens = 0;
};

std::vector<OperationResult> collectOperations(const ExpectationPlan& expectation, const World& world)
{
    std::map<std::uint64_t, OperationResult> byNumber;
    for (const auto& [id, record] : world.getBook().getRecords()) {
        OperationResult& result = byNumber[record.request.operation];
        if (!result.first)
            result.first = &record;
        result.wasFinished = result.wasFinished || record.outcome == WorldOutcome::Finished;
        result.wasRefusedForShare = result.wasRefusedForShare || record.code == RefusalCode::OverShare;
        result.usedTokens += record.processedTokens;
    }
    std::vector<OperationResult> chosen;
    for (const auto& [number, result] : byNumber) {
        const Milliseconds at = result.first->request.arrivedAt - warmUp;
        if (at >= expectation.from && at < expectation.until)
            chosen.push_back(result);
    }
    return chosen;
}

bool isOf(const ExpectationPlan& expectation, const OperationResult& result)
{
    return expectation.target.empty() || result.first->request.workspace.string() == expectation.target;
}

double measureServed(const ExpectationPlan& expectation, const World& world, bool byRegion)
{
    double all = 0;
    double finished = 0;
    for (const OperationResult& result : collectOperations(expectation, world)) {
        const bool counts
            = byRegion ? result.first->request.callerRegion.string() == expectation.target : isOf(expectation, result);
        if (!counts)
            continue;
        ++all;
        finished += result.wasFinished ? 1 : 0;
    }
    return all == 0 ? 0 : 100 * finished / all;
}

/** Refusals for the share that one bucket over the whole fleet, without any delay, would not have given. */
double measureWrongful(const ExpectationPlan& expectation, const World& world)
{
    std::map<WorkspaceId, std::pair<double, Milliseconds>> levels;
    double admissible = 0;
    double wrongful = 0;
    for (const OperationResult& result : collectOperations(expectation, world)) {
        const auto workspace = world.getTruth().workspaces.find(result.first->request.workspace);
        if (workspace == world.getTruth().workspaces.end() || !isOf(expectation, result))
            continue;
        const auto burst = static_cast<double>(workspace->second.burstTokens);
        const auto rate = static_cast<double>(workspace->second.tokensPerSecond);
        const Milliseconds now = result.first->request.arrivedAt;
        auto& [level, at] = levels.try_emplace(workspace->first, burst, now).first->second;
        level = std::min(burst, level + rate * (now - at).seconds());
        at = now;
        const auto cost = static_cast<double>(result.first->request.promptTokens + result.first->request.answerTokens);
        if (level < cost)
            continue;
        level -= cost;
        ++admissible;
        wrongful += !result.wasFinished && result.wasRefusedForShare ? 1 : 0;
    }
    return admissible == 0 ? 0 : 100 * wrongful / admissible;
}

double measureInForce(const World& world)
{
    double longest = 0;
    for (const PublicationRecord& publication : world.getPublications()) {
        constexpr double never = 1e9;
        const double seconds = publication.waitingFor.empty() ? (publication.lastAt - publication.at).seconds() : never;
        longest = std::max(longest, seconds);
    }
    return longest;
}

double measureWithdrawn(const World& world)
{
    double longest = 0;
    for (const WithdrawalRecord& withdrawal : world.getWithdrawals()) {
        for (const auto& [id, record] : world.getBook().getRecords()) {
            if (record.request.key == withdrawal.key && record.executions > 0)
                longest = std::max(longest, (record.lastWork - withdrawal.at).seconds());
        }
    }
    return longest;
}

double measureLeaving(const World& world)
{
    double longest = 0;
    for (const auto& [id, record] : world.getLeaving())
        longest = std::max(longest, (record.lastStart - record.listedAt).seconds());
    return longest;
}

double countCutByStop(const World& world)
{
    double cut = 0;
    for (const auto& [id, record] : world.getBook().getRecords())
        cut += record.wasCutByStop ? 1 : 0;
    return cut;
}

double measureOwnShare(const ExpectationPlan& expectation, const World& world)
{
    double used = 0;
    double asked = 0;
    for (const OperationResult& result : collectOperations(expectation, world)) {
        if (!isOf(expectation, result))
            continue;
        used += static_cast<double>(result.usedTokens);
        asked += static_cast<double>(result.first->request.promptTokens + result.first->request.answerTokens);
    }
    const auto workspace = world.getTruth().workspaces.find(WorkspaceId(expectation.target));
    if (workspace == world.getTruth().workspaces.end() || asked == 0)
        return 0;
    const double voted
        = static_cast<double>(workspace->second.tokensPerSecond) * (expectation.until - expectation.from).seconds();
    return 100 * used / std::min(asked, voted);
}

double measure(const ExpectationPlan& expectation, const World& world)
{
    switch (expectation.kind) {
    case ExpectationKind::ServedPercent:
        return measureServed(expectation, world, false);
    case ExpectationKind::LocalServedPercent:
        return measureServed(expectation, world, true);
    case ExpectationKind::WrongfulPercent:
        return measureWrongful(expectation, world);
    case ExpectationKind::InForceSeconds:
        return measureInForce(world);
    case ExpectationKind::WithdrawnSeconds:
        return measureWithdrawn(world);
    case ExpectationKind::LeavingSeconds:
        return measureLeaving(world);
    case ExpectationKind::CutByStop:
        return countCutByStop(world);
    case ExpectationKind::OwnShareServedPercent:
        return measureOwnShare(expectation, world);
    case ExpectationKind::RevisionsInForce:
        return static_cast<double>(world.getPublications().size());
    case ExpectationKind::OrderedRevisions:
        return world.getBook().countLoweredRevisions();
    }
    return 0;
}

std::string nameOf(ExpectationKind kind)
{
    switch (kind) {
    case ExpectationKind::ServedPercent:
        return "served_percent";
    case ExpectationKind::LocalServedPercent:
        return "local_served_percent";
    case ExpectationKind::WrongfulPercent:
        return "wrongful_percent";
    case ExpectationKind::InForceSeconds:
        return "in_force_seconds";
    case ExpectationKind::WithdrawnSeconds:
        return "withdrawn_seconds";
    case ExpectationKind::LeavingSeconds:
        return "leaving_seconds";
    case ExpectationKind::CutByStop:
        return "cut_by_stop";
    case ExpectationKind::OwnShareServedPercent:
        return "own_share_served_percent";
    case ExpectationKind::RevisionsInForce:
        return "revisions_in_force";
    case ExpectationKind::OrderedRevisions:
        return "lowered_revisions";
    }
    return "unknown";
}

} // namespace

ExpectationResult checkExpectation(const ExpectationPlan& expectation, const World& world)
{
    ExpectationResult result;
    result.name = nameOf(expectation.kind) + (expectation.target.empty() ? "" : " of " + expectation.target);
    result.measured = measure(expectation, world);
    const bool isEnough = !expectation.hasAtLeast || result.measured >= expectation.atLeast;
    const bool isLittle = !expectation.hasAtMost || result.measured <= expectation.atMost;
    result.isMet = isEnough && isLittle;
    return result;
}

} // namespace papayashelf
