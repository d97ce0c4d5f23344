#pragma once

#include "foundation/outcomes/Outcome.h"
#include "settings/vm/VmSettings.h"
#include <memory>

namespace papayashelf {

/**
    One VM's process: listeners, threads and rings around the decisions.

    Thread safety: all methods belong to one owning thread, except that requestStop() may be called from any.
*/
class Runtime {
public:
    explicit Runtime(const VmSettings& settings);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    /**
        Opens the listeners and starts the threads. The peers' port comes first: holding it proves that no earlier
        process of this VM still runs. Errors: NotFound, InvalidArgument, Unavailable; then nothing runs.
    */
    Outcome<void> start();

    /** Waits until the VM has stopped: in order after requestStop(), or replaced by a later life. */
    void waitUntilEnded();

    /** Begins to stop in order: nothing new, what runs finishes. A second call ends at once. */
    void requestStop();

    /** Ends everything that still runs. Idempotent. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
