#include "application/runtime/NodeSettingsFrom.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

namespace papayashelf {

namespace {

UpstreamPolicy toUpstreamPolicy(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::PrefixAffinity:
        return UpstreamPolicy::AffinityAndTwoChoices;
    case RoutingPolicy::TwoChoices:
        return UpstreamPolicy::TwoChoices;
    case RoutingPolicy::RoundRobin:
        return UpstreamPolicy::RoundRobin;
    case RoutingPolicy::Random:
        return UpstreamPolicy::Random;
    }
    return UpstreamPolicy::AffinityAndTwoChoices;
}

/** Leaves cores for the decisions, the peers and the platform. */
std::size_t chooseThreadCount()
{
    constexpr unsigned int most = 8;
    return std::clamp(std::thread::hardware_concurrency() / 2, 1U, most);
}

Outcome<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { ErrorCode::NotFound, "cannot read " + path };
    return text.str();
}

} // namespace

NodeSettings makeNodeSettings(const VmSettings& settings, const ProcessStart& start)
{
    NodeSettings made;
    made.self.vm = settings.vm;
    made.self.incarnation = start.incarnation;
    made.self.region = settings.region;
    made.self.domain = settings.domain;
    made.self.peerEndpoint = start.peerEndpoint;
    made.self.entryEndpoint = start.entryEndpoint;
    made.seed = start.seed;
    made.wallClockAtZero = start.wallClockAtZero;
    made.membership.heartbeatPeriod = settings.timers.heartbeat;
    made.membership.suspectAfter = settings.timers.suspectAfter;
    // A neighbour's other neighbours are asked before it is suspected.
    made.membership.queryAfter = settings.timers.suspectAfter * 2 / 3;
    // The setting counts from the last sign of life, membership from the suspicion.
    made.membership.goneAfter = std::max(settings.timers.goneAfter - settings.timers.suspectAfter,
        made.membership.refutationPeriod + Milliseconds(1000));
    made.configuration.minimumWatchInterval = settings.timers.storePoll;
    made.routing.upstreamPolicy = toUpstreamPolicy(settings.policy.routing);
    made.routing.spillPolicy = settings.policy.mayUseOtherRegions ? SpillPolicy::ByCost : SpillPolicy::Never;
    made.routing.affinityLoadBound = settings.policy.prefixLoadBound;
    made.dispatch.engineFirstByteLimit = settings.timers.firstByte;
    made.dispatch.plainFirstByteLimit = settings.timers.firstByte;
    made.dispatch.engineBetweenBytesLimit = settings.timers.betweenBytes;
    made.dispatch.plainBetweenBytesLimit = settings.timers.betweenBytes;
    made.dispatch.leavingLimit = settings.timers.drain;
    return made;
}

EntranceSettings makeEntranceSettings(const VmSettings& settings)
{
    EntranceSettings made;
    made.listen = settings.entry.listen;
    made.threads = chooseThreadCount();
    if (settings.entry.tls) {
        made.certificateFile = settings.entry.tls->certificate;
        made.privateKeyFile = settings.entry.tls->key;
    }
    made.maximumConnections = static_cast<std::size_t>(settings.limits.connections);
    made.maximumHeaderBytes = static_cast<std::size_t>(settings.limits.headerBytes);
    made.maximumBodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes);
    made.headTimeout = settings.limits.slowSender;
    made.bodyTimeout = settings.limits.slowSender;
    made.idleTimeout = settings.limits.idle;
    made.connectTimeout = settings.timers.upstreamConnect;
    made.maximumUpstreamIdle = settings.timers.upstreamIdle;
    return made;
}

Outcome<PeerTransportSettings> makePeerSettings(const VmSettings& settings, Incarnation incarnation)
{
    PeerTransportSettings made;
    made.vm = settings.vm;
    made.incarnation = incarnation;
    made.listen = settings.peer.listen;
    BOOST_OUTCOME_TRY(made.certificatePem, readFile(settings.peer.tls.certificate));
    BOOST_OUTCOME_TRY(made.privateKeyPem, readFile(settings.peer.tls.key));
    BOOST_OUTCOME_TRY(made.authorityPem, readFile(settings.peer.authorityFile));
    return made;
}

} // namespace papayashelf
