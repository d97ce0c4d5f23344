#pragma once

#include "administration/administration.h"
#include "application/runtime/DecisionThread.h"

namespace papayashelf {

/**
    Answers the administration API from snapshots and by asking the decision thread.

    Thread safety: called by the administration thread.
*/
class OperatorApi {
public:
    OperatorApi(DecisionThread& decisions, Milliseconds wallClockAtZero);

    AdministrationAnswer answer(const AdministrationRequest& request);

private:
    AdministrationAnswer answerTimeline(const AdministrationRequest& request);
    AdministrationAnswer answerMetrics(const NodeSnapshot& snapshot);
    AdministrationAnswer answerReach(const AdministrationRequest& request, const NodeSnapshot& snapshot);
    AdministrationAnswer withdraw(const AdministrationRequest& request);

    DecisionThread& decisions;
    Milliseconds wallClockAtZero;
};

} // namespace papayashelf
