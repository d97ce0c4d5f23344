#include "settings/vm/VmSettingsCheck.h"

#include "settings/reading/TableReader.h"
#include <fstream>
#include <sstream>

namespace papayashelf {

namespace {

constexpr Milliseconds oneMillisecond { 1 };
constexpr Milliseconds oneHour { 3'600'000 };

DurationRule duration(Milliseconds minimum, Milliseconds maximum = oneHour)
{
    return { minimum, maximum };
}

CertificateFiles readCertificate(TableReader& table)
{
    CertificateFiles files;
    table.required("certificate", files.certificate, TextRule());
    table.required("key", files.key, TextRule());
    return files;
}

void readVm(TableReader table, VmSettings& settings)
{
    table.required("id", settings.vm, IdentifierRule<VmId>());
    table.required("region", settings.region, IdentifierRule<RegionId>());
    table.required("domain", settings.domain, IdentifierRule<FailureDomainId>());
    table.optional("log_level", settings.logLevel,
        ChoiceRule<LogLevel> {
            { { "info", LogLevel::Info }, { "warning", LogLevel::Warning }, { "error", LogLevel::Error } } });
    table.finish();
}

void readEntry(TableReader table, EntrySettings& entry)
{
    table.required("listen", entry.listen, EndpointRule());
    entry.advertised = entry.listen;
    table.optional("advertised", entry.advertised, EndpointRule());
    // One file without the other is a fault, so either asks for both.
    if (table.has("certificate") || table.has("key"))
        entry.tls = readCertificate(table);
    table.finish();
}

void readPeer(TableReader table, PeerSettings& peer)
{
    table.required("listen", peer.listen, EndpointRule());
    peer.advertised = peer.listen;
    table.optional("advertised", peer.advertised, EndpointRule());
    peer.tls = readCertificate(table);
    table.required("authority", peer.authorityFile, TextRule());
    table.finish();
}

void readAdministration(TableReader table, AdministrationSettings& administration)
{
    table.required("listen", administration.listen, EndpointRule());
    table.required("key_digest", administration.keyDigest, DigestRule());
    table.finish();
}

void readPlatform(TableReader table, PlatformSettings& platform)
{
    table.required("store", platform.store, EndpointRule());
    table.required("vm_list", platform.vmList, EndpointRule());
    table.optional("call_timeout_ms", platform.callTimeout, duration(Milliseconds(10), Milliseconds(60'000)));
    table.finish();
}

void readLimits(TableReader table, LimitSettings& limits)
{
    table.optional("header_bytes", limits.headerBytes, IntegerRule { 1'024, 262'144, "bytes" });
    table.optional("body_bytes", limits.bodyBytes, IntegerRule { 1'024, 67'108'864, "bytes" });
    table.optional("connections", limits.connections, IntegerRule { 1, 100'000, "" });
    table.optional("stream_buffer_bytes", limits.streamBufferBytes, IntegerRule { 4'096, 1'048'576, "bytes" });
    table.optional("queued_requests", limits.queuedRequests, IntegerRule { 0, 100'000, "" });
    table.optional("idle_ms", limits.idle, duration(Milliseconds(100)));
    table.optional("slow_sender_ms", limits.slowSender, duration(Milliseconds(100)));
    table.finish();
}

void readPolicy(TableReader table, PolicySettings& policy)
{
    table.optional("routing", policy.routing,
        ChoiceRule<RoutingPolicy> {
            { { "prefix_affinity", RoutingPolicy::PrefixAffinity }, { "two_choices", RoutingPolicy::TwoChoices },
                { "round_robin", RoutingPolicy::RoundRobin }, { "random", RoutingPolicy::Random } } });
    table.optional("shares", policy.shares,
        ChoiceRule<SharePolicy> {
            { { "escrow", SharePolicy::Escrow }, { "fixed_fractions", SharePolicy::FixedFractions } } });
    table.optional("prefix_load_bound", policy.prefixLoadBound, NumberRule { 1, 10 });
    table.optional("other_regions", policy.mayUseOtherRegions, SwitchRule());
    table.finish();
}

void checkSilenceLimits(TableReader& table, const TimerSettings& timers)
{
    if (timers.suspectAfter.count() <= timers.heartbeat.count())
        table.report(table.positionOf("suspect_after_ms"), "timers.suspect_after_ms is not above heartbeat_ms",
            "more than " + std::to_string(timers.heartbeat.count()));
    if (timers.goneAfter.count() <= timers.suspectAfter.count())
        table.report(table.positionOf("gone_after_ms"), "timers.gone_after_ms is not above suspect_after_ms",
            "more than " + std::to_string(timers.suspectAfter.count()));
}

void readTimers(TableReader table, TimerSettings& timers)
{
    table.optional("heartbeat_ms", timers.heartbeat, duration(Milliseconds(50), Milliseconds(60'000)));
    table.optional("suspect_after_ms", timers.suspectAfter, duration(Milliseconds(100)));
    table.optional("gone_after_ms", timers.goneAfter, duration(Milliseconds(200)));
    table.optional("store_poll_ms", timers.storePoll, duration(Milliseconds(100), Milliseconds(60'000)));
    table.optional("vm_list_poll_ms", timers.vmListPoll, duration(Milliseconds(100)));
    table.optional("entries_validity_ms", timers.entriesValidity, duration(Milliseconds(100)));
    table.optional("first_byte_ms", timers.firstByte, duration(oneMillisecond));
    table.optional("between_bytes_ms", timers.betweenBytes, duration(oneMillisecond));
    table.optional("upstream_connect_ms", timers.upstreamConnect, duration(oneMillisecond, Milliseconds(60'000)));
    table.optional("upstream_idle_ms", timers.upstreamIdle, duration(oneMillisecond));
    table.optional("drain_ms", timers.drain, duration(Milliseconds(0)));
    checkSilenceLimits(table, timers);
    table.finish();
}

VmSettings readSettings(const ConfigNode& root, const std::string& file, Faults& faults)
{
    VmSettings settings;
    TableReader top(root, file, "", faults);
    readVm(top.table("vm"), settings);
    readEntry(top.table("entry"), settings.entry);
    readPeer(top.table("peer"), settings.peer);
    readAdministration(top.table("administration"), settings.administration);
    readPlatform(top.table("platform"), settings.platform);
    readLimits(top.table("limits"), settings.limits);
    readPolicy(top.table("policy"), settings.policy);
    readTimers(top.table("timers"), settings.timers);
    top.finish();
    return settings;
}

/** Two listeners of one process cannot share an endpoint. */
void checkListeners(const VmSettings& settings, const ConfigNode& root, const std::string& file, Faults& faults)
{
    const std::vector<std::pair<std::string, Endpoint>> listeners { { "entry", settings.entry.listen },
        { "peer", settings.peer.listen }, { "administration", settings.administration.listen } };
    for (std::size_t later = 1; later < listeners.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const auto& [name, endpoint] = listeners[later];
            if (endpoint.port == 0 || endpoint != listeners[earlier].second)
                continue;
            const ConfigMember* listen = root.member(name)->value.member("listen");
            faults.push_back({ file, listen->value.position,
                name + ".listen is " + endpoint.string() + ", which " + listeners[earlier].first + ".listen has too",
                "an endpoint of its own for each listener" });
        }
    }
}

} // namespace

Checked<VmSettings> checkSettings(const std::string& file, const std::string& text)
{
    Faults faults;
    const ParsedToml parsed = parseToml(file, text, faults);
    if (!parsed.isWhole)
        return faults;
    VmSettings settings = readSettings(parsed.root, file, faults);
    checkListeners(settings, parsed.root, file, faults);
    if (faults.empty())
        return settings;
    sortByPlace(faults);
    return faults;
}

Checked<VmSettings> loadSettings(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return Faults { { file, {}, "the file cannot be read or is empty", "a readable TOML file" } };
    return checkSettings(file, text.str());
}

} // namespace papayashelf
