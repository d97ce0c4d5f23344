#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/governance/Governance.h"
#include <memory>

namespace papayashelf {

/** Lets a revision into force only if every document in it is valid, alone and together. Thread safety: any thread. */
struct GovernanceChecker {
    Outcome<std::shared_ptr<const Governance>> operator()(const Revision& revision) const;
};

} // namespace papayashelf
