#pragma once

#include "platform/store/StoreCall.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayashelf {

/** How much the service does in a second; 0 means without limit. */
struct FakeStoreLimits {
    std::int64_t writesPerSecond = 0;
    std::int64_t readsPerSecond = 0;

    bool operator==(const FakeStoreLimits&) const = default;
};

/** What goes wrong until it is set otherwise. */
struct FakeStoreFaults {
    bool isOut = false; /**< Every call is refused without effect. */
    bool isSilent = false; /**< Calls are taken and neither done nor answered. */
    Milliseconds delay; /**< Each answer comes this much later than its effect. */
    int lostRequests = 0; /**< So many of the next calls are lost before they have an effect. */
    int lostAnswers = 0; /**< So many of the next writes take effect and their answers are lost. */

    bool operator==(const FakeStoreFaults&) const = default;
};

/** Calls that were counted against the rates. */
struct FakeStoreCounts {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t refused = 0; /**< Over a rate. */

    bool operator==(const FakeStoreCounts&) const = default;
};

/** The reply to a submitted call. */
struct FakeStoreAnswer {
    std::uint64_t ticket = 0;
    StoreReply reply;
    bool isLost = false; /**< The answer never reached the caller; the reply is what its client makes of that. */
};

/**
    The key-value service in memory, on virtual time, with faults on command.

    A key's version starts at 1 again when the key is made anew after a removal: nothing may rely on more.
    A write's reply carries key and version without the value.

    Thread safety: none.
*/
class FakeStore {
public:
    explicit FakeStore(FakeStoreLimits limits = {});

    /**
        Makes a call at once, with the faults but without their delay; a watch answers with what is there now.

        @param lease  0, or the time after which a written key is removed unless it is written again
    */
    StoreReply apply(const StoreRequest& request, Milliseconds lease = {});

    /** Takes a call whose answer advanceTo() returns. The effect happens now; a watch may wait. */
    void submit(std::uint64_t ticket, const StoreRequest& request, Milliseconds lease = {});

    /** Moves the time on, never back, and returns the answers that are due, in the order of their times. */
    std::vector<FakeStoreAnswer> advanceTo(Milliseconds now);

    /** When the next answer, lease or watch is due, if nothing else is submitted. */
    std::optional<Milliseconds> nextDue() const;

    void setFaults(const FakeStoreFaults& newFaults);
    const FakeStoreFaults& faults() const { return this->currentFaults; }
    void setLimits(const FakeStoreLimits& newLimits);
    const FakeStoreCounts& counts() const { return this->currentCounts; }

    /** Keeps the state of this moment for restoreState(). */
    void saveState() { this->savedCells = this->cells; }

    /** Goes back to the saved state, as a service restored from an old copy does. */
    void restoreState();

private:
    struct Cell {
        std::string value;
        StoreVersion version = 0;
        std::optional<Milliseconds> leaseEnd;
    };

    struct Allowance {
        double tokens = 0;
        Milliseconds filledAt;
    };

    struct PendingAnswer {
        FakeStoreAnswer answer;
        Milliseconds due;
    };

    struct PendingWatch {
        std::uint64_t ticket = 0;
        StoreRequest request;
        Milliseconds end;
    };

    std::optional<StoreReply> refusal(const StoreRequest& request);
    bool takeFrom(Allowance& allowance, std::int64_t perSecond);
    StoreReply perform(const StoreRequest& request, Milliseconds lease);
    StoreReply compareAndSwap(const StoreRequest& request, Milliseconds lease);
    StoreReply remove(const StoreRequest& request);
    StoreReply list(const std::string& prefix) const;
    StoreEntry read(const std::string& key) const;
    bool loseRequest();
    bool loseAnswer(const StoreRequest& request, const StoreReply& reply);
    void queueAnswer(std::uint64_t ticket, StoreReply reply, bool isLost);
    void settleWatches();
    void endLeases();

    FakeStoreLimits limits;
    FakeStoreFaults currentFaults;
    FakeStoreCounts currentCounts;
    Milliseconds now;
    Allowance reads;
    Allowance writes;
    std::map<std::string, Cell> cells;
    std::map<std::string, Cell> savedCells;
    std::vector<PendingAnswer> answers;
    std::vector<PendingWatch> watches;
};

} // namespace papayashelf
