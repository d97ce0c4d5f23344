#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace papayashelf {

/**
    The newest revision and the last changes that led to it, from which other VMs are served.

    Thread safety: none; owned by one thread.
*/
class RevisionHistory {
public:
    /** @param keptDeltas  how many changes back a delta is served */
    explicit RevisionHistory(std::size_t keptDeltas)
        : keptDeltas(keptDeltas)
    {
    }

    /** The newest revision; null before the first. */
    const std::shared_ptr<const Revision>& getNewest() const { return this->newest; }

    /** The newest revision's number; 0 before the first. */
    RevisionNumber getNumber() const { return this->newest ? this->newest->number : 0; }

    /** What led to the newest revision; null if it is the first. Valid until the next add(). */
    const RevisionDelta* getLastDelta() const { return this->deltas.empty() ? nullptr : &this->deltas.back(); }

    /** Adds a revision. Precondition: its number is larger than the newest one's. */
    void add(std::shared_ptr<const Revision> revision);

    /**
        What leads a VM from the revision that it holds to the newest: a delta if the held one lies within the kept
        changes, else the whole revision.

        @param held       the asker's revision; 0 asks for the whole
        @param partBytes  most bytes of documents in one part
        @returns the parts; none if there is nothing newer
    */
    std::vector<RevisionPart> answer(RevisionNumber held, std::size_t partBytes) const;

private:
    RevisionDelta makeAnswer(RevisionNumber held) const;

    std::size_t keptDeltas;
    std::shared_ptr<const Revision> newest;
    std::deque<RevisionDelta> deltas; // Each starts where the one before it ends.
};

} // namespace papayashelf
