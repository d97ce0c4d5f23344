#pragma once

/**
    The shares module limits every workspace to its rate and burst across all VMs together.

    It decides which VM owns which part of a workspace's limits, reserves tokens before a request runs, borrows tokens
    from other VMs, settles reservations to the tokens that were used, and reassigns the parts of dead VMs by epochs.

    The module performs no input or output. It depends on foundation, model, platform (the typed store calls) and
    Boost.JSON.
*/

#include "shares/bucket/TokenBucket.h"
#include "shares/epochs/EpochCoordinator.h"
#include "shares/epochs/ShareEpoch.h"
#include "shares/ledger/ShareLedger.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/messages/ShareMessages.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/WorkspaceShares.h"
#include "shares/settings/ShareSettings.h"
