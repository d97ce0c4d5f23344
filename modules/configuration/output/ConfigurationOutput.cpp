#include "configuration/output/ConfigurationOutput.h"

namespace papayashelf {

std::string_view toString(ConfigurationEventKind kind)
{
    switch (kind) {
    case ConfigurationEventKind::StoreUnavailable:
        return "store_unavailable";
    case ConfigurationEventKind::StoreAvailable:
        return "store_available";
    case ConfigurationEventKind::StoreOlder:
        return "store_older";
    case ConfigurationEventKind::ConflictingDigest:
        return "conflicting_digest";
    case ConfigurationEventKind::StoredValueRejected:
        return "stored_value_set_aside";
    case ConfigurationEventKind::DamagedTransfer:
        return "damaged_transfer";
    case ConfigurationEventKind::RevisionRefused:
        return "revision_refused";
    }
    return "unknown";
}

} // namespace papayashelf
