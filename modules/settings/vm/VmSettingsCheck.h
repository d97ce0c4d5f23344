#pragma once

#include "settings/reading/Fault.h"
#include "settings/vm/VmSettings.h"
#include <string>

namespace papayashelf {

/**
    Reads a VM's settings from TOML.

    Relative file names in it are kept as they are written. No file is opened: a certificate that is missing shows
    when it is loaded.

    @param file  the name that faults carry
    @param text  the whole text of the file
    @returns the settings, or every fault of the file
    Thread safety: any thread.
*/
Checked<VmSettings> checkSettings(const std::string& file, const std::string& text);

/**
    Reads the file and checks it as checkSettings does; a file that cannot be read is a fault of its own.

    Thread safety: any thread.
*/
Checked<VmSettings> loadSettings(const std::string& file);

} // namespace papayashelf
