#pragma once

/**
    node joins the decision parts of one VM into one: events in, actions out, on whatever clock it is given.

    It does no I/O, so several nodes can be joined by a fake network on virtual time, and the runtime drives the same
    code with threads and sockets. Depends on every decision module.
*/

#include "node/admission/Admission.h"
#include "node/entries/EntryList.h"
#include "node/messages/NodeMessages.h"
#include "node/node/Node.h"
#include "node/snapshot/NodeSnapshot.h"
