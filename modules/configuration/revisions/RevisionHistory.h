#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace papayashelf {

/**
    Holds the newest revision and the last deltas that led to it, and builds the answers to pulls from them.

    Thread safety: none; owned by one thread.
*/
class RevisionHistory {
public:
    /** @param maximumKeptDeltas  number of past deltas that are kept */
    explicit RevisionHistory(std::size_t maximumKeptDeltas)
        : maximumKeptDeltas(maximumKeptDeltas)
    {
    }

    /** Returns the newest revision; null before the first. */
    const std::shared_ptr<const Revision>& getNewest() const { return this->newest; }

    /** Returns the newest revision's number; 0 before the first. */
    RevisionNumber getNumber() const { return this->newest ? this->newest->number : 0; }

    /** Returns the delta that led to the newest revision; null if it is the first. Valid until the next add(). */
    const RevisionDelta* getLastDelta() const { return this->deltas.empty() ? nullptr : &this->deltas.back(); }

    /** Adds a revision as the newest. Precondition: its number is larger than the newest one's. */
    void add(std::shared_ptr<const Revision> revision);

    /**
        Builds the answer to a pull: a delta to the newest revision if the held one lies within the kept deltas,
        otherwise the full revision.

        @param held              the requester's revision; 0 requests the full revision
        @param maximumPartBytes  maximum bytes of documents in one part
        @returns the parts; none if there is nothing newer
    */
    std::vector<RevisionPart> makePartsSince(RevisionNumber held, std::size_t maximumPartBytes) const;

private:
    RevisionDelta makeDeltaSince(RevisionNumber held) const;

    std::size_t maximumKeptDeltas;
    std::shared_ptr<const Revision> newest;
    std::deque<RevisionDelta> deltas; // Consecutive: each starts at the revision where the previous one ends.
};

} // namespace papayashelf
