#pragma once

#include "dispatch/dispatch.h"
#include "model/governance/Governance.h"
#include <functional>
#include <optional>
#include <variant>

namespace papayashelf {

/** What admission knows of this VM. */
struct AdmissionPlace {
    VmId vm;
    RegionId region;
    Milliseconds now;
};

/** Tells whether a key was withdrawn although the revision in force still has it. */
using WithdrawnCheck = std::function<bool(const KeyDigest&)>;

/** A request that may be run, or the refusal that it gets at once. */
using AdmissionResult = std::variant<AdmittedRequest, RefusalCode>;

/**
    Decides who a request belongs to, where it is routed, and whether this region may process it.

    Looks at the configuration in force only; shares and load come after. Thread safety: any thread.

    @param isWithdrawn  asked only for keys that the configuration knows
*/
AdmissionResult admitRequest(const Governance& governance, const RequestArrival& arrival, const AdmissionPlace& place,
    const WithdrawnCheck& isWithdrawn);

/**
    What can be refused before a request's body is read: an unknown key, an unknown path, or a workspace whose data
    this region may not process. A withdrawn key is refused later. Thread safety: any thread.
*/
std::optional<RefusalCode> checkRequestHead(
    const Governance& governance, const KeyDigest& key, const std::string& path, const RegionId& region);

/** The route with the longest prefix that matches the path; null if there is none. */
const Route* findRoute(const Governance& governance, const std::string& path);

} // namespace papayashelf
