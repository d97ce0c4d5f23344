#include "gateway/settings/GatewaySettings.h"

#include "settings/reading/TableReader.h"

namespace papayashelf {

namespace {

constexpr Milliseconds longestBound = Milliseconds::fromSeconds(600); /**< Far above any bound that operators state. */
constexpr std::int64_t mostMegabytes = 1'048'576;
constexpr std::int64_t mostDescriptors = 1'048'576;

void readListeners(TableReader reader, GatewayListeners& listeners)
{
    reader.required("callers", listeners.callers, EndpointRule {});
    reader.required("readiness", listeners.readiness, EndpointRule {});
    reader.required("entries", listeners.entries, EndpointRule {});
    reader.required("relays", listeners.relays, EndpointRule {});
    reader.required("metrics", listeners.metrics, EndpointRule {});
    reader.finish();
}

void readBounds(TableReader reader, GatewayBounds& bounds)
{
    const DurationRule duration { Milliseconds(1), longestBound };
    const NumberRule number { 0, 1e9 };
    reader.optional("key_withdrawal_ms", bounds.keyWithdrawal, duration);
    reader.optional("stop_grace_ms", bounds.stopGrace, duration);
    reader.optional("longest_entry_age_ms", bounds.longestEntryAge, duration);
    reader.optional("retry_ratio", bounds.retryRatio, number);
    reader.optional("extra_retries", bounds.extraRetries, number);
    reader.optional("token_slack", bounds.tokenSlack, number);
    reader.optional("cold_overshoot", bounds.coldOvershoot, number);
    reader.optional("cold_slack", bounds.coldSlack, number);
    reader.finish();
}

void readResources(TableReader reader, GatewayResources& resources)
{
    std::int64_t megabytes = static_cast<std::int64_t>(resources.memoryMegabytes);
    std::int64_t descriptors = static_cast<std::int64_t>(resources.descriptors);
    reader.optional("core_share", resources.coreShare, NumberRule { 0.01, 1024 });
    reader.optional("memory_mb", megabytes, IntegerRule { 16, mostMegabytes, "MB" });
    reader.optional("descriptors", descriptors, IntegerRule { 64, mostDescriptors, "" });
    reader.finish();
    resources.memoryMegabytes = static_cast<std::size_t>(megabytes);
    resources.descriptors = static_cast<std::size_t>(descriptors);
}

} // namespace

Checked<GatewaySettings> checkGatewaySettings(const std::string& file, std::string_view text)
{
    Faults faults;
    GatewaySettings settings;
    const ParsedToml parsed = parseToml(file, text, faults);
    if (!parsed.isWhole)
        return faults;
    TableReader root(parsed.root, file, "", faults);
    root.required("vm", settings.vm, IdentifierRule<VmId> {});
    root.required("region", settings.region, IdentifierRule<RegionId> {});
    root.required("failure_domain", settings.failureDomain, IdentifierRule<FailureDomainId> {});
    root.required("store", settings.store, EndpointRule {});
    root.map("region_of_domain", settings.regionOfDomain, IdentifierRule<RegionId> {});
    readListeners(root.table("listen"), settings.listeners);
    readBounds(root.table("bounds"), settings.bounds);
    readResources(root.table("resources"), settings.resources);
    root.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace papayashelf
