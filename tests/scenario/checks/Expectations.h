#pragma once

#include "scenario/plan/ScenarioPlan.h"
#include "scenario/world/World.h"
#include <string>

namespace papayashelf {

/** One expectation held against what happened. */
struct ExpectationResult {
    std::string name;
    double measured = 0;
    bool isMet = false;
};

/** Measures what the expectation names and compares it with its bounds. */
ExpectationResult checkExpectation(const ExpectationPlan& expectation, const World& world);

} // namespace papayashelf
