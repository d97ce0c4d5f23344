#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <string>

namespace papayashelf {

/**
    Identity, credentials and limits of this process's peer transport.

    Every certificate has its VM's id as a DNS subject alternative name and is signed by the fleet's certificate
    authority. Both sides of a connection check this.
*/
struct PeerTransportSettings {
    VmId vm;
    Incarnation incarnation = 0;
    Endpoint listen; /**< Port 0 selects a free port. */
    std::string certificatePem; /**< This VM's certificate chain, in PEM form. */
    std::string privateKeyPem;
    std::string authorityPem; /**< Certificate of the fleet's certificate authority, in PEM form. */
    std::size_t maximumQueuedMessagesPerPeer
        = 512; /**< Further ones are dropped; the receiver recovers by its digests. */
    Milliseconds streamLifetime = Milliseconds::fromSeconds(600); /**< A control stream is reopened after this. */
    Milliseconds reconnectDelay { 500 }; /**< Minimum time between two attempts to open a stream to the same VM. */

    bool operator==(const PeerTransportSettings&) const = default;
};

} // namespace papayashelf
