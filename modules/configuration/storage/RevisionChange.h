#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"

namespace papayashelf {

/** Computes the delta between two revisions, without their equal documents. Thread safety: any thread. */
RevisionDelta makeDelta(const Revision& from, const Revision& to);

/** Builds a delta that holds a full revision and applies to any base. Thread safety: any thread. */
RevisionDelta makeFullDelta(const Revision& revision);

/**
    Merges two consecutive deltas. The result contains each path that either of them changes or removes.

    Thread safety: any thread.
*/
RevisionDelta mergeDeltas(const RevisionDelta& first, const RevisionDelta& second);

/**
    Applies a delta to a revision and verifies the digest of the result.

    Errors: Conflict (the delta starts from another revision), Damaged (the digest differs). Thread safety: any thread.

    @param base  ignored if the delta starts from 0
*/
Outcome<Revision> applyDelta(const Revision& base, const RevisionDelta& delta);

} // namespace papayashelf
