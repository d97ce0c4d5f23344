#pragma once

#include "publication/commands/Commands.h"
#include <string>
#include <vector>

namespace papayashelf {

/** What the subcommands that look at running VMs are told. */
struct ObserveOptions {
    std::vector<std::string> vms; /**< Administration endpoints, "IP:port". */
    std::string keyFile; /**< The environment is used when empty. */
    bool asJson = false;
    std::string entry; /**< Entry endpoint of one VM. */
    std::string workspace;
    std::string digest;
};

/** Prints a line for each VM. Unavailable if any of them did not answer. */
ExitCode showStatus(const ObserveOptions& options);

/** Prints the merged events of all VMs in causal order. Unavailable if any of them did not answer. */
ExitCode showTimeline(const ObserveOptions& options);

/** Prints which VMs callers should use. */
ExitCode showEntries(const ObserveOptions& options);

/**
    Withdraws a key at every given VM, then tells by region how far it has come.

    @returns Unavailable unless at least one VM took it; NotEverywhere if a region was not reached within 5 s
*/
ExitCode withdrawKey(const ObserveOptions& options);

} // namespace papayashelf
