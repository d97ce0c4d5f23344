#pragma once

/**
    The configuration module decides which revision is in force at a VM and which keys are withdrawn. It defines how
    both are stored and distributed between VMs. The revision number in force never decreases, and a withdrawal is
    dropped only by a later revision.

    The module does no I/O: time, random seeds and the store's replies are passed in. It depends on foundation, model,
    platform and membership (for the members and neighbours).
*/

#include "configuration/ConfigurationSettings.h"
#include "configuration/messages/ConfigurationMessages.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/revisions/RevisionReplicator.h"
#include "configuration/storage/RevisionChange.h"
#include "configuration/storage/RevisionDigest.h"
#include "configuration/storage/StoredRevision.h"
#include "configuration/storage/StoredWithdrawals.h"
#include "configuration/withdrawals/WithdrawalSet.h"
