#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "gateway/upstreams/UpstreamTable.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** Load of one VM, or of all VMs of a region together. */
struct LoadFigures {
    std::map<WorkspaceId, double> demand; /**< Units a second that callers ask for, granted or not. */
    std::map<ServiceId, ServiceLoad> services; /**< Under way to upstreams of the VMs' own region. */

    bool operator==(const LoadFigures&) const = default;

    /** Adds another VM's figures. */
    void add(const LoadFigures& other);

    /** Of one service; nothing if there is none. */
    ServiceLoad getLoad(const ServiceId& service) const;
};

/** One VM tells another its load, or its region's. */
struct DigestReport {
    VmId from;
    RegionId region;
    bool isWholeRegion = false; /**< The figures are of all VMs of the region. */
    LoadFigures figures;
    std::int64_t sentAt = 0; /**< By the sender's clock, in milliseconds; comes back in the reply. */

    bool operator==(const DigestReport&) const = default;
};

/** The answer to a report. */
struct DigestReply {
    VmId from;
    std::int64_t sentAt = 0; /**< Of the report. */
    std::int64_t confirmationAge = -1; /**< Milliseconds since the replier knew its view current; -1 if it never did. */
    std::int64_t knownRevision = 0; /**< The store's revision of the last change that the replier knows. */
    std::map<RegionId, LoadFigures> regions; /**< All that the replier has heard of lately. */

    bool operator==(const DigestReply&) const = default;
};

/** @param key  proves to the receiver that the message is for it; see VmAnnouncement::relayKey */
std::string encodeDigest(const DigestReport& report, std::string_view key);
std::string encodeDigest(const DigestReply& reply, std::string_view key);

/** What came in a datagram: exactly one of the two is set. */
struct DecodedDigest {
    std::string key;
    std::optional<DigestReport> report;
    std::optional<DigestReply> reply;
};

/** Error: Damaged, also for a message of another schema version. */
Outcome<DecodedDigest> decodeDigest(std::string_view bytes);

} // namespace papayashelf
