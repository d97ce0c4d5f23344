#pragma once

#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <cstddef>

namespace papayashelf {

/** Timing and size limits for the distribution of configuration and withdrawals. Every VM uses the same values. */
struct ConfigurationSettings {
    std::size_t maximumPushedDeltaBytes = 2048; /**< A larger delta is announced to neighbours instead of pushed. */
    Milliseconds pullTimeout { 1000 }; /**< Time without an answer after which a pull is sent to another holder. */
    std::size_t maximumKeptDeltas = 64; /**< Number of past deltas that are kept to answer pulls. */
    std::size_t maximumPartBytes = 262'144; /**< Maximum bytes of documents in one part of an answer. */

    Milliseconds watchTimeout { 4000 }; /**< Time that a watch waits in the store for a change. */
    Milliseconds storeTimeout { 1500 }; /**< Time for a reply, in addition to the wait of a watch. */
    Milliseconds minimumWatchInterval { 1000 }; /**< Minimum time between the starts of two watches of one key. */
    Milliseconds staleRetryInterval { 4000 }; /**< Time before the next watch if the store has no newer revision. */
    Milliseconds initialBackoff { 500 }; /**< Backoff after the first failed call; it doubles with each failure. */
    Milliseconds maximumBackoff { 4000 }; /**< Upper limit of the backoff. */
    std::size_t maximumConcurrentReads = 8; /**< Maximum number of parts read from the store at the same time. */

    Milliseconds maximumWriteDelay { 3000 }; /**< Limit of the random delay before a watcher stores a withdrawal. */
    Milliseconds noticeInterval { 1000 }; /**< Time between notices to regions that have not confirmed a withdrawal. */
    Milliseconds noticeDuration { 60000 }; /**< Time for which notices are sent; heartbeats spread it afterwards. */
    Milliseconds minimumWholeSetInterval { 2000 }; /**< Minimum time between two whole sets sent to the same VM. */
    RevisionNumber withdrawalRetentionRevisions = 1000; /**< Minimum number of revisions to keep a withdrawal. */

    bool operator==(const ConfigurationSettings&) const = default;
};

} // namespace papayashelf
