#pragma once

#include "foundation/time/Clock.h"
#include "routing/settings/RoutingSettings.h"
#include <random>

namespace papayashelf {

/**
    Keeps requests from one upstream while it fails, and lets it back by single trial requests.

    Thread safety: none; owned by one thread.
*/
class CircuitBreaker {
public:
    /** True while the upstream may not be used at all: it is ejected, or its one trial request is under way. */
    bool isOpen(Milliseconds now) const;

    /** True from ejection until a trial succeeded. */
    bool isEjected() const { return this->state != State::Closed; }

    /** Counts a started attempt; after an ejection it is the trial. */
    void noteStarted(Milliseconds now);

    /** Counts a good answer. Returns true if it ended an ejection. */
    bool noteAnswered();

    /** Counts an attempt that says nothing about the upstream's health. */
    void noteInconclusive();

    /**
        Counts a failure.

        @param mayEject  false when too many others are ejected already
    */
    void noteFailed(Milliseconds now, const RoutingSettings& settings, bool mayEject, std::mt19937_64& generator);

    /** Failures in a row, as long as the last one was a moment ago; 0 later, so that the upstream is tried. */
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
    Milliseconds failedAt;
};

} // namespace papayashelf
