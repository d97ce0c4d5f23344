#include "application/runtime/DecisionThread.h"

#include "foundation/logging/JsonLog.h"
#include "peers/codec/EnvelopeCodec.h"

namespace papayashelf {

namespace {

constexpr std::size_t waitingPeerEvents = 16'384;
constexpr std::size_t waitingOwnEvents = 16'384;
constexpr std::size_t waitingQuestions = 64;
constexpr int eventsPerTurn = 256;
constexpr Milliseconds snapshotPeriod { 200 };
constexpr Milliseconds loadPeriod { 1000 };

} // namespace

DecisionThread::DecisionThread(const NodeSettings& settings, Doorbell& bell, std::function<void()> endHandler)
    : node(settings)
    , onEnd(std::move(endHandler))
    , doorbell(bell)
    , peerEvents(waitingPeerEvents)
    , ownEvents(waitingOwnEvents)
    , questions(waitingQuestions)
{
}

DecisionThread::~DecisionThread()
{
    this->stop();
}

void DecisionThread::start(const DecisionSurroundings& around)
{
    this->surroundings.emplace(around);
    this->waitingDirectives.resize(around.entrance.getThreadCount());
    this->refreshSnapshot(this->clock.now());
    this->thread = std::thread([this] { this->run(); });
}

void DecisionThread::stop()
{
    this->isStopping = true;
    this->doorbell.ring();
    if (this->thread.joinable())
        this->thread.join();
}

bool DecisionThread::push(NodeEvent&& event)
{
    const bool isOfPeer = std::holds_alternative<PeerMessageArrived>(event);
    const bool isTaken = (isOfPeer ? this->peerEvents : this->ownEvents).push(std::move(event));
    this->doorbell.ring();
    return isTaken;
}

void DecisionThread::run()
{
    while (!this->isStopping) {
        const bool wasBusy = this->drainOnce();
        const Milliseconds now = this->clock.now();
        if (now >= this->node.getNextDeadline())
            this->carryOut(this->node.tick(now));
        this->pushDirectives();
        if (now >= this->nextSnapshot)
            this->refreshSnapshot(now);
        const bool isOver = this->node.isStopped(now) || this->node.isReplaced();
        if (isOver && !this->hasEnded) {
            this->hasEnded = true;
            logEvent(LogLevel::Info, this->node.isReplaced() ? "replaced" : "drained");
            this->onEnd();
        }
        if (!wasBusy)
            this->doorbell.wait(std::min(this->node.getNextDeadline(), this->nextSnapshot) - now);
    }
}

bool DecisionThread::drainOnce()
{
    int handled = 0;
    EntranceServer& entrance = this->surroundings->entrance;
    for (std::size_t index = 0; index < entrance.getThreadCount(); ++index) {
        for (int count = 0; count < eventsPerTurn; ++count) {
            std::optional<RequestReport> report = entrance.takeReport(index);
            if (!report)
                break;
            this->handle(NodeEvent(std::move(*report)));
            ++handled;
        }
    }
    for (SharedRing<NodeEvent>* ring : { &this->ownEvents, &this->peerEvents }) {
        for (int count = 0; count < eventsPerTurn; ++count) {
            const std::optional<NodeEvent> event = ring->pop();
            if (!event)
                break;
            this->handle(*event);
            ++handled;
        }
    }
    while (const std::optional<Question> question = this->questions.pop())
        (*question)(this->node);
    return handled > 0;
}

void DecisionThread::handle(const NodeEvent& event)
{
    this->carryOut(this->node.handle(this->clock.now(), event));
}

void DecisionThread::carryOut(NodeOutput&& output)
{
    const Member& self = this->node.getSelf();
    for (const Addressed<PeerMessage>& addressed : output.sends) {
        const std::optional<Endpoint> endpoint = this->node.findPeerEndpoint(addressed.to);
        if (!endpoint)
            continue;
        const EnvelopeSender sender { self.vm, self.incarnation, this->node.getTimeline().getLogicalTime() };
        this->surroundings->peers.send(addressed.to, *endpoint, encodeEnvelope(sender, addressed.message));
    }
    for (StoreCall& call : output.storeCalls)
        this->surroundings->platform.call(std::move(call));
    for (RequestDirective& directive : output.directives) {
        const RequestId request = std::visit([](const auto& known) { return known.request; }, directive);
        this->waitingDirectives.at(EntranceServer::threadOf(request)).push_back(std::move(directive));
    }
    this->pushDirectives();
}

void DecisionThread::pushDirectives()
{
    for (std::size_t index = 0; index < this->waitingDirectives.size(); ++index) {
        std::deque<RequestDirective>& waiting = this->waitingDirectives[index];
        while (!waiting.empty() && this->surroundings->entrance.pushDirective(index, std::move(waiting.front())))
            waiting.pop_front();
    }
}

void DecisionThread::refreshSnapshot(Milliseconds now)
{
    this->nextSnapshot = now + snapshotPeriod;
    auto taken = std::make_shared<const NodeSnapshot>(this->node.takeSnapshot(now));
    this->updateLoadSources(*taken);
    std::atomic_store(&this->snapshot, std::shared_ptr<const NodeSnapshot>(std::move(taken)));
}

void DecisionThread::updateLoadSources(const NodeSnapshot& taken)
{
    if (taken.watchedUpstreams == this->loadSources)
        return;
    this->loadSources = taken.watchedUpstreams;
    std::vector<LoadSource> sources;
    for (const Upstream& upstream : this->loadSources)
        sources.push_back(LoadSource { upstream.id, upstream.endpoint });
    this->surroundings->entrance.setLoadSources(std::move(sources), loadPeriod);
}

} // namespace papayashelf
