#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "foundation/identity/Addressed.h"
#include "model/governance/Governance.h"
#include "platform/store/StoreCall.h"
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayashelf {

using ConfigurationMessage = std::variant<RevisionAnnouncement, RevisionPull, RevisionPart, WithdrawalNotice>;

/** Kinds of events reported to the operators on the time line. None of them stops the VM from serving. */
enum class ConfigurationEventKind {
    StoreUnavailable, /**< Calls to the store began to fail; reported once per outage. */
    StoreAvailable, /**< The store answers again. */
    StoreOlder, /**< The store holds an older revision than the one in force, which stays. */
    ConflictingDigest, /**< Two different revisions have the same number; the one in force stays. */
    StoredValueRejected, /**< A stored value is damaged or has an unknown schema version and is not used. */
    DamagedTransfer, /**< A revision from a peer does not match its digest; another peer is asked. */
    RevisionRefused, /**< A revision failed validation; the one in force stays. */
};

/** Returns the stable lower_snake_case name of a kind, as it appears on the time line. */
std::string_view toString(ConfigurationEventKind kind);

/** One event for the time line. */
struct ConfigurationEvent {
    ConfigurationEventKind kind = ConfigurationEventKind::StoreUnavailable;
    RevisionNumber revision = 0; /**< Revision that the event concerns; 0 if none. */
    VmId from; /**< Peer that the event concerns; empty for the store. */
    std::string detail;

    bool operator==(const ConfigurationEvent&) const = default;
};

/** Source from which a VM received a revision. */
enum class AdoptionSource {
    Store,
    Peer,
};

/** A complete, validated revision that is now in force at this VM. */
struct Adoption {
    std::shared_ptr<const Revision> revision;
    std::shared_ptr<const Governance> governance; /**< Typed form of the revision, as the checker built it. */
    AdoptionSource source = AdoptionSource::Store;
    VmId from; /**< Peer that sent the revision; empty for the store. */
    bool isFirst = false; /**< Whether it is this VM's first revision, after which the VM may serve. */
};

/** Actions for the runtime after it has passed in a message, a reply or a tick. */
struct ConfigurationOutput {
    std::vector<Addressed<ConfigurationMessage>> sends;
    std::vector<StoreCall> storeCalls;
    std::vector<ConfigurationEvent> events;
    std::optional<Adoption> adopted;
    std::vector<Withdrawal> withdrawn; /**< Newly withdrawn keys; the runtime ends the requests that use them. */
};

} // namespace papayashelf
