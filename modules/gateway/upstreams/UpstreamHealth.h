#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/** How one attempt went, as far as it tells about the upstream. */
enum class HealthObservation {
    Success, /**< A whole answer. */
    Failure, /**< Broken off, spoilt or unanswered, or a failure of the upstream's own. */
    Unreachable, /**< No connection came about. */
};

/**
    Judges an upstream by its recent answers, so that one that fails in part is used less than sound ones.

    Thread safety: none; owned by one thread.
*/
class UpstreamHealth {
public:
    /** Counts one attempt's end. */
    void addObservation(Milliseconds now, HealthObservation observation);

    /** True while the upstream should get trial requests only. */
    bool isSuspect(Milliseconds now) const;

    /** True if a suspect upstream may be tried with one request now. */
    bool isTrialDue(Milliseconds now) const { return now >= this->nextTrial && now >= this->unreachableUntil; }

    /** Counts the start of a trial. */
    void noteTrial(Milliseconds now);

private:
    double computeDecayFactor(Milliseconds now) const;

    double successes = 0; /**< Attempts, weighted less the older they are. */
    double failures = 0;
    Milliseconds decayedAt;
    Milliseconds unreachableUntil;
    Milliseconds nextTrial;
    int failedConnections = 0; /**< In a row, one a pause. */
};

} // namespace papayashelf
