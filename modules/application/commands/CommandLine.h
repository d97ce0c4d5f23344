#pragma once

namespace papayashelf {

/**
    Runs the subcommand that the command line names.

    @returns an ExitCode of publication: 0 success; 1 faults, or not started; 2 usage; 3 another change came first;
             4 not reachable; 5 outcome unknown; 6 committed but not seen in force everywhere
*/
int runCommandLine(int argumentCount, char** arguments);

} // namespace papayashelf
