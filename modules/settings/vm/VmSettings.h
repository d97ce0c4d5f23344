#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/logging/JsonLog.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <optional>
#include <string>

namespace papayashelf {

/** Files of a certificate chain and its private key, in PEM. */
struct CertificateFiles {
    std::string certificate;
    std::string key;

    bool operator==(const CertificateFiles&) const = default;
};

/** Where callers reach the VM. */
struct EntrySettings {
    Endpoint listen;
    Endpoint advertised; /**< What the entries list names; the listening endpoint unless set. */
    std::optional<CertificateFiles> tls; /**< Plain HTTP when absent. */

    bool operator==(const EntrySettings&) const = default;
};

/** Where the other VMs reach the VM; both sides show a certificate. */
struct PeerSettings {
    Endpoint listen;
    Endpoint advertised; /**< What other VMs are told; the listening endpoint unless set. */
    CertificateFiles tls;
    std::string authorityFile; /**< Certificates in PEM that a peer's certificate must lead to. */

    bool operator==(const PeerSettings&) const = default;
};

/** Where operators reach the administration API. */
struct AdministrationSettings {
    Endpoint listen;
    KeyDigest keyDigest; /**< SHA-256 of the administration key. */

    bool operator==(const AdministrationSettings&) const = default;
};

/** Where the platform's services are. */
struct PlatformSettings {
    Endpoint store; /**< Key-value service. */
    Endpoint vmList;
    Milliseconds callTimeout { 2000 }; /**< Longest wait for one answer of either, a watch's own wait not counted. */

    bool operator==(const PlatformSettings&) const = default;
};

/** What a caller may use up before it is refused or cut off. */
struct LimitSettings {
    std::int64_t headerBytes = 16'384;
    std::int64_t bodyBytes = 8'388'608;
    std::int64_t connections = 10'000;
    std::int64_t streamBufferBytes = 32'768; /**< Held for one slow caller before the upstream is made to wait. */
    std::int64_t queuedRequests = 2'000; /**< Requests that wait for an upstream, all workspaces together. */
    Milliseconds idle { 60'000 }; /**< A connection without a request is closed after this. */
    Milliseconds slowSender { 10'000 }; /**< A request's head and body must arrive whole within this. */

    bool operator==(const LimitSettings&) const = default;
};

/** How an upstream is chosen within a region. */
enum class RoutingPolicy {
    PrefixAffinity, /**< Cached prefixes first while the load stays bounded, else the better of two at random. */
    TwoChoices, /**< The less loaded of two upstreams drawn at random. */
    RoundRobin, /**< Each in turn. */
    Random,
};

/** How a workspace's rate is divided over the VMs. */
enum class SharePolicy {
    Escrow, /**< Each VM owns spending rights and lends them on demand. */
    FixedFractions, /**< Each VM has an equal part and lends nothing. */
};

/** Choices between decision policies; all but the first of each are baselines to measure against. */
struct PolicySettings {
    RoutingPolicy routing = RoutingPolicy::PrefixAffinity;
    SharePolicy shares = SharePolicy::Escrow;
    double prefixLoadBound = 1.25; /**< Load of the prefix's upstream over the mean at which affinity gives way. */
    bool mayUseOtherRegions = true; /**< Whether requests may be sent to other regions when this one is full. */

    bool operator==(const PolicySettings&) const = default;
};

/** Periods and limits in time of the VM's own work. */
struct TimerSettings {
    Milliseconds heartbeat { 1'000 };
    Milliseconds suspectAfter { 3'000 }; /**< Silence of a neighbour after which it is suspect. */
    Milliseconds goneAfter { 10'000 }; /**< Silence after which it is gone. */
    Milliseconds storePoll { 2'000 }; /**< Between a region's reads of the manifest. */
    Milliseconds vmListPoll { 10'000 };
    Milliseconds entriesValidity { 5'000 }; /**< How long callers may keep an entries list. */
    Milliseconds firstByte { 10'000 }; /**< Longest wait for an upstream's first byte. */
    Milliseconds betweenBytes { 5'000 }; /**< Longest silence within an answer. */
    Milliseconds upstreamConnect { 1'000 };
    Milliseconds upstreamIdle { 30'000 }; /**< A pooled connection older than this without use is not used again. */
    Milliseconds drain { 120'000 }; /**< Longest time a stopping VM lets its requests run on. */

    bool operator==(const TimerSettings&) const = default;
};

/** Everything that one VM is told at its start. */
struct VmSettings {
    VmId vm;
    RegionId region;
    FailureDomainId domain;
    EntrySettings entry;
    PeerSettings peer;
    AdministrationSettings administration;
    PlatformSettings platform;
    LogLevel logLevel = LogLevel::Info;
    LimitSettings limits;
    PolicySettings policy;
    TimerSettings timers;

    bool operator==(const VmSettings&) const = default;
};

} // namespace papayashelf
