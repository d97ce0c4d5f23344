#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "settings/reading/Fault.h"
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayashelf {

/** Addresses that one gateway process listens on, each an IP address and a port. */
struct GatewayListeners {
    Endpoint callers; /**< Requests from callers. */
    Endpoint readiness; /**< Readiness checks. */
    Endpoint entries; /**< Queries for the VMs that a caller should connect to. */
    Endpoint relays; /**< Requests relayed by other VMs. */
    Endpoint metrics; /**< Metrics of this process. */

    bool operator==(const GatewayListeners&) const = default;
};

/** Bounds that operators guarantee over all VMs. */
struct GatewayBounds {
    /** Time from the store's acknowledgement until requests with a withdrawn key no longer run. */
    Milliseconds keyWithdrawal { 5000 };
    Milliseconds stopGrace { 8000 }; /**< Time from SIGTERM to SIGKILL. */
    double retryRatio = 0.2; /**< Maximum retries per request of a service. */
    Milliseconds retryWindow { 10'000 }; /**< Length of the window in which retries count. */
    double extraRetries = 0; /**< Retries allowed beyond the ratio in one window, over all VMs. */
    /** Longest time for which an upstream can keep this VM's requests away by a refusal. */
    Milliseconds longestRejection { 600'000 };
    double tokenSlack = 0; /**< Tokens by which a workspace may exceed its limit in one window, over all VMs. */

    bool operator==(const GatewayBounds&) const = default;
};

/** The settings of one gateway process. */
struct GatewaySettings {
    VmId vm;
    RegionId region;
    FailureDomainId failureDomain;
    /** Region of each failure domain, by the domain's name. */
    std::vector<std::pair<std::string, RegionId>> regionOfDomain;
    GatewayListeners listeners;
    Endpoint store; /**< Address of the platform's store. */
    GatewayBounds bounds;

    bool operator==(const GatewaySettings&) const = default;
};

/**
    Parses the TOML text of a settings file.

    @param file  file name for the error messages
    @returns the settings, or all errors with their locations
*/
Checked<GatewaySettings> checkGatewaySettings(const std::string& file, std::string_view text);

} // namespace papayashelf
