#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "gateway/limits/StoredConfiguration.h"
#include "gateway/quarantine/CrashEvidence.h"
#include "gateway/streams/StreamOrigin.h"
#include "gateway/upstreams/UpstreamTable.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** Load of one VM, or the sum over all VMs of a region. */
struct LoadFigures {
    std::map<WorkspaceId, double> demand; /**< Units per second that callers request, granted or not. */
    std::map<ServiceId, ServiceLoad> services; /**< Load on upstreams of the VMs' own region. */
    /** The same by upstream. Exchanged within a region only, as no other VM sends these upstreams requests. */
    std::map<UpstreamId, UpstreamLoad> upstreams;

    bool operator==(const LoadFigures&) const = default;

    /** Adds another VM's figures. */
    void add(const LoadFigures& other);

    /** Returns the load of one service; zeros if there is none. */
    ServiceLoad getLoad(const ServiceId& service) const;
};

/** A message in which a VM sends another one its own load or the load of its region. */
struct DigestReport {
    VmId from;
    RegionId region;
    bool isWholeRegion = false; /**< True if the figures are the sum over all VMs of the region. */
    LoadFigures figures;
    std::int64_t sentAt = 0; /**< Sender's clock in milliseconds; the reply returns it. */
    CrashEvidence crashes = {}; /**< What the sender knows of upstreams that crashed under requests. */
    /** Statements of the upstreams of the sender's region. Exchanged within a region only. */
    std::vector<SharedStatement> statements = {};
    ConfigurationNotice configuration = {}; /**< What the sender has in force. */

    bool operator==(const DigestReport&) const = default;
};

/** The answer to a report. */
struct DigestReply {
    VmId from;
    std::int64_t sentAt = 0; /**< Sending time copied from the report. */
    /** Milliseconds since the replier's view was confirmed to be current; -1 if it is unknown or too old. */
    std::int64_t confirmationAge = -1;
    StorePosition knownRevision; /**< Position of the last change in the store that the replier has received. */
    std::map<RegionId, LoadFigures> regions; /**< Recent figures of each region that the replier knows. */
    CrashEvidence crashes = {}; /**< What the sender knows of upstreams that crashed under requests. */
    /** Statements of the upstreams of the sender's region. Exchanged within a region only. */
    std::vector<SharedStatement> statements = {};
    ConfigurationNotice configuration = {}; /**< What the sender has in force. */

    bool operator==(const DigestReply&) const = default;
};

/**
    Serializes a report for a datagram.

    @param key  the receiver's VmAnnouncement::relayKey, which shows that the message is meant for it
*/
std::string encodeDigest(const DigestReport& report, std::string_view key);

/** Serializes a reply for a datagram; the key is the receiver's VmAnnouncement::relayKey. */
std::string encodeDigest(const DigestReply& reply, std::string_view key);

/** Serializes a message for a datagram; the key is the receiver's VmAnnouncement::relayKey. */
std::string encodeDigest(const StreamOriginMessage& message, std::string_view key);

/** A parsed datagram: exactly one of report, reply and origins is set. */
struct DecodedDigest {
    std::string key;
    std::optional<DigestReport> report;
    std::optional<DigestReply> reply;
    std::optional<StreamOriginMessage> origins;
};

/** Parses a datagram. Error: Damaged, also for a message of another schema version. */
Outcome<DecodedDigest> decodeDigest(std::string_view bytes);

} // namespace papayashelf
