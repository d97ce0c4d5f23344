#include "metrics/requests/RequestMetrics.h"

namespace papayashelf {

void RequestMetrics::noteArrival(Milliseconds now, RequestId request, const WorkspaceId& workspace)
{
    this->open.insert_or_assign(request, Open { workspace, now, false });
    ++this->totals[workspace].counts.arrived;
}

void RequestMetrics::noteBegan(Milliseconds now, RequestId request)
{
    const auto found = this->open.find(request);
    if (found == this->open.end() || found->second.hasBegun)
        return;
    found->second.hasBegun = true;
    this->totals[found->second.workspace].firstByte.add(now - found->second.arrivedAt);
}

void RequestMetrics::noteFinished(Milliseconds now, RequestId request)
{
    const auto found = this->open.find(request);
    if (found == this->open.end())
        return;
    Totals& total = this->totals[found->second.workspace];
    ++total.counts.finished;
    total.whole.add(now - found->second.arrivedAt);
    this->open.erase(found);
}

void RequestMetrics::noteRefused(RequestId request, std::string_view code)
{
    const auto found = this->open.find(request);
    if (found == this->open.end())
        return;
    ++this->totals[found->second.workspace].counts.refused[std::string(code)];
    this->open.erase(found);
}

void RequestMetrics::noteUsed(const WorkspaceId& workspace, std::int64_t tokens)
{
    if (tokens > 0)
        this->totals[workspace].counts.usedTokens += static_cast<std::uint64_t>(tokens);
}

FiguresByWorkspace RequestMetrics::getFigures() const
{
    FiguresByWorkspace figures;
    for (const auto& [workspace, total] : this->totals) {
        WorkspaceFigures& entry = figures[workspace];
        entry = total.counts;
        entry.firstByte = total.firstByte.getFigures();
        entry.whole = total.whole.getFigures();
    }
    return figures;
}

} // namespace papayashelf
