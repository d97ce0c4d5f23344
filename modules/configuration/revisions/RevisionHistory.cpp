#include "configuration/revisions/RevisionHistory.h"

#include "configuration/storage/RevisionChange.h"

#include <cassert>
#include <utility>

namespace papayashelf {

namespace {

/** Cuts a delta into parts of bounded size. */
std::vector<RevisionPart> splitDelta(RevisionDelta delta, std::size_t partBytes)
{
    std::vector<RevisionPart> parts(1);
    std::size_t bytes = 0;
    const auto startPartIfFull = [&](std::size_t added) {
        if (bytes > 0 && bytes + added > partBytes) {
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
    if (this->deltas.size() > this->keptDeltas)
        this->deltas.pop_front();
    this->newest = std::move(revision);
}

std::vector<RevisionPart> RevisionHistory::answer(RevisionNumber held, std::size_t partBytes) const
{
    if (!this->newest || held >= this->newest->number)
        return {};
    return splitDelta(this->makeAnswer(held), partBytes);
}

RevisionDelta RevisionHistory::makeAnswer(RevisionNumber held) const
{
    const bool isKept = held != 0 && !this->deltas.empty() && this->deltas.front().from <= held;
    if (!isKept)
        return makeWholeDelta(*this->newest);
    RevisionDelta joined;
    for (const RevisionDelta& delta : this->deltas) {
        if (delta.to <= held)
            continue;
        joined = joined.to == 0 ? delta : joinDeltas(joined, delta);
    }
    // The held one may lie between two that this VM knows; the digest tells the asker whether that was enough.
    joined.from = held;
    return joined;
}

} // namespace papayashelf
