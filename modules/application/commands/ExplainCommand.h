#pragma once

#include "publication/commands/Commands.h"
#include <iosfwd>
#include <string>
#include <vector>

namespace papayashelf {

/** What to explain. */
struct ExplainOptions {
    std::string request; /**< The id that the caller sent. */
    std::vector<std::string> logs; /**< Files with decision logs, one or several a VM. */
};

/**
    Prints what became of a request: its steps on all VMs by time, the decisive one marked, and what its VM
    believed then.

    Returns Success; FaultsFound if no log tells of the request; Unavailable if a file cannot be read; Usage.
    Thread safety: none.
*/
ExitCode explainRequest(const ExplainOptions& options, std::ostream& output, std::ostream& errors);

} // namespace papayashelf
