#pragma once

#include "configuration/configuration.h"
#include "platform/store/StoreCall.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** The key-value service on virtual time, with the faults that it can have. */
class TestStore {
public:
    /** Which of a VM's parts made a call. */
    enum class Caller {
        Revisions,
        Withdrawals,
    };

    struct Reply {
        Caller caller = Caller::Revisions;
        std::uint64_t call = 0;
        StoreReply reply;
    };

    /** Takes a call; its effect, if any, is at once, its answer some time later. */
    void submit(Milliseconds now, const VmId& vm, Caller caller, const StoreCall& call)
    {
        ++this->calls[vm];
        if (this->isSilent)
            return;
        const bool isWatch = call.request.operation == StoreOperation::Watch;
        Waiting waiting { caller, call, now + delay, now + call.request.wait, StoreReply(Error {}) };
        if (this->isDown)
            waiting.reply = Error { ErrorCode::Unavailable, "down" };
        else if (!isWatch)
            waiting.reply = this->perform(call.request);
        waiting.isDecided = this->isDown || !isWatch;
        this->waiting[vm].push_back(std::move(waiting));
    }

    /** The answers that are there for a VM. */
    std::vector<Reply> collect(Milliseconds now, const VmId& vm)
    {
        std::vector<Reply> replies;
        auto& calls = this->waiting[vm];
        for (auto call = calls.begin(); call != calls.end();) {
            if (!this->isReady(now, *call)) {
                ++call;
                continue;
            }
            if (!call->isDecided)
                call->reply = this->isDown ? StoreReply(Error { ErrorCode::Unavailable, "down" })
                                           : this->perform(call->call.request);
            if (!this->isSilent)
                replies.push_back({ call->caller, call->call.call, std::move(call->reply) });
            call = calls.erase(call);
        }
        return replies;
    }

    bool hasWaiting(const VmId& vm) const
    {
        const auto found = this->waiting.find(vm);
        return found != this->waiting.end() && !found->second.empty();
    }

    /** Writes as the publishing step does. */
    void publish(const Revision& revision)
    {
        const StoredRevision stored = encodeRevision(revision).value();
        for (const StoredPart& part : stored.parts) {
            if (this->entries.count(part.key) == 0)
                this->put(part.key, part.value);
        }
        this->put(std::string(manifestKey), stored.manifest);
    }

    void put(const std::string& key, const std::string& value)
    {
        StoreEntry& entry = this->entries[key];
        entry = { key, value, entry.version + 1 };
    }

    StoreEntry get(const std::string& key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? StoreEntry { key, {}, 0 } : found->second;
    }

    bool isDown = false; /**< Calls fail at once and watches end. */
    bool isSilent = false; /**< Calls get no answer at all. */
    bool losesWriteAnswers = false; /**< Writes take effect and end as OutcomeUnknown. */
    std::map<std::string, StoreEntry> entries;
    std::map<VmId, std::int64_t> calls;

private:
    static constexpr Milliseconds delay { 10 };

    struct Waiting {
        Caller caller = Caller::Revisions;
        StoreCall call;
        Milliseconds readyAt;
        Milliseconds watchEnd;
        StoreReply reply;
        bool isDecided = false;
    };

    bool isReady(Milliseconds now, const Waiting& waiting) const
    {
        if (now < waiting.readyAt)
            return false;
        const StoreRequest& request = waiting.call.request;
        return waiting.isDecided || this->isDown || now >= waiting.watchEnd
            || this->get(request.key).version != request.expectedVersion;
    }

    StoreReply perform(const StoreRequest& request)
    {
        if (request.operation != StoreOperation::CompareAndSwap)
            return std::vector<StoreEntry> { this->get(request.key) };
        if (this->get(request.key).version != request.expectedVersion)
            return Error { ErrorCode::Conflict, "the version differs" };
        this->put(request.key, request.value);
        if (this->losesWriteAnswers)
            return Error { ErrorCode::OutcomeUnknown, "no answer" };
        return std::vector<StoreEntry> { this->get(request.key) };
    }

    std::map<VmId, std::vector<Waiting>> waiting;
};

} // namespace papayashelf
