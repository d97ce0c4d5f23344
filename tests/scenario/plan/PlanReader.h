#pragma once

#include "scenario/plan/ScenarioPlan.h"
#include "settings/reading/Fault.h"

namespace papayashelf {

/** Reads a scenario file, or reports everything that is wrong with it. */
Checked<ScenarioPlan> readScenario(const std::string& file);

/** The sabotage of that name; None for an unknown one. */
Sabotage parseSabotage(const std::string& name);

/** The name of a sabotage, as in scenario files. */
std::string toString(Sabotage sabotage);

} // namespace papayashelf
