#include "scenario/checks/PromiseBook.h"

#include "dispatch/messages/RefusalNames.h"
#include <algorithm>
#include <cmath>

namespace papayashelf {

PromiseBook::PromiseBook(std::shared_ptr<const Governance> published)
{
    this->setTruth(std::move(published));
}

void PromiseBook::setTruth(std::shared_ptr<const Governance> published)
{
    this->truth = std::move(published);
    // While a change of a limit spreads, some VMs hold the old one and some the new one.
    for (const auto& [id, workspace] : this->truth->workspaces) {
        this->highestRate[id] = std::max(this->highestRate[id], workspace.tokensPerSecond);
        this->highestBurst[id] = std::max(this->highestBurst[id], workspace.burstTokens);
    }
}

void PromiseBook::noteArrival(const WorldRequest& request, const VmId& vm)
{
    WorldRecord record;
    record.request = request;
    record.vm = vm;
    this->records.emplace(request.id, std::move(record));
}

void PromiseBook::noteExecution(
    Milliseconds now, std::uint64_t request, const RegionId& region, const WorkspaceId& claimed)
{
    WorldRecord& record = this->records.at(request);
    ++record.executions;
    record.lastWork = now;
    if (!this->mayBeIn(record.request.workspace, region))
        this->breach("residency", request, "processed in " + region.string());
    if (!claimed.isEmpty() && claimed != record.request.workspace)
        this->breach("workspace-isolation", request, "ran for " + claimed.string());
    if (claimed.isEmpty() && !record.request.workspace.isEmpty())
        this->breach("workspace-isolation", request, "ran for nobody on a route that is not open");
    if (record.outcome == WorldOutcome::Refused && record.ran == Ran::No)
        this->breach("true-refusals", request, "ran after it was refused as not run");
}

void PromiseBook::noteAdmitted(Milliseconds now, std::uint64_t request)
{
    WorldRecord& record = this->records.at(request);
    if (!record.admittedAt)
        record.admittedAt = now;
}

void PromiseBook::noteProcessed(Milliseconds now, std::uint64_t request, std::int64_t tokens)
{
    WorldRecord& record = this->records.at(request);
    record.processedTokens += tokens;
    record.lastWork = now;
}

void PromiseBook::noteFinished(Milliseconds now, std::uint64_t request, std::int64_t answerTokens)
{
    if (!this->end(now, request, WorldOutcome::Finished))
        return;
    const WorldRecord& record = this->records.at(request);
    if (answerTokens != record.request.answerTokens) {
        this->breach("whole-answers", request,
            std::to_string(answerTokens) + " of " + std::to_string(record.request.answerTokens) + " tokens");
    }
}

void PromiseBook::noteStoredAnswer(Milliseconds now, std::uint64_t request)
{
    this->end(now, request, WorldOutcome::Finished);
}

void PromiseBook::noteRefused(Milliseconds now, std::uint64_t request, RefusalCode code, Ran ran)
{
    if (!this->end(now, request, WorldOutcome::Refused))
        return;
    WorldRecord& record = this->records.at(request);
    record.code = code;
    record.ran = ran;
    if (ran == Ran::No && record.executions > 0)
        this->breach("true-refusals", request, "refused as not run, as " + std::string(toString(code)));
}

void PromiseBook::noteLost(Milliseconds now, std::uint64_t request, bool byStop)
{
    if (this->records.at(request).outcome != WorldOutcome::Open)
        return;
    this->end(now, request, WorldOutcome::Lost);
    this->records.at(request).wasCutByStop = byStop;
}

void PromiseBook::noteRelay(std::uint64_t request, const RegionId& to, bool wasRelayed)
{
    if (wasRelayed)
        this->breach("no-loops", request, "relayed a second time, to " + to.string());
    if (!this->mayBeIn(this->records.at(request).request.workspace, to))
        this->breach("residency", request, "relayed to " + to.string());
}

void PromiseBook::noteRevision(const VmId& vm, std::uint64_t incarnation, RevisionNumber revision)
{
    auto& [life, highest] = this->revisions[vm];
    if (life == incarnation && revision < highest) {
        ++this->loweredRevisions;
        this->breaches.push_back("configuration-in-force: " + vm.string() + " went back to an older revision");
    }
    life = incarnation;
    highest = revision;
}

void PromiseBook::close(Milliseconds end)
{
    this->checkRates();
    this->checkOnce();
    for (const auto& [id, record] : this->records) {
        // The longest route time-out and what a caller's wait adds.
        const Milliseconds patience = Milliseconds::fromSeconds(150);
        if (record.outcome == WorldOutcome::Open && record.request.arrivedAt + patience < end)
            this->breach("answered-once", id, "never ended");
    }
}

void PromiseBook::checkRates()
{
    struct Use {
        Milliseconds at;
        std::int64_t tokens;
    };
    std::map<WorkspaceId, std::vector<Use>> uses;
    for (const auto& [id, record] : this->records) {
        if (record.admittedAt && record.processedTokens > 0)
            uses[record.request.workspace].push_back(Use { *record.admittedAt, record.processedTokens });
    }
    for (auto& [workspace, list] : uses) {
        if (workspace.isEmpty())
            continue;
        std::sort(list.begin(), list.end(), [](const Use& left, const Use& right) { return left.at < right.at; });
        // A bucket that is full at the start covers every interval: it goes below 0 exactly if one is exceeded.
        const auto rate = static_cast<double>(this->highestRate[workspace]);
        const auto burst = static_cast<double>(this->highestBurst[workspace]);
        double level = burst;
        Milliseconds before;
        for (const Use& use : list) {
            level = std::min(burst, level + rate * (use.at - before).seconds()) - static_cast<double>(use.tokens);
            before = use.at;
            constexpr double rounding = 1.0;
            if (level < -rounding) {
                this->breaches.push_back("workspace-rate: " + workspace.string() + " exceeded by "
                    + std::to_string(std::llround(-level)) + " tokens at " + std::to_string(use.at.count()) + " ms");
                break;
            }
        }
    }
}

void PromiseBook::checkOnce()
{
    // Operations and requests are numbered apart from each other.
    std::map<std::pair<bool, std::uint64_t>, int> executions;
    for (const auto& [id, record] : this->records) {
        if (record.request.isIdempotent)
            continue;
        const bool isKeyed = record.request.isKeyed;
        const std::pair subject(isKeyed, isKeyed ? record.request.operation : id);
        executions[subject] += record.executions;
        if (executions[subject] == 2)
            this->breach("at-most-once", id, "ran twice");
    }
}

bool PromiseBook::end(Milliseconds now, std::uint64_t request, WorldOutcome outcome)
{
    WorldRecord& record = this->records.at(request);
    if (record.outcome == WorldOutcome::Lost)
        return false;
    if (record.outcome != WorldOutcome::Open) {
        this->breach("answered-once", request, "ended twice");
        return false;
    }
    record.outcome = outcome;
    record.endedAt = now;
    return true;
}

bool PromiseBook::mayBeIn(const WorkspaceId& workspace, const RegionId& region) const
{
    const auto found = this->truth->workspaces.find(workspace);
    if (found == this->truth->workspaces.end() || found->second.residency.empty())
        return true;
    const auto& allowed = found->second.residency;
    return std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

void PromiseBook::breach(const std::string& promise, std::uint64_t request, const std::string& detail)
{
    this->breaches.push_back(promise + ": request " + std::to_string(request) + " " + detail);
}

} // namespace papayashelf
