#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "model/governance/Governance.h"
#include "scenario/world/EventQueue.h"
#include <functional>
#include <map>
#include <memory>

namespace papayashelf {

/** One request at an upstream, from its arrival to its end. */
struct UpstreamJob {
    std::uint64_t world = 0; /**< The request as the world knows it. */
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0; /**< Of the whole answer. */
    std::int64_t resumeFrom = 0;
    std::function<void()> onExecution;
    std::function<void()> onBegan;
    std::function<void(AttemptResult, std::int64_t delivered, std::int64_t processed)> onEnded;
};

/**
    An upstream in virtual time: some slots, a time to the first token, a time a token, and faults on command.

    Thread safety: none.
*/
class VirtualUpstream {
public:
    VirtualUpstream(const Upstream& upstream, ServiceKind kind, EventQueue& queue);

    /** Takes a job; its functions are called later. @returns the number to cancel it by */
    std::uint64_t start(UpstreamJob job);

    /** Ends a job early; its end is reported with the given result. */
    void stop(std::uint64_t number, AttemptResult result);

    /** Tokens that a running job has delivered so far, those before its resume included. */
    std::int64_t getDelivered(std::uint64_t number) const;

    /** Dies: everything in it is cut, everything later is not sent. */
    void kill();

    /** Takes requests and says nothing more. */
    void silence()
    {
        this->isSilent = true;
        this->silentSince = this->queue.now();
    }

    bool isSilenced() const { return this->isSilent; }

    /** How busy it is, for load reports. */
    LoadReport report() const;

    const Upstream& getUpstream() const { return this->upstream; }

private:
    struct Running {
        UpstreamJob job;
        bool hasBegun = false;
        Milliseconds firstTokenAt;
        Milliseconds tokenTime;
    };

    void begin(std::uint64_t number);
    void beginNext();
    void complete(std::uint64_t number);
    void finish(std::uint64_t number, AttemptResult result);
    std::int64_t producedBy(const Running& running) const;

    Upstream upstream;
    ServiceKind kind;
    EventQueue& queue;
    std::map<std::uint64_t, Running> running;
    std::map<std::uint64_t, UpstreamJob> waiting;
    std::uint64_t lastNumber = 0;
    bool isDead = false;
    bool isSilent = false;
    Milliseconds silentSince = Milliseconds::never();
};

} // namespace papayashelf
