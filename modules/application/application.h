#pragma once

/**
    application joins everything into the one binary: threads and rings around a Node, the reports that operators
    read, and the subcommands of the command line. Depends on every other module.
*/

#include "application/commands/CommandLine.h"
#include "application/runtime/Runtime.h"
