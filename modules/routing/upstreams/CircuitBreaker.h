#pragma once

#include "foundation/time/Clock.h"
#include "routing/settings/RoutingSettings.h"
#include <random>

namespace papayashelf {

/**
    Ejects an upstream that fails repeatedly, and readmits it once a single trial request succeeds.

    Thread safety: none; owned by one thread.
*/
class CircuitBreaker {
public:
    /** Returns true while the upstream may not be used: its ejection has not expired, or a trial request is running. */
    bool isOpen(Milliseconds now) const;

    /** Returns true from the ejection until a trial request succeeds. */
    bool isEjected() const { return this->state != State::Closed; }

    /** Records a started attempt. The first one after an ejection has expired is the trial. */
    void noteStarted(Milliseconds now);

    /** Records a successful answer. Returns true if it ended an ejection. */
    bool noteAnswered();

    /** Records an ended attempt that gives no information about the upstream's health. */
    void noteInconclusive();

    /**
        Records a failed attempt and ejects the upstream after too many consecutive failures. A failed trial always
        ejects it again.

        @param mayEject  false when too many other upstreams are already ejected
    */
    void noteFailed(Milliseconds now, const RoutingSettings& settings, bool mayEject, std::mt19937_64& generator);

    /**
        Returns the number of consecutive failures if the last one was less than 5 seconds ago, else 0, so that the
        upstream is tried again.
    */
    int getRecentFailures(Milliseconds now) const;

private:
    enum class State {
        Closed,
        Ejected,
        Trial,
    };

    void eject(Milliseconds now, const RoutingSettings& settings, std::mt19937_64& generator);

    State state = State::Closed;
    int consecutiveFailures = 0;
    int ejections = 0;
    Milliseconds ejectedUntil;
    Milliseconds lastFailureAt;
};

} // namespace papayashelf
