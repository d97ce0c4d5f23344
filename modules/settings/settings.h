#pragma once

/**
    settings holds what one process is told at its start: the typed settings of a VM, their check, and the reader of
    tables that reports every fault of a file at once with its place. The operators' files use the same reader.

    Depends on foundation. The TOML library stays inside this module's sources.
*/

#include "settings/reading/Fault.h"
#include "settings/vm/VmSettings.h"
#include "settings/vm/VmSettingsCheck.h"
