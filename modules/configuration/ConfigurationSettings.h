#pragma once

#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <cstddef>

namespace papayashelf {

/** How configuration and withdrawals are timed and bounded; the same at every VM. */
struct ConfigurationSettings {
    std::size_t pushedBytes = 2048; /**< A change of at most so many bytes is sent at once, a larger one announced. */
    Milliseconds pullTimeout { 1000 }; /**< Without an answer for so long, a pull goes to another holder. */
    std::size_t keptDeltas = 64; /**< How many changes back a peer is served by a delta. */
    std::size_t partBytes = 262'144; /**< Most bytes of documents in one part of an answer. */

    Milliseconds watchWait { 4000 }; /**< How long a watch waits in the store. */
    Milliseconds storeTimeout { 1500 }; /**< Without an answer for so long beyond its wait, a call counts as failed. */
    Milliseconds minimumWatchInterval { 1000 }; /**< Least time between the starts of two watches of one key. */
    Milliseconds staleInterval { 4000 }; /**< The same after an answer that led nowhere, such as an older revision. */
    Milliseconds shortestBackoff { 500 }; /**< After the first failed call; doubles with each. */
    Milliseconds longestBackoff { 4000 };
    std::size_t readsAtOnce = 8; /**< Parts that are read from the store at the same time. */

    Milliseconds writeSpread { 3000 }; /**< Watchers wait up to so long before they store a withdrawal. */
    Milliseconds noticeInterval { 1000 }; /**< Between two notices to regions that have not confirmed a withdrawal. */
    Milliseconds noticeDuration { 60000 }; /**< How long such notices are sent; heartbeats do the rest. */
    Milliseconds wholeSetInterval { 2000 }; /**< Least time between two whole sets to the same VM. */
    RevisionNumber withdrawalRevisions = 1000; /**< Revisions for which a withdrawal is kept after its key is gone. */

    bool operator==(const ConfigurationSettings&) const = default;
};

} // namespace papayashelf
