#pragma once

/**
    configuration decides which revision is in force at a VM and which keys are withdrawn: how both are stored, how
    they spread from VM to VM, and that neither ever goes back.

    It depends on foundation, model and platform; it does no I/O. Boost.JSON and OpenSSL serve the stored form.
*/

#include "configuration/messages/ConfigurationMessages.h"
#include "configuration/storage/RevisionChange.h"
#include "configuration/storage/RevisionDigest.h"
#include "configuration/storage/StoredRevision.h"
#include "configuration/storage/StoredWithdrawals.h"
