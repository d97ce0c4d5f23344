#pragma once

#include "publication/commands/Commands.h"
#include <string>

namespace papayashelf {

/**
    Runs one VM until it is told to stop.

    SIGTERM or SIGINT stops it in order; a second one ends it at once.
    @param settingsPath  the VM's settings file
*/
ExitCode runServe(const std::string& settingsPath);

} // namespace papayashelf
