#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <string>

namespace papayashelf {

/**
    Who this process is to the others and how it proves it.

    Every certificate names its VM's id as a DNS subject alternative name and is signed by the fleet's authority; both
    sides of a connection check it.
*/
struct PeerTransportSettings {
    VmId vm;
    Incarnation incarnation = 0;
    Endpoint listen; /**< Port 0 takes a free one. */
    std::string certificatePem; /**< This VM's certificate chain. */
    std::string privateKeyPem;
    std::string authorityPem; /**< The fleet's certificate authority. */
    std::size_t queuedMessagesPerPeer = 512; /**< Further ones are dropped; the receiver recovers by its digests. */
    Milliseconds streamLifetime = Milliseconds::fromSeconds(600); /**< A control stream is reopened after this. */
    Milliseconds reconnectDelay { 500 }; /**< Least time between two attempts to reach the same VM. */

    bool operator==(const PeerTransportSettings&) const = default;
};

} // namespace papayashelf
