#pragma once

#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <string>
#include <vector>

namespace papayashelf {

/** Counts the writes to one key of the store; 0 means that the key does not exist. */
using StoreVersion = std::uint64_t;

/** The largest value that the key-value service holds. */
constexpr std::size_t maximumStoreValueBytes = 1'000'000;

enum class StoreOperation {
    Get, /**< Reads a key. */
    CompareAndSwap, /**< Writes a key if its version is still the expected one (0: if it does not exist). */
    Remove, /**< Removes a key if its version is still the expected one. */
    Watch, /**< Answers when the key's version differs from the expected one, or with it unchanged after the wait. */
    List, /**< The keys that begin with a prefix, with versions but without values. */
};

/** One call to the key-value service; each counts against its rate, a waiting watch as one. */
struct StoreRequest {
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0;
    Milliseconds wait; /**< Longest time a watch waits. */

    bool operator==(const StoreRequest&) const = default;
};

/** A request with the number by which its sender recognises the reply; unique within the sending decision part. */
struct StoreCall {
    std::uint64_t call = 0;
    StoreRequest request;

    bool operator==(const StoreCall&) const = default;
};

/** One key as read, listed or written. A version of 0 says that it does not exist. */
struct StoreEntry {
    std::string key;
    std::string value;
    StoreVersion version = 0;

    bool operator==(const StoreEntry&) const = default;
};

/**
    What a call came to. Errors: Conflict (the version differed; nothing was written), Unavailable (the call had no
    effect), OutcomeUnknown (a write may have taken effect), TooLarge.
*/
using StoreReply = Outcome<std::vector<StoreEntry>>;

} // namespace papayashelf
