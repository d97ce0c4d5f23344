#pragma once

#include "ShareTrace.h"
#include "shares/bucket/TokenBucket.h"

#include <deque>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace papayashelf {

/** Runs actions in order of their time. */
class ActionQueue {
public:
    void at(Milliseconds when, std::function<void()> action)
    {
        this->queue.push({ when, ++this->last, std::move(action) });
    }

    void run()
    {
        while (!this->queue.empty()) {
            Action next = this->queue.top();
            this->queue.pop();
            this->time = std::max(this->time, next.when);
            next.action();
        }
    }

    Milliseconds now() const { return this->time; }

private:
    struct Action {
        Milliseconds when;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Action& other) const
        {
            return std::pair(this->when, this->number) > std::pair(other.when, other.number);
        }
    };

    std::priority_queue<Action> queue;
    std::uint64_t last = 0;
    Milliseconds time;
};

/** A bucket before which reservations wait in order, as they do in the ledger. */
class QueuedBucket {
public:
    using Answer = std::function<void(bool)>;

    QueuedBucket(ActionQueue& actions, const ShareLimit& limit, Milliseconds filledFrom)
        : actions(actions)
        , bucket(filledFrom, Milliseconds(0))
    {
        this->bucket.setLimit(filledFrom, limit);
    }

    void reserve(std::int64_t tokens, Milliseconds patience, Answer answer)
    {
        this->waiting.push_back({ tokens, this->actions.now() + patience, std::move(answer) });
        this->serve();
    }

    void refund(Milliseconds chargedAt, std::int64_t tokens)
    {
        this->bucket.refund(this->actions.now(), chargedAt, tokens);
        this->serve();
    }

private:
    struct Waiting {
        std::int64_t tokens;
        Milliseconds deadline;
        Answer answer;
    };

    void serve()
    {
        const Milliseconds now = this->actions.now();
        while (!this->waiting.empty()) {
            Waiting& head = this->waiting.front();
            const bool isThere = this->bucket.getTokens(now) >= head.tokens;
            if (!isThere && now < head.deadline)
                break;
            if (isThere)
                this->bucket.charge(now, head.tokens);
            const Answer answer = std::move(head.answer);
            this->waiting.pop_front();
            answer(isThere);
        }
        if (this->waiting.empty())
            return;
        const std::int64_t rate = std::max<std::int64_t>(1, this->bucket.getLimit().tokensPerSecond);
        const std::int64_t missing = this->waiting.front().tokens - this->bucket.getTokens(now);
        const Milliseconds next
            = std::min(this->waiting.front().deadline, now + Milliseconds(missing * 1000 / rate + 1));
        if (this->wakesAt > now && this->wakesAt <= next)
            return;
        this->wakesAt = next;
        this->actions.at(next, [this] { this->serve(); });
    }

    ActionQueue& actions;
    TokenBucket bucket;
    std::deque<Waiting> waiting;
    Milliseconds wakesAt;
};

} // namespace papayashelf
