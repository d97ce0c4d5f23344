#pragma once

/**
    shares keeps every workspace within its rate and burst over all VMs together: which VM owns which part of it,
    reservations before a request runs, borrowing between VMs, settling to the tokens really used, and the epochs by
    which what a dead VM owned passes to another.

    Decisions only. It depends on foundation, model and platform (the typed store calls) and Boost.JSON.
*/

#include "shares/bucket/TokenBucket.h"
#include "shares/epochs/EpochKeeper.h"
#include "shares/epochs/ShareEpoch.h"
#include "shares/ledger/ShareLedger.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/messages/ShareMessages.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/VotedShares.h"
#include "shares/settings/ShareSettings.h"
