#pragma once

#include "foundation/identity/Identifier.h"
#include "metrics/latency/LatencySummary.h"
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayashelf {

/** What became of one workspace's requests on this VM. */
struct WorkspaceFigures {
    std::uint64_t arrived = 0;
    std::uint64_t finished = 0;
    std::map<std::string, std::uint64_t> refused; /**< By stable code. */
    std::uint64_t usedTokens = 0;
    LatencyFigures firstByte; /**< From arrival to the beginning of the answer. */
    LatencyFigures whole; /**< From arrival to the end of the answer. */

    bool operator==(const WorkspaceFigures&) const = default;
};

/** Figures by workspace; the empty one stands for open routes and requests without a known key. */
using FiguresByWorkspace = std::map<WorkspaceId, WorkspaceFigures>;

/**
    Counts requests from arrival to end, by workspace.

    Events of unknown requests are ignored. Thread safety: none; owned by one thread.
*/
class RequestMetrics {
public:
    /** A request has arrived. */
    void noteArrival(Milliseconds now, RequestId request, const WorkspaceId& workspace);

    /** Its answer has begun; later calls for the same request say nothing new. */
    void noteBegan(Milliseconds now, RequestId request);

    /** It ended with a whole answer. */
    void noteFinished(Milliseconds now, RequestId request);

    /** It ended with a refusal. */
    void noteRefused(RequestId request, std::string_view code);

    /** Tokens that a workspace really used. */
    void noteUsed(const WorkspaceId& workspace, std::int64_t tokens);

    /** Takes the figures as they are now. */
    FiguresByWorkspace getFigures() const;

private:
    struct Open {
        WorkspaceId workspace;
        Milliseconds arrivedAt;
        bool hasBegun = false;
    };

    struct Totals {
        WorkspaceFigures counts;
        LatencySummary firstByte;
        LatencySummary whole;
    };

    std::unordered_map<RequestId, Open> open;
    std::map<WorkspaceId, Totals> totals;
};

} // namespace papayashelf
