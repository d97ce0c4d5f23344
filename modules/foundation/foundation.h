#pragma once

/**
    foundation holds what every other module builds on: time in milliseconds, outcomes as values, typed
    identifiers, a hash that is the same on every VM, bounded rings between threads, the JSON-lines log, and the framing
    of HTTP messages.

    It depends on Boost and glog only and knows nothing of gateways.
*/

#include "foundation/concurrency/Doorbell.h"
#include "foundation/concurrency/Ring.h"
#include "foundation/concurrency/SharedRing.h"
#include "foundation/hashing/Sha256.h"
#include "foundation/hashing/StableHash.h"
#include "foundation/http/MessageFraming.h"
#include "foundation/identity/Addressed.h"
#include "foundation/identity/Identifier.h"
#include "foundation/logging/DecisionLog.h"
#include "foundation/logging/JsonLog.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/text/QueryParameter.h"
#include "foundation/time/Clock.h"
