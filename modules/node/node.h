#pragma once

/**
    The node module combines the decision modules of one VM: it takes events and the current time and returns actions.

    It does no I/O, so tests can connect several nodes by a simulated network on virtual time, while the runtime drives
    the same code with threads and sockets. Depends on every decision module.
*/

#include "node/admission/Admission.h"
#include "node/entries/EntryList.h"
#include "node/messages/NodeMessages.h"
#include "node/node/Node.h"
#include "node/snapshot/NodeSnapshot.h"
