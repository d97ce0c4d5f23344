#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "settings/reading/Fault.h"
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayashelf {

/** Addresses that one gateway process listens on. Every one is an IP number and a port. */
struct GatewayListeners {
    Endpoint callers;
    Endpoint readiness;
    Endpoint entries; /**< Tells callers where to connect. */
    Endpoint relays; /**< Requests that other VMs hand over. */
    Endpoint metrics;

    bool operator==(const GatewayListeners&) const = default;
};

/** Bounds that operators promise over all VMs. */
struct GatewayBounds {
    Milliseconds keyWithdrawal { 5000 }; /**< From the store's acknowledgement until a withdrawn key runs nothing. */
    Milliseconds stopGrace { 8000 }; /**< From SIGTERM to SIGKILL. */
    double retryRatio = 0.2; /**< Retries for each request of a service. */
    double extraRetries = 0; /**< Retries beyond the ratio in one window, over all VMs. */
    double tokenSlack = 0; /**< Tokens by which a workspace may pass its limit in one window, over all VMs. */

    bool operator==(const GatewayBounds&) const = default;
};

/** The settings of one gateway process. */
struct GatewaySettings {
    VmId vm;
    RegionId region;
    FailureDomainId failureDomain;
    std::vector<std::pair<std::string, RegionId>> regionOfDomain; /**< By the failure domain's name. */
    GatewayListeners listeners;
    Endpoint store;
    GatewayBounds bounds;

    bool operator==(const GatewaySettings&) const = default;
};

/**
    Reads the TOML text of a settings file.

    @param file  the name that faults carry
    @returns the settings, or every fault with its place
*/
Checked<GatewaySettings> checkGatewaySettings(const std::string& file, std::string_view text);

} // namespace papayashelf
