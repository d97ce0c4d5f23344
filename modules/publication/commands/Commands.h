#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <iosfwd>
#include <string>
#include <vector>

namespace papayashelf {

/** Exit codes of the commands for operators. */
enum class ExitCode {
    Success = 0,
    FaultsFound = 1, /**< In files, or against what the store holds. */
    Usage = 2,
    LostRace = 3, /**< Another change was committed first. */
    Unavailable = 4, /**< The store was not reached; nothing was committed. */
    OutcomeUnknown = 5, /**< Whether the change was committed cannot be told. */
    NotEverywhere = 6, /**< Committed, but not seen in force at every VM asked within the wait. */
};

/** What `check` is asked. */
struct CheckOptions {
    std::vector<std::string> paths; /**< Settings files, and directories of operators' files. */

    bool operator==(const CheckOptions&) const = default;
};

/**
    Checks settings files and trees of operators' files and prints every fault, one a line.

    @returns an ExitCode: Success, FaultsFound or Usage
*/
int runCheck(const CheckOptions& options, std::ostream& output, std::ostream& errors);

/** What `publish` is asked. */
struct PublishOptions {
    std::string directory; /**< The tree of operators' files. */
    Endpoint store;
    std::string author;
    bool isDryRun = false; /**< Only check and show the difference. */
    bool mayWithdrawEveryKey = false; /**< Without it, a tree that keeps no key in force is refused. */
    std::vector<Endpoint> administration; /**< Administration endpoints of VMs, one or more of each region. */
    std::string administrationKey;
    Milliseconds wait; /**< Longest wait until the VMs have the revision in force; 0 does not wait. */
    Milliseconds callTimeout { 2000 };

    bool operator==(const PublishOptions&) const = default;
};

/**
    Checks a tree, shows what it changes, commits it as one revision and, if asked, waits until each VM asked has it
    in force. The administration endpoints are asked first too: an upstream at one of them is a fault, and a revision
    newer than the store's shows that the store has gone back.

    @returns an ExitCode
*/
int runPublish(const PublishOptions& options, std::ostream& output, std::ostream& errors);

/**
    Makes a key of 32 random bytes and prints the key and its digest; only the digest goes into a file.

    @returns an ExitCode
*/
int runMakeKey(std::ostream& output, std::ostream& errors);

} // namespace papayashelf
