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
    Keeps the store's set of withdrawn keys and this VM's in step, at VMs that are store watchers: watches it, and
    adds what is missing by compare-and-swap. A write without an answer is settled by reading back.

    Thread safety: none; owned by one thread.
*/
class WithdrawalStore {
public:
    WithdrawalStore(const ConfigurationSettings& settings, std::uint64_t seed);

    /** Starts or stops; answers to earlier calls are then ignored. */
    void setWatcher(Milliseconds now, bool isWatcher);

    /** Does what is due; table is what this VM holds. */
    void tick(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output);

    /** @returns what the store holds, when the reply tells */
    std::vector<Withdrawal> handleReply(
        Milliseconds now, std::uint64_t call, const StoreReply& reply, ConfigurationOutput& output);

    /** The table grew; what the store lacks is written after a random time, unless another VM was first. */
    void noteGrowth(Milliseconds now);

    Milliseconds getNextDeadline() const { return this->watcher ? this->deadline : Milliseconds::never(); }

private:
    enum class Step {
        Waiting, /**< Until the deadline, then the next call starts. */
        Watching,
        Writing,
    };

    void startWatch(Milliseconds now, ConfigurationOutput& output);
    void startWrite(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output);
    bool isStoreBehind(const WithdrawalTable& table) const;
    void fail(Milliseconds now, const Error& error, ConfigurationOutput& output);
    void waitFor(Milliseconds until);
    std::vector<Withdrawal> takeEntry(Milliseconds now, const StoreEntry& entry, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    StoreBackoff backoff;
    bool watcher = false;
    Step step = Step::Waiting;
    Milliseconds deadline;
    Milliseconds watchStarted;
    std::optional<Milliseconds> writeAt;
    std::uint64_t lastCall = 0;
    std::optional<std::uint64_t> call;
    bool isRead = false; // Whether version and stored below are the store's last known.
    bool isSetAside = false; // A value that is not understood is never written over.
    StoreVersion version = 0;
    std::set<Withdrawal> stored;
    std::vector<Withdrawal> writing;
};

} // namespace papayashelf
