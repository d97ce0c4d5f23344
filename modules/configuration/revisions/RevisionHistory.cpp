#include "configuration/revisions/RevisionHistory.h"

#include "configuration/storage/RevisionChange.h"

#include <cassert>
#include <utility>

namespace papayashelf {

namespace {

/** Splits a delta into parts of bounded size. A single larger document forms a part of its own. */
std::vector<RevisionPart> splitDelta(RevisionDelta delta, std::size_t maximumPartBytes)
{
    std::vector<RevisionPart> parts(1);
    std::size_t bytes = 0;
    const auto startPartIfFull = [&](std::size_t added) {
        if (bytes > 0 && bytes + added > maximumPartBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += added;
    };
    for (Document& document : delta.changed) {
        startPartIfFull(document.path.size() + document.body.size());
        parts.back().delta.changed.push_back(std::move(document));
    }
    for (std::string& path : delta.removed) {
        startPartIfFull(path.size());
        parts.back().delta.removed.push_back(std::move(path));
    }
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index].part = static_cast<std::uint32_t>(index);
        parts[index].parts = static_cast<std::uint32_t>(parts.size());
        parts[index].delta.from = delta.from;
        parts[index].delta.to = delta.to;
        parts[index].delta.digest = delta.digest;
    }
    return parts;
}

} // namespace

void RevisionHistory::add(std::shared_ptr<const Revision> revision)
{
    assert(revision && revision->number > this->getNumber());
    if (this->newest)
        this->deltas.push_back(makeDelta(*this->newest, *revision));
    if (this->deltas.size() > this->maximumKeptDeltas)
        this->deltas.pop_front();
    this->newest = std::move(revision);
}

std::vector<RevisionPart> RevisionHistory::makePartsSince(RevisionNumber held, std::size_t maximumPartBytes) const
{
    if (!this->newest || held >= this->newest->number)
        return {};
    return splitDelta(this->makeDeltaSince(held), maximumPartBytes);
}

RevisionDelta RevisionHistory::makeDeltaSince(RevisionNumber held) const
{
    const bool isWithinHistory = held != 0 && !this->deltas.empty() && this->deltas.front().from <= held;
    if (!isWithinHistory)
        return makeFullDelta(*this->newest);
    RevisionDelta merged;
    for (const RevisionDelta& delta : this->deltas) {
        if (delta.to <= held)
            continue;
        merged = merged.to == 0 ? delta : mergeDeltas(merged, delta);
    }
    // The held revision may lie between two that this VM knows. The requester detects a wrong result by its digest.
    merged.from = held;
    return merged;
}

} // namespace papayashelf
