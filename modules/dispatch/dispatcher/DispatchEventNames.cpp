#include "dispatch/dispatcher/DispatchEventNames.h"

namespace papayashelf {

std::string_view toString(DispatchEventKind kind)
{
    switch (kind) {
    case DispatchEventKind::Queued:
        return "queued";
    case DispatchEventKind::Started:
        return "started";
    case DispatchEventKind::Relayed:
        return "relayed";
    case DispatchEventKind::Retried:
        return "retried";
    case DispatchEventKind::Resumed:
        return "resumed";
    case DispatchEventKind::Silent:
        return "silent";
    case DispatchEventKind::Kept:
        return "kept";
    case DispatchEventKind::Refused:
        return "refused";
    case DispatchEventKind::Finished:
        return "finished";
    case DispatchEventKind::Claimed:
        return "claimed";
    case DispatchEventKind::StaleReport:
        return "stale_report";
    }
    return "unknown";
}

} // namespace papayashelf
