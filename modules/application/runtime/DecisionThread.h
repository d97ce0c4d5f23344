#pragma once

#include "application/runtime/PlatformThread.h"
#include "entrance/entrance.h"
#include "foundation/concurrency/Doorbell.h"
#include "foundation/concurrency/SharedRing.h"
#include "node/node.h"
#include "peers/transport/PeerTransport.h"
#include <atomic>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace papayashelf {

/** What surrounds the decisions; all of it outlives the thread. */
struct DecisionSurroundings {
    EntranceServer& entrance;
    PeerTransport& peers;
    PlatformThread& platform;
};

/**
    Runs a Node on one thread: takes events from rings, hands them over, and carries the actions out.

    Thread safety: methods that say so may be called from any thread; the others belong to one owning thread.
*/
class DecisionThread {
public:
    /**
        @param doorbell  rung by whoever has something for this thread; must outlive it
        @param onEnd     called on this thread when the VM has stopped in order or was replaced by a later life
    */
    DecisionThread(const NodeSettings& settings, Doorbell& doorbell, std::function<void()> onEnd);
    ~DecisionThread();
    DecisionThread(const DecisionThread&) = delete;
    DecisionThread& operator=(const DecisionThread&) = delete;

    //==================================================================================================================
    /** Starts the thread. Precondition: called once. */
    void start(const DecisionSurroundings& surroundings);

    /** Ends the thread at once. Idempotent. */
    void stop();

    //==================================================================================================================
    /** Hands an event over; false if its ring is full, and then it is lost. Any thread. */
    bool push(NodeEvent&& event);

    //==================================================================================================================
    /** The latest snapshot; null before the first. Any thread. */
    std::shared_ptr<const NodeSnapshot> getSnapshot() const { return std::atomic_load(&this->snapshot); }

    /**
        Runs a question about the node on the decision thread and waits for the answer. Any other thread.

        @returns nothing if the thread has ended or does not answer in time
    */
    template <typename Answer> std::optional<Answer> ask(std::function<Answer(const Node&)> question);

private:
    using Question = std::function<void(const Node&)>;

    void run();
    bool drainOnce();
    void handle(const NodeEvent& event);
    void carryOut(NodeOutput&& output);
    void pushDirectives();
    void refreshSnapshot(Milliseconds now);
    void updateLoadSources(const NodeSnapshot& taken);

    Clock clock;
    Node node;
    std::function<void()> onEnd;
    Doorbell& doorbell;
    std::optional<DecisionSurroundings> surroundings;
    SharedRing<NodeEvent> peerEvents; /**< May overflow: messages of peers are made good by later ones. */
    SharedRing<NodeEvent> ownEvents; /**< Replies of the platform and wishes of operators. */
    SharedRing<Question> questions;
    std::atomic<bool> isStopping = false;
    std::thread thread;
    std::shared_ptr<const NodeSnapshot> snapshot;
    std::vector<std::deque<RequestDirective>> waitingDirectives;
    std::vector<Upstream> loadSources;
    Milliseconds nextSnapshot;
    bool hasEnded = false;
};

template <typename Answer> std::optional<Answer> DecisionThread::ask(std::function<Answer(const Node&)> question)
{
    constexpr std::chrono::seconds longestWait { 2 };
    auto promise = std::make_shared<std::promise<Answer>>();
    std::future<Answer> answer = promise->get_future();
    const bool isAsked = this->questions.push(
        [promise, question = std::move(question)](const Node& asked) { promise->set_value(question(asked)); });
    this->doorbell.ring();
    if (!isAsked || answer.wait_for(longestWait) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

} // namespace papayashelf
