#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"

namespace papayashelf {

/** What leads from one revision to a later one, with no document that is alike in both. Thread safety: any thread. */
RevisionDelta makeDelta(const Revision& from, const Revision& to);

/** The delta that makes a whole revision out of nothing. Thread safety: any thread. */
RevisionDelta makeWholeDelta(const Revision& revision);

/**
    Joins two deltas that follow one another. A path that either of them touches stays touched.

    Thread safety: any thread.
*/
RevisionDelta joinDeltas(const RevisionDelta& first, const RevisionDelta& second);

/**
    Applies a delta and checks the digest of what results.

    Errors: Conflict (the delta starts from another revision), Damaged (the digest differs). Thread safety: any thread.

    @param base  not used by a delta that starts from 0
*/
Outcome<Revision> applyDelta(const Revision& base, const RevisionDelta& delta);

} // namespace papayashelf
