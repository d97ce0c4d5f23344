#include "publication/documents/OperatorFiles.h"

#include "settings/reading/TableReader.h"
#include <algorithm>
#include <array>
#include <utility>

namespace papayashelf {

namespace {

constexpr std::int64_t mostTokens = 1'000'000'000'000;
constexpr std::int64_t mostSlots = 65'536;
constexpr std::int64_t mostPriority = 9;
constexpr std::int64_t mostWeight = 1'000'000;
constexpr double mostMegabitsPerSecond = 1e7;
constexpr std::array<std::string_view, 6> kinds { "fleet", "region", "workspace", "keys", "service", "route" };

const IntegerRule tokensRule { 1, mostTokens, "tokens" };

/** An absolute path of printable characters that has one spelling only. */
struct PathPrefixRule {
    std::optional<std::string> accept(const ConfigNode& node) const
    {
        const auto* text = std::get_if<std::string>(&node.value);
        if (!text || text->empty() || text->front() != '/' || text->size() > 1024)
            return std::nullopt;
        const auto isRefused = [](char character) {
            return character <= ' ' || character > '~' || std::string_view("?#%\\").find(character) < 4;
        };
        const bool isPlain = std::none_of(text->begin(), text->end(), isRefused);
        const bool hasOddPart = (*text + "/").find("/./") != std::string::npos
            || (*text + "/").find("/../") != std::string::npos || text->find("//") != std::string::npos;
        const bool endsInSlash = text->size() > 1 && text->back() == '/';
        return isPlain && !hasOddPart && !endsInSlash ? std::optional(*text) : std::nullopt;
    }

    std::string allowed() const
    {
        return "an absolute path such as \"/entries\", without '%', query, '.', '..' or a final '/'";
    }
};

ChoiceRule<std::string> methodRule()
{
    ChoiceRule<std::string> rule;
    for (const std::string method : { "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT" })
        rule.choices.emplace_back(method, method);
    return rule;
}

/** Sorts and reports what stands twice. */
template <typename Item> void sortList(std::vector<Item>& items, std::string_view field, TableReader& table)
{
    std::sort(items.begin(), items.end(), [](const Item& left, const Item& right) { return left < right; });
    const auto twin = std::adjacent_find(items.begin(), items.end());
    if (twin == items.end())
        return;
    table.report(table.positionOf(field), std::string(field) + " names something twice", "each name once");
    items.erase(std::unique(items.begin(), items.end()), items.end());
}

template <typename Value> Placed<Value> placed(Value value, const std::string& file, const TableReader& table)
{
    return { std::move(value), file, table.positions() };
}

void readFleet(TableReader table, const std::string& file, OperatorFiles& files)
{
    Fleet fleet;
    table.required("tokens_per_second", fleet.tokensPerSecond, tokensRule);
    table.required("burst_tokens", fleet.burstTokens, tokensRule);
    table.list("vm_addresses", fleet.vmAddresses, AddressRangeRule());
    table.finish();
    files.fleets.push_back(placed(std::move(fleet), file, table));
}

void readRegion(TableReader table, const std::string& file, OperatorFiles& files)
{
    Region region;
    table.required("id", region.id, IdentifierRule<RegionId>());
    table.list("domains", region.domains, IdentifierRule<FailureDomainId>());
    if (region.domains.empty())
        table.report(table.positionOf("domains"), "region.domains names none", "at least one failure domain");
    sortList(region.domains, "domains", table);
    std::vector<std::pair<std::string, double>> links;
    table.map("link_megabits_per_second", links, NumberRule { 0.001, mostMegabitsPerSecond });
    for (const auto& [other, megabits] : links)
        region.linkMegabitsPerSecond[RegionId(other)] = megabits;
    table.list("caller_networks", region.callerNetworks, NetworkRule());
    table.finish();
    files.regions.push_back(placed(std::move(region), file, table));
}

void readWorkspace(TableReader table, const std::string& file, OperatorFiles& files)
{
    Workspace workspace;
    std::int64_t priority = 0;
    std::vector<std::pair<std::string, std::int64_t>> weights;
    table.required("id", workspace.id, IdentifierRule<WorkspaceId>());
    table.required("tokens_per_second", workspace.tokensPerSecond, tokensRule);
    table.required("burst_tokens", workspace.burstTokens, tokensRule);
    table.list("residency", workspace.residency, IdentifierRule<RegionId>());
    sortList(workspace.residency, "residency", table);
    // An empty list would read as "nowhere" and mean "anywhere".
    if (table.has("residency") && workspace.residency.empty())
        table.report(table.positionOf("residency"), "workspace.residency names no region",
            "at least one region, or no such key if the data may be processed anywhere");
    table.map("share_weights", weights, IntegerRule { 0, mostWeight, "" });
    table.optional("priority", priority, IntegerRule { 0, mostPriority, "" });
    table.finish();
    for (const auto& [region, weight] : weights)
        workspace.shareWeights[RegionId(region)] = weight;
    workspace.priority = static_cast<int>(priority);
    files.workspaces.push_back(placed(std::move(workspace), file, table));
}

void readKeys(TableReader table, const std::string& file, OperatorFiles& files)
{
    KeyGrant grant;
    table.required("workspace", grant.workspace, IdentifierRule<WorkspaceId>());
    table.list("digests", grant.digests, DigestRule());
    sortList(grant.digests, "digests", table);
    table.finish();
    files.keys.push_back(placed(std::move(grant), file, table));
}

Upstream readUpstream(TableReader& table)
{
    Upstream upstream;
    std::int64_t slots = 1;
    table.required("id", upstream.id, IdentifierRule<UpstreamId>());
    table.required("region", upstream.region, IdentifierRule<RegionId>());
    table.required("domain", upstream.domain, IdentifierRule<FailureDomainId>());
    table.required("endpoint", upstream.endpoint, EndpointRule());
    table.optional("slots", slots, IntegerRule { 1, mostSlots, "requests" });
    table.optional("checks_fencing", upstream.checksFencing, SwitchRule());
    table.finish();
    upstream.slots = static_cast<int>(slots);
    return upstream;
}

void checkModels(TableReader& table, const Service& service)
{
    if (service.kind == ServiceKind::ModelEngine && service.models.empty())
        table.report(table.positionOf("models"), "service.models is missing or empty",
            "at least one model for a service of kind \"model_engine\"");
    if (service.kind == ServiceKind::PlainService && !service.models.empty())
        table.report(table.positionOf("models"), "service.models names models",
            "no models for a service of kind \"plain_service\"");
}

void readService(TableReader table, const std::string& file, OperatorFiles& files)
{
    Service service;
    table.required("id", service.id, IdentifierRule<ServiceId>());
    table.required("kind", service.kind,
        ChoiceRule<ServiceKind> {
            { { "model_engine", ServiceKind::ModelEngine }, { "plain_service", ServiceKind::PlainService } } });
    table.list("models", service.models, IdentifierRule<ModelId> { { true } });
    sortList(service.models, "models", table);
    if (table.has("kind"))
        checkModels(table, service);
    for (TableReader& upstreamTable : table.tables("upstreams")) {
        Upstream upstream = readUpstream(upstreamTable);
        files.upstreams.push_back(placed(upstream, file, upstreamTable));
        service.upstreams.push_back(std::move(upstream));
    }
    if (service.upstreams.empty())
        table.report(table.positionOf("upstreams"), "service.upstreams names none", "at least one upstream");
    std::sort(service.upstreams.begin(), service.upstreams.end(),
        [](const Upstream& left, const Upstream& right) { return left.id.string() < right.id.string(); });
    table.finish();
    files.services.push_back(placed(std::move(service), file, table));
}

void readRoute(TableReader table, const std::string& file, OperatorFiles& files)
{
    Route route;
    table.required("id", route.id, IdentifierRule<RouteId>());
    table.required("path_prefix", route.pathPrefix, PathPrefixRule());
    table.required("service", route.service, IdentifierRule<ServiceId>());
    table.optional("open_to_all", route.isOpenToAll, SwitchRule());
    table.list("idempotent_methods", route.idempotentMethods, methodRule());
    sortList(route.idempotentMethods, "idempotent_methods", table);
    table.optional("tokens_per_request", route.tokensPerRequest, IntegerRule { 0, mostTokens, "tokens" });
    table.optional("timeout_ms", route.timeout, DurationRule { Milliseconds(100), Milliseconds(3'600'000) });
    table.finish();
    files.routes.push_back(placed(std::move(route), file, table));
}

void readSchemaVersion(TableReader& top)
{
    std::int64_t version = documentSchemaVersion;
    top.optional("schema_version", version, IntegerRule { documentSchemaVersion, documentSchemaVersion, "" });
}

/** The top-level tables that name a kind. */
std::vector<std::string_view> kindsOf(const ConfigNode& root)
{
    std::vector<std::string_view> present;
    for (const std::string_view kind : kinds) {
        if (root.member(kind))
            present.push_back(kind);
    }
    return present;
}

void readKind(TableReader& top, std::string_view kind, const std::string& file, OperatorFiles& files)
{
    if (kind == "fleet")
        readFleet(top.table(kind), file, files);
    else if (kind == "region")
        readRegion(top.table(kind), file, files);
    else if (kind == "workspace")
        readWorkspace(top.table(kind), file, files);
    else if (kind == "keys")
        readKeys(top.table(kind), file, files);
    else if (kind == "service")
        readService(top.table(kind), file, files);
    for (TableReader& route : top.tables("route"))
        readRoute(route, file, files);
}

} // namespace

void readOperatorFile(const ConfigNode& root, const std::string& file, OperatorFiles& files, Faults& faults)
{
    TableReader top(root, file, "", faults);
    readSchemaVersion(top);
    const auto present = kindsOf(root);
    const std::string allowed = "one kind of table: fleet, region, workspace, keys, service or route";
    if (present.empty())
        top.report({ 1, 1 }, "the file has no table of a known kind", allowed);
    for (std::size_t index = 1; index < present.size(); ++index)
        top.report(root.member(present[index])->position,
            std::string(present[index]) + " stands beside " + std::string(present.front()), allowed);
    readKind(top, present.empty() ? "route" : present.front(), file, files);
    // A second kind has its own fault already.
    for (std::size_t index = 1; index < present.size(); ++index)
        top.table(present[index]);
    top.finish();
}

} // namespace papayashelf
