#pragma once

#include "publication/documents/OperatorFiles.h"

namespace papayashelf {

/**
    Checks what only shows across files: names that are unknown or given twice, rates that pass the voted total,
    residency without an upstream, upstreams at the addresses of the system's own VMs, keys of two workspaces.

    @param faults  receives every fault
    Thread safety: any thread.
*/
void checkAcross(const OperatorFiles& files, Faults& faults);

} // namespace papayashelf
