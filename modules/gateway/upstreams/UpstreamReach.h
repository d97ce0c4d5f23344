#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <optional>
#include <set>

namespace papayashelf {

/**
    Finds out whether this VM has lost its links to all upstreams, which says nothing about the upstreams themselves.

    One upstream that cannot be reached does not show it, so evidence only makes a check due: connections to several
    upstreams at once. If none comes about, the links are lost, until a later check reaches upstreams again.

    Thread safety: none; owned by one thread. Times must not decrease from one call to the next.
*/
class UpstreamReach {
public:
    /** Upstreams that one check connects to. */
    static constexpr std::size_t checkedUpstreams = 3;

    /** Records that a request is sent to an upstream. */
    void noteSent(Milliseconds now);

    /** Records that bytes of an upstream have arrived. */
    void noteBytes(Milliseconds now);

    /** Records that a connection to an upstream was opened for a request. */
    void noteConnected(Milliseconds now);

    /** Records that no connection to an upstream could be opened. */
    void noteUnreachable(const UpstreamId& upstream);

    /** Returns true if a check should begin now. */
    bool isCheckDue(Milliseconds now) const;

    /** Records that a check begins. */
    void noteCheckStarted(Milliseconds now) { this->checkedAt = now; }

    /**
        Records the result of a check. Precondition: `tried` is above 0.

        @param tried, reached  upstreams to which connections were tried and opened
        @returns true if the links were lost or regained by it
    */
    bool noteCheck(Milliseconds now, std::size_t tried, std::size_t reached);

    /** Returns true while this VM reaches no upstream. */
    bool isLost() const { return this->lost; }

    /**
        Returns true if an attempt that fails now may have failed for the loss of this VM's links.

        @param sentAt  time at which the attempt began
    */
    bool mayExplainFailure(Milliseconds sentAt) const { return this->lost || sentAt < this->regainedAt; }

    /** Returns the last time at which an upstream was reached; 0 before the first time. */
    Milliseconds getLastContact() const { return this->lastContactAt; }

private:
    void noteContact(Milliseconds now);

    /** Time between checks; a check that reaches nothing takes longer. */
    static constexpr Milliseconds checkInterval { 300 };
    /** Time without a byte while requests wait. Only very long prompts take longer if nothing else is running. */
    static constexpr Milliseconds suspectedSilence { 800 };
    /** Different upstreams that cannot be reached in a row; a single one may be down. */
    static constexpr std::size_t suspectedUpstreams = 2;

    bool lost = false;
    bool hasReachedOne = false; /**< Whether the last check reached a single upstream, while the links are lost. */
    Milliseconds lastContactAt;
    Milliseconds connectedAt = Milliseconds(0) - Milliseconds::never();
    Milliseconds regainedAt = Milliseconds(0) - Milliseconds::never();
    Milliseconds checkedAt = Milliseconds(0) - checkInterval;
    std::optional<Milliseconds> waitingSince; /**< Time of the first request since the last contact. */
    std::set<UpstreamId> unreachable; /**< Since the last connection that was opened. */
};

} // namespace papayashelf
