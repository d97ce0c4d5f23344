#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/governance/Governance.h"
#include <memory>

namespace papayashelf {

/** Builds the configuration of a revision, so that a revision with invalid documents is never put in force. */
struct GovernanceChecker {
    /**
        Returns the configuration, or an error if a document is invalid by itself or in combination with the others.

        Thread safety: any thread.
    */
    Outcome<std::shared_ptr<const Governance>> operator()(const Revision& revision) const;
};

} // namespace papayashelf
