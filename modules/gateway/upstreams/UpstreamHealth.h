#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/** Result of an attempt, as far as it says something about the upstream's health. */
enum class HealthObservation {
    Success, /**< The response was complete. */
    Failure, /**< The response was interrupted, corrupt, missing or a server error. */
    Unreachable, /**< No connection could be established. */
};

/**
    Evaluates an upstream by its recent responses, so that one that fails partially is used less than healthy ones.

    Thread safety: none; owned by one thread.
*/
class UpstreamHealth {
public:
    /** Adds the result of an attempt. */
    void addObservation(Milliseconds now, HealthObservation observation);

    /** Returns true while the upstream should receive only trial requests. */
    bool isSuspect(Milliseconds now) const;

    /** Returns true for a while after no connection to it could be established. */
    bool isUnreachable(Milliseconds now) const { return now < this->unreachableUntil; }

    /** Returns true if a suspect upstream may receive a trial request now. */
    bool isTrialDue(Milliseconds now) const { return now >= this->nextTrial && now >= this->unreachableUntil; }

    /** Records the start of a trial request, which delays the next one. */
    void noteTrial(Milliseconds now);

private:
    double computeDecayFactor(Milliseconds now) const;

    double successes = 0; /**< Exponentially decaying count of attempts. */
    double failures = 0; /**< Exponentially decaying count of attempts. */
    Milliseconds decayedAt;
    Milliseconds unreachableUntil;
    Milliseconds nextTrial;
    int failedConnections = 0; /**< Consecutive failures, counted once per delay. */
};

} // namespace papayashelf
