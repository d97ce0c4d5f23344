#pragma once

#include "dispatch/dispatch.h"
#include "model/governance/Governance.h"
#include <functional>
#include <optional>
#include <variant>

namespace papayashelf {

/** The VM, region and time at which a request is admitted. */
struct AdmissionContext {
    VmId vm;
    RegionId region;
    Milliseconds now;
};

/** Returns whether a key was withdrawn although the revision in force still contains it. */
using WithdrawnCheck = std::function<bool(const KeyDigest&)>;

/** An admitted request, or the code with which it is refused. */
using AdmissionResult = std::variant<AdmittedRequest, RefusalCode>;

/**
    Determines the workspace and the service of a request, and whether this region may process it.

    Considers only the configuration in force; shares and load are checked later. Thread safety: any thread.

    @param isWithdrawn  called only for keys that the configuration contains
*/
AdmissionResult admitRequest(const Governance& governance, const RequestArrival& arrival,
    const AdmissionContext& context, const WithdrawnCheck& isWithdrawn);

/**
    Returns the refusal of a request that can be refused before its body is read, or nothing.

    Detects an unknown key, an unknown path, and a workspace whose data this region may not process. A withdrawn key
    is refused later. Thread safety: any thread.
*/
std::optional<RefusalCode> checkRequestHead(
    const Governance& governance, const KeyDigest& key, const std::string& path, const RegionId& region);

/** Returns the route with the longest prefix that matches the path, or null if there is none. */
const Route* findRoute(const Governance& governance, const std::string& path);

} // namespace papayashelf
