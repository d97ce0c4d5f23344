#pragma once

#include "entrance/entrance.h"
#include "node/node.h"
#include "peers/transport/PeerTransportSettings.h"
#include "settings/vm/VmSettings.h"

namespace papayashelf {

/** What a process learns at its start, beside its settings file. */
struct ProcessStart {
    Incarnation incarnation = 0;
    Milliseconds wallClockAtZero;
    std::uint64_t seed = 0;
    Endpoint peerEndpoint; /**< Where it really listens. */
    Endpoint entryEndpoint;
};

/** The settings of the decisions. */
NodeSettings makeNodeSettings(const VmSettings& settings, const ProcessStart& start);

/** The settings of the callers' listener. */
EntranceSettings makeEntranceSettings(const VmSettings& settings);

/** The settings of the peers' listener. Errors: NotFound for a certificate file that cannot be read. */
Outcome<PeerTransportSettings> makePeerSettings(const VmSettings& settings, Incarnation incarnation);

} // namespace papayashelf
