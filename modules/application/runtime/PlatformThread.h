#pragma once

#include "foundation/concurrency/Ring.h"
#include "foundation/outcomes/Outcome.h"
#include "platform/store/StoreCall.h"
#include "platform/vms/VmRecord.h"
#include "settings/vm/VmSettings.h"
#include <functional>
#include <memory>

namespace papayashelf {

/**
    Calls the platform's services on one thread of its own.

    Calls come in through a bounded ring. A call that finds the ring full is answered as Unavailable, since it had no
    effect. Thread safety: call() belongs to one thread; start() and stop() to one owning thread.
*/
class PlatformThread {
public:
    /** Receives each reply, on the platform thread. */
    using ReplyHandler = std::function<void(std::uint64_t call, StoreReply reply)>;
    /** Receives each list that was fetched, on the platform thread. */
    using VmListHandler = std::function<void(VmList list)>;

    PlatformThread(
        const PlatformSettings& settings, Milliseconds vmListPeriod, ReplyHandler onReply, VmListHandler onList);
    ~PlatformThread();
    PlatformThread(const PlatformThread&) = delete;
    PlatformThread& operator=(const PlatformThread&) = delete;

    /** Starts the thread and the regular reading of the VM list. */
    void start();

    /** Ends every call under way and the thread. Idempotent. */
    void stop();

    /** Makes a call; its reply comes through the handler, exactly once unless stop() comes first. */
    void call(StoreCall&& call);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
