#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/store/StoreBackoff.h"
#include "configuration/withdrawals/WithdrawalTable.h"
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/**
    Synchronizes this VM's set of withdrawn keys with the one in the store, on VMs that are store watchers. It watches
    the stored set and adds missing entries by compare-and-swap. If a write gets no reply, it reads the set again.

    Thread safety: none; owned by one thread.
*/
class WithdrawalSynchronizer {
public:
    WithdrawalSynchronizer(const ConfigurationSettings& settings, std::uint64_t seed);

    /** Starts or stops the synchronization. Replies to earlier calls are ignored afterwards. */
    void setWatcher(Milliseconds now, bool isWatcher);

    /** Performs the actions that are due. table holds this VM's withdrawals. */
    void tick(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output);

    /** Handles the reply to a store call. @returns the stored withdrawals if the reply holds a new set */
    std::vector<Withdrawal> handleReply(
        Milliseconds now, std::uint64_t call, const StoreReply& reply, ConfigurationOutput& output);

    /** Schedules a write of missing entries after a random delay, unless another VM has written them by then. */
    void scheduleWrite(Milliseconds now);

    /** Returns when tick() must be called next; never() while this VM is no watcher. */
    Milliseconds getNextDeadline() const { return this->isEnabled ? this->deadline : Milliseconds::never(); }

private:
    enum class Step {
        Waiting, /**< No call is pending; the next one starts at the deadline. */
        Watching,
        Writing,
    };

    void startWatch(Milliseconds now, ConfigurationOutput& output);
    void startWrite(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output);
    bool isStoreBehind(const WithdrawalTable& table) const;
    void recordFailure(Milliseconds now, const Error& error, ConfigurationOutput& output);
    void waitUntil(Milliseconds until);
    std::vector<Withdrawal> handleEntry(Milliseconds now, const StoreEntry& entry, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    StoreBackoff backoff;
    bool isEnabled = false;
    Step step = Step::Waiting;
    Milliseconds deadline;
    Milliseconds watchStarted;
    std::optional<Milliseconds> nextWriteAt;
    std::uint64_t lastCall = 0;
    std::optional<std::uint64_t> call;
    bool isStoredSetKnown = false; // Whether version and stored match the last known state of the store.
    bool isStoredSetUnreadable = false; // A stored value that cannot be decoded is never overwritten.
    StoreVersion version = 0;
    std::set<Withdrawal> stored;
    std::vector<Withdrawal> submittedWithdrawals;
};

} // namespace papayashelf
