#include "application/reports/Reports.h"

#include "membership/messages/MemberStateNames.h"
#include <boost/json.hpp>
#include <set>

namespace papayashelf {

namespace json = boost::json;

namespace {

json::object describe(const Member& member)
{
    return json::object { { "vm", member.vm.string() }, { "state", toString(member.state) },
        { "region", member.region.string() }, { "domain", member.domain.string() },
        { "incarnation", member.incarnation }, { "peer", member.peerEndpoint.string() },
        { "entry", member.entryEndpoint.string() } };
}

json::object describe(const LatencyFigures& figures)
{
    return json::object { { "count", figures.count }, { "mean_ms", figures.meanMilliseconds },
        { "p50_ms", figures.medianMilliseconds }, { "p99_ms", figures.p99Milliseconds },
        { "longest_ms", figures.longestMilliseconds } };
}

json::object describe(const std::map<std::string, std::uint64_t>& counts)
{
    json::object object;
    for (const auto& [name, count] : counts)
        object[name] = count;
    return object;
}

json::object describe(const NodeCounters& counters)
{
    return json::object { { "arrived", counters.arrived }, { "admitted", counters.admitted },
        { "finished", counters.finished }, { "refused", counters.refused }, { "refusals", describe(counters.refusals) },
        { "relayed_out", counters.relayedOut }, { "relayed_in", counters.relayedIn },
        { "peer_messages_in", counters.peerMessagesIn }, { "peer_messages_out", counters.peerMessagesOut },
        { "store_calls", counters.storeCalls } };
}

json::array names(const std::vector<VmId>& vms)
{
    json::array array;
    for (const VmId& vm : vms)
        array.emplace_back(vm.string());
    return array;
}

} // namespace

std::string writeStatus(const NodeSnapshot& snapshot)
{
    json::object status = describe(snapshot.self);
    status["ready"] = snapshot.isReady;
    status["leaving"] = snapshot.isLeaving;
    status["revision"] = snapshot.revision;
    status["revision_digest"] = snapshot.revisionDigest;
    status["revision_everywhere"] = snapshot.isRevisionAdoptedEverywhere;
    status["revision_source"] = snapshot.revisionSource;
    status["share_epoch"] = snapshot.shareEpoch;
    status["owned_workspaces"] = snapshot.ownedWorkspaces;
    status["withdrawn_keys"] = snapshot.withdrawals;
    status["requests"] = snapshot.requests;
    status["waiting_for_shares"] = snapshot.waitingForShares;
    status["neighbours"] = names(snapshot.neighbours);
    status["counters"] = describe(snapshot.counters);
    return json::serialize(status);
}

std::string writeMembers(const NodeSnapshot& snapshot)
{
    json::array members;
    for (const Member& member : snapshot.members)
        members.emplace_back(describe(member));
    return json::serialize(json::object { { "seen_by", snapshot.self.vm.string() }, { "members", members } });
}

std::string writeUpstreams(const NodeSnapshot& snapshot)
{
    const std::set<UpstreamId> ejected(snapshot.ejectedUpstreams.begin(), snapshot.ejectedUpstreams.end());
    json::array upstreams;
    for (const Upstream& upstream : snapshot.watchedUpstreams) {
        upstreams.emplace_back(json::object { { "upstream", upstream.id.string() },
            { "region", upstream.region.string() }, { "endpoint", upstream.endpoint.string() },
            { "slots", upstream.slots }, { "ejected", ejected.count(upstream.id) > 0 } });
    }
    return json::serialize(json::object { { "upstreams", upstreams } });
}

std::string writeShares(const NodeSnapshot& snapshot)
{
    json::array workspaces;
    if (snapshot.governance && snapshot.owners) {
        for (const auto& [id, workspace] : snapshot.governance->workspaces) {
            const auto owners = snapshot.owners->find(id);
            workspaces.emplace_back(json::object { { "workspace", id.string() },
                { "tokens_per_second", workspace.tokensPerSecond }, { "burst_tokens", workspace.burstTokens },
                { "owners", owners == snapshot.owners->end() ? json::array() : names(owners->second) } });
        }
    }
    return json::serialize(json::object { { "share_epoch", snapshot.shareEpoch }, { "workspaces", workspaces } });
}

std::string writeMetrics(const NodeSnapshot& snapshot, const FiguresByWorkspace& figures)
{
    json::object workspaces;
    for (const auto& [id, entry] : figures) {
        workspaces[id.string()] = json::object { { "arrived", entry.arrived }, { "finished", entry.finished },
            { "refused", describe(entry.refused) }, { "used_tokens", entry.usedTokens },
            { "first_byte", describe(entry.firstByte) }, { "whole", describe(entry.whole) } };
    }
    return json::serialize(json::object { { "vm", snapshot.self.vm.string() },
        { "counters", describe(snapshot.counters) }, { "workspaces", workspaces } });
}

std::string writeReach(const std::vector<RegionCoverage>& reach, const NodeSnapshot& snapshot)
{
    std::map<RegionId, RegionCoverage> byRegion;
    if (snapshot.governance) {
        for (const auto& [id, region] : snapshot.governance->regions)
            byRegion[id].region = id;
    }
    for (const RegionCoverage& entry : reach)
        byRegion[entry.region] = entry;
    json::array regions;
    for (const auto& [id, entry] : byRegion) {
        regions.emplace_back(json::object { { "region", id.string() }, { "reached", entry.isReached() },
            { "confirmed", entry.confirmed }, { "members", entry.members } });
    }
    return json::serialize(json::object { { "regions", regions } });
}

std::string writeTimeline(const std::vector<TimelineEvent>& events, Milliseconds wallClockAtZero)
{
    json::array array;
    for (const TimelineEvent& event : events) {
        json::object details;
        for (const auto& [name, value] : event.details)
            details[name] = value;
        array.emplace_back(json::object { { "logical_time", event.logicalTime }, { "vm", event.vm.string() },
            { "incarnation", event.incarnation }, { "sequence", event.sequence },
            { "time_ms", (event.at + wallClockAtZero).count() }, { "kind", event.kind }, { "details", details } });
    }
    return json::serialize(json::object { { "events", array } });
}

std::string writeEntries(const std::vector<Entry>& entries, const NodeSnapshot& snapshot, Milliseconds validity)
{
    json::array array;
    for (const Entry& entry : entries) {
        array.emplace_back(json::object { { "vm", entry.vm.string() }, { "region", entry.region.string() },
            { "endpoint", entry.endpoint.string() } });
    }
    return json::serialize(json::object { { "answered_by", snapshot.self.vm.string() },
        { "leaving", snapshot.isLeaving }, { "valid_ms", validity.count() }, { "entries", array } });
}

std::string writeModels(const Governance& governance)
{
    std::set<ModelId> models;
    for (const auto& [id, service] : governance.services)
        models.insert(service.models.begin(), service.models.end());
    json::array data;
    for (const ModelId& model : models) {
        data.emplace_back(
            json::object { { "id", model.string() }, { "object", "model" }, { "owned_by", "papayashelf" } });
    }
    return json::serialize(json::object { { "object", "list" }, { "data", data } });
}

} // namespace papayashelf
