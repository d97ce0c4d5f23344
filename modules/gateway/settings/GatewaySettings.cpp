#include "gateway/settings/GatewaySettings.h"

#include "settings/reading/TableReader.h"

namespace papayashelf {

namespace {

/** Far above any bound that operators configure. */
constexpr Milliseconds maximumBound = Milliseconds::fromSeconds(600);

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
    const DurationRule duration { Milliseconds(1), maximumBound };
    const NumberRule number { 0, 1e9 };
    reader.optional("key_withdrawal_ms", bounds.keyWithdrawal, duration);
    double stopGraceSeconds = bounds.stopGrace.seconds();
    reader.optional("stop_grace_s", stopGraceSeconds, NumberRule { 1, maximumBound.seconds() });
    bounds.stopGrace = Milliseconds(static_cast<std::int64_t>(stopGraceSeconds * 1000));
    reader.optional("retry_ratio", bounds.retryRatio, number);
    reader.optional("extra_retries", bounds.extraRetries, number);
    double retryWindowSeconds = bounds.retryWindow.seconds();
    reader.optional("retry_window_s", retryWindowSeconds, NumberRule { 1, maximumBound.seconds() });
    bounds.retryWindow = Milliseconds(static_cast<std::int64_t>(retryWindowSeconds * 1000));
    reader.optional("longest_rejection_ms", bounds.longestRejection, DurationRule { Milliseconds(0), maximumBound });
    reader.optional("token_slack", bounds.tokenSlack, number);
    reader.finish();
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
    root.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace papayashelf
