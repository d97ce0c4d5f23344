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

/** What the operators should see on the time line; nothing here stops the VM from serving. */
enum class ConfigurationEventKind {
    StoreUnavailable, /**< Calls to the store began to fail; told once per outage. */
    StoreAvailable, /**< The store answers again. */
    StoreOlder, /**< The store holds an older revision than the one in force; it is not followed. */
    ConflictingDigest, /**< Two different revisions carry one number; the one in force stays. */
    StoredValueSetAside, /**< A stored value is damaged or of an unknown schema version; it is not used. */
    DamagedTransfer, /**< What a peer sent does not match its digest; another is asked. */
    RevisionRefused, /**< A revision did not pass its check; the one in force stays. */
};

/** The stable lower_snake_case name of a kind, as it appears on the time line. */
std::string_view toString(ConfigurationEventKind kind);

struct ConfigurationEvent {
    ConfigurationEventKind kind = ConfigurationEventKind::StoreUnavailable;
    RevisionNumber revision = 0; /**< The revision that it is about; 0 if none. */
    VmId from; /**< The peer that it is about; empty for the store. */
    std::string detail;

    bool operator==(const ConfigurationEvent&) const = default;
};

/** Where a VM got a revision from. */
enum class AdoptionSource {
    Store,
    Peer,
};

/** A whole checked revision that is in force at this VM from now on. */
struct Adoption {
    std::shared_ptr<const Revision> revision;
    std::shared_ptr<const Governance> governance; /**< What the checker made of it. */
    AdoptionSource source = AdoptionSource::Store;
    VmId from; /**< The peer, if it came from one. */
    bool isFirst = false; /**< The VM held none before and may serve from now on. */
};

/** What the runtime is to do after an event. */
struct ConfigurationOutput {
    std::vector<Addressed<ConfigurationMessage>> sends;
    std::vector<StoreCall> storeCalls;
    std::vector<ConfigurationEvent> events;
    std::optional<Adoption> adopted;
    std::vector<Withdrawal> withdrawn; /**< Keys that stop working now: cut what runs for them. */
};

} // namespace papayashelf
