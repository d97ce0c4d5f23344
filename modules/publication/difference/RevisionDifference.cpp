#include "publication/difference/RevisionDifference.h"

namespace papayashelf {

namespace {

constexpr std::size_t shownDigestDigits = 12;

/** Calls back for each name that is added, removed or has another value. */
template <typename Map, typename Describe>
void compare(
    const Map& old, const Map& next, const std::string& kind, const Describe& describe, std::vector<std::string>& lines)
{
    for (const auto& [id, value] : next) {
        const auto before = old.find(id);
        if (before == old.end())
            lines.push_back("+ " + kind + " " + id.string());
        else if (!(before->second == value))
            lines.push_back("~ " + kind + " " + id.string() + describe(before->second, value));
    }
    for (const auto& [id, value] : old) {
        if (!next.contains(id))
            lines.push_back("- " + kind + " " + id.string());
    }
}

std::string changed(const std::string& name, std::int64_t old, std::int64_t next)
{
    if (old == next)
        return {};
    return ", " + name + " " + std::to_string(old) + " -> " + std::to_string(next);
}

std::string joined(const std::vector<RegionId>& regions)
{
    std::string text;
    for (const RegionId& region : regions)
        text += (text.empty() ? "" : " ") + region.string();
    return text.empty() ? "any" : text;
}

std::string describeWorkspace(const Workspace& old, const Workspace& next)
{
    std::string text = changed("tokens_per_second", old.tokensPerSecond, next.tokensPerSecond)
        + changed("burst_tokens", old.burstTokens, next.burstTokens) + changed("priority", old.priority, next.priority);
    if (old.residency != next.residency)
        text += ", residency " + joined(old.residency) + " -> " + joined(next.residency);
    if (old.shareWeights != next.shareWeights)
        text += ", share_weights";
    return text;
}

std::string describeRoute(const Route& old, const Route& next)
{
    std::string text = changed("tokens_per_request", old.tokensPerRequest, next.tokensPerRequest)
        + changed("timeout_ms", old.timeout.count(), next.timeout.count());
    if (old.pathPrefix != next.pathPrefix)
        text += ", path_prefix " + old.pathPrefix + " -> " + next.pathPrefix;
    if (old.service != next.service)
        text += ", service " + old.service.string() + " -> " + next.service.string();
    if (old.isOpenToAll != next.isOpenToAll)
        text += next.isOpenToAll ? ", now open to all" : ", no longer open to all";
    if (old.idempotentMethods != next.idempotentMethods)
        text += ", idempotent_methods";
    return text;
}

std::string describeService(const Service& old, const Service& next)
{
    std::map<UpstreamId, Upstream> before;
    std::map<UpstreamId, Upstream> after;
    for (const Upstream& upstream : old.upstreams)
        before.emplace(upstream.id, upstream);
    for (const Upstream& upstream : next.upstreams)
        after.emplace(upstream.id, upstream);
    std::vector<std::string> lines;
    compare(
        before, after, "upstream", [](const Upstream&, const Upstream&) { return std::string(); }, lines);
    std::string text;
    for (const std::string& line : lines)
        text += ", " + line;
    if (old.models != next.models)
        text += ", models";
    if (old.kind != next.kind)
        text += ", kind";
    return text;
}

void compareKeys(const Governance& old, const Governance& next, RevisionDifference& difference)
{
    const auto shown = [](const Key& key) {
        return "key " + key.digest.string().substr(0, shownDigestDigits) + "... of " + key.workspace.string();
    };
    for (const auto& [digest, key] : next.keys) {
        const auto before = old.keys.find(digest);
        if (before == old.keys.end())
            difference.lines.push_back("+ " + shown(key));
        else if (before->second != key)
            difference.lines.push_back("~ " + shown(key) + ", before of " + before->second.workspace.string());
    }
    for (const auto& [digest, key] : old.keys) {
        if (next.keys.contains(digest)) {
            ++difference.keptKeys;
            continue;
        }
        difference.lines.push_back("- " + shown(key) + ", withdrawn for good");
        difference.withdrawnKeys.push_back(digest);
    }
}

} // namespace

RevisionDifference differenceBetween(const Governance& inForce, const Governance& next)
{
    RevisionDifference difference;
    const auto nothing = [](const auto&, const auto&) { return std::string(); };
    compare(inForce.regions, next.regions, "region", nothing, difference.lines);
    compare(inForce.workspaces, next.workspaces, "workspace", describeWorkspace, difference.lines);
    compare(inForce.services, next.services, "service", describeService, difference.lines);
    compare(inForce.routes, next.routes, "route", describeRoute, difference.lines);
    compareKeys(inForce, next, difference);
    return difference;
}

} // namespace papayashelf
