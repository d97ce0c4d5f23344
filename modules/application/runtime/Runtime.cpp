#include "application/runtime/Runtime.h"

#include "application/reports/Reports.h"
#include "application/runtime/DecisionThread.h"
#include "application/runtime/NodeSettingsFrom.h"
#include "application/runtime/OperatorApi.h"
#include "foundation/hashing/StableHash.h"
#include "foundation/logging/JsonLog.h"
#include "foundation/text/QueryParameter.h"
#include "peers/codec/EnvelopeCodec.h"
#include "peers/relay/RelayCaller.h"
#include "peers/relay/RelayService.h"
#include <chrono>
#include <condition_variable>

namespace papayashelf {

namespace {

Milliseconds readWallClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/** What others are told: the advertised endpoint, or the real one if a free port was taken. */
Endpoint announce(const Endpoint& advertised, const Endpoint& real)
{
    return advertised.port != 0 ? advertised : real;
}

} // namespace

struct Runtime::State {
    explicit State(const VmSettings& vmSettings)
        : settings(vmSettings)
        , wallClockAtZero(readWallClock() - Clock().now())
        , incarnation(static_cast<Incarnation>(readWallClock().count()))
    {
    }

    Outcome<void> start();
    Outcome<void> makePeers();
    void makeEntrance();
    void startDecisions(const Endpoint& peerEndpoint, const Endpoint& entryEndpoint);
    void stop();
    void receive(wire::Envelope&& envelope);
    void serveRelayed(RelayedRequest request, std::shared_ptr<RelayExchange> answer);
    std::optional<HttpText> answerCaller(const EntryQuery& query) const;
    std::optional<RefusalCode> checkHead(const KeyDigest& key, const std::string& path) const;
    void noteEnd();

    const VmSettings settings;
    const Milliseconds wallClockAtZero;
    const Incarnation incarnation;
    Doorbell doorbell;
    std::atomic<bool> isReady = false; /**< Set once the decisions run; until then peers' messages are dropped. */
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<RelayCaller> relayCaller;
    std::unique_ptr<RelayService> relayService;
    std::unique_ptr<EntranceServer> entrance;
    std::unique_ptr<PlatformThread> platform;
    std::unique_ptr<DecisionThread> decisions;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<AdministrationServer> administration;

    std::mutex mutex;
    std::condition_variable condition;
    bool hasEnded = false;
    bool isStopRequested = false;
};

Outcome<void> Runtime::State::makePeers()
{
    BOOST_OUTCOME_TRY(PeerTransportSettings peerSettings, makePeerSettings(this->settings, this->incarnation));
    this->peers = std::make_unique<PeerTransport>(
        std::move(peerSettings), [this](wire::Envelope&& envelope) { this->receive(std::move(envelope)); });
    this->relayCaller = std::make_unique<RelayCaller>(this->settings.vm, this->peers->getChannels());
    const EntranceSettings entranceSettings = makeEntranceSettings(this->settings);
    this->relayService = std::make_unique<RelayService>(
        [this](RelayedRequest request, std::shared_ptr<RelayExchange> answer) {
            this->serveRelayed(std::move(request), std::move(answer));
        },
        entranceSettings.relayWindowBytes, entranceSettings.maximumBodyBytes);
    return boost::outcome_v2::success();
}

void Runtime::State::makeEntrance()
{
    this->entrance
        = std::make_unique<EntranceServer>(makeEntranceSettings(this->settings), [this] { this->doorbell.ring(); });
    this->entrance->setEntryProvider([this](const EntryQuery& query) { return this->answerCaller(query); });
    this->entrance->setHeadCheck(
        [this](const KeyDigest& key, const std::string& path) { return this->checkHead(key, path); });
    this->entrance->setRelayTransport(
        [this](const StartRelay& directive, const RelayedRequest& request, std::shared_ptr<RelayExchange> answer) {
            this->relayCaller->start(directive, request, std::move(answer));
        });
}

void Runtime::State::startDecisions(const Endpoint& peerEndpoint, const Endpoint& entryEndpoint)
{
    ProcessStart start;
    start.incarnation = this->incarnation;
    start.wallClockAtZero = this->wallClockAtZero;
    start.seed = stableHash(this->settings.vm.string(), this->incarnation);
    start.peerEndpoint = peerEndpoint;
    start.entryEndpoint = entryEndpoint;
    this->platform = std::make_unique<PlatformThread>(
        this->settings.platform, this->settings.timers.vmListPoll,
        [this](std::uint64_t call, StoreReply reply) {
            this->decisions->push(StoreReplyArrived { call, std::move(reply) });
        },
        [this](VmList list) { this->decisions->push(VmListArrived { std::move(list) }); });
    this->decisions = std::make_unique<DecisionThread>(
        makeNodeSettings(this->settings, start), this->doorbell, [this] { this->noteEnd(); });
    this->decisions->start(DecisionSurroundings { *this->entrance, *this->peers, *this->platform });
    this->platform->start();
    this->isReady = true;
}

Outcome<void> Runtime::State::start()
{
    BOOST_OUTCOME_TRY(this->makePeers());
    this->makeEntrance();
    BOOST_OUTCOME_TRY(const Endpoint peerEndpoint, this->peers->start(this->relayService.get()));
    BOOST_OUTCOME_TRY(const Endpoint entryEndpoint, this->entrance->start());
    this->startDecisions(announce(this->settings.peer.advertised, peerEndpoint),
        announce(this->settings.entry.advertised, entryEndpoint));
    this->operatorApi = std::make_unique<OperatorApi>(*this->decisions, this->wallClockAtZero);
    this->administration = std::make_unique<AdministrationServer>(this->settings.administration.listen,
        this->settings.administration.keyDigest,
        [this](const AdministrationRequest& request) { return this->operatorApi->answer(request); });
    BOOST_OUTCOME_TRY(const Endpoint administrationEndpoint, this->administration->start());
    logEvent(LogLevel::Info, "started",
        { { "entry", entryEndpoint.string() }, { "peers", peerEndpoint.string() },
            { "administration", administrationEndpoint.string() }, { "incarnation", this->incarnation } });
    return boost::outcome_v2::success();
}

void Runtime::State::stop()
{
    // From the outside in: nothing new arrives at a part that has already ended.
    this->isReady = false;
    if (this->administration)
        this->administration->stop();
    if (this->entrance)
        this->entrance->stop();
    if (this->peers)
        this->peers->stop();
    if (this->platform)
        this->platform->stop();
    if (this->decisions)
        this->decisions->stop();
}

void Runtime::State::receive(wire::Envelope&& envelope)
{
    if (!this->isReady)
        return;
    Outcome<PeerMessage> message = decodeEnvelope(envelope);
    if (!message) {
        logEvent(LogLevel::Warning, "peer_message_damaged",
            { { "from", envelope.from_vm() }, { "detail", message.error().detail } });
        return;
    }
    this->decisions->push(
        PeerMessageArrived { VmId(envelope.from_vm()), envelope.logical_time(), std::move(message).value() });
}

void Runtime::State::serveRelayed(RelayedRequest request, std::shared_ptr<RelayExchange> answer)
{
    if (this->isReady)
        this->entrance->serveRelayed(std::move(request), std::move(answer));
    else
        answer->write(RelayAnswerEnd { AttemptResult::NotSent, std::nullopt });
}

std::optional<HttpText> Runtime::State::answerCaller(const EntryQuery& query) const
{
    const auto snapshot = this->isReady ? this->decisions->getSnapshot() : nullptr;
    if (!snapshot)
        return HttpText { 503, "application/json", R"({"error":{"code":"not_ready","ran":"no"}})" };
    if (query.path == "/healthz") {
        const bool isServing = snapshot->isReady && !snapshot->isLeaving;
        return HttpText { isServing ? 200 : 503, "application/json",
            std::string(R"({"ready":)") + (snapshot->isReady ? "true" : "false") + R"(,"leaving":)"
                + (snapshot->isLeaving ? "true}" : "false}") };
    }
    if (query.path == "/v1/models" && snapshot->governance)
        return HttpText { 200, "application/json", writeModels(*snapshot->governance) };
    if (query.path != "/v1/entries")
        return std::nullopt;
    EntryListQuery question;
    if (snapshot->governance)
        question.nearestRegion = findNearestRegion(*snapshot->governance, query.callerAddress);
    question.workspace = WorkspaceId(findParameter(query.query, "workspace"));
    question.callerHash = stableHash(query.callerAddress);
    return HttpText { 200, "application/json",
        writeEntries(listEntries(*snapshot, question), *snapshot, this->settings.timers.entriesValidity) };
}

std::optional<RefusalCode> Runtime::State::checkHead(const KeyDigest& key, const std::string& path) const
{
    const auto snapshot = this->isReady ? this->decisions->getSnapshot() : nullptr;
    if (!snapshot || !snapshot->governance)
        return RefusalCode::NotReady;
    return checkRequestHead(*snapshot->governance, key, path, this->settings.region);
}

void Runtime::State::noteEnd()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->hasEnded = true;
    }
    this->condition.notify_all();
}

//======================================================================================================================

Runtime::Runtime(const VmSettings& settings)
    : state(std::make_unique<State>(settings))
{
}

Runtime::~Runtime()
{
    this->stop();
}

Outcome<void> Runtime::start()
{
    Outcome<void> started = this->state->start();
    if (!started)
        this->state->stop();
    return started;
}

void Runtime::waitUntilEnded()
{
    std::unique_lock lock(this->state->mutex);
    this->state->condition.wait(lock, [this] { return this->state->hasEnded; });
}

void Runtime::requestStop()
{
    {
        const std::scoped_lock lock(this->state->mutex);
        if (this->state->isStopRequested)
            this->state->hasEnded = true;
        this->state->isStopRequested = true;
    }
    this->state->condition.notify_all();
    this->state->entrance->beginLeaving();
    this->state->decisions->push(StopRequested {});
}

void Runtime::stop()
{
    this->state->stop();
}

} // namespace papayashelf
