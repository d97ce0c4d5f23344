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

/** A key-value store on virtual time that can simulate faults. */
class TestStore {
public:
    /** Component of a VM that made a call. */
    enum class Caller {
        Revisions,
        Withdrawals,
    };

    /** A reply to a call of a VM. */
    struct Reply {
        Caller caller = Caller::Revisions;
        std::uint64_t call = 0;
        StoreReply reply;
    };

    /** Submits a call. A write takes effect at once; the reply follows after a delay or, for a watch, on a change. */
    void submit(Milliseconds now, const VmId& vm, Caller caller, const StoreCall& call)
    {
        ++this->calls[vm];
        if (this->isSilent)
            return;
        const bool isWatch = call.request.operation == StoreOperation::Watch;
        PendingCall pendingCall { caller, call, now + replyDelay, now + call.request.wait, StoreReply(Error {}) };
        if (this->isDown)
            pendingCall.reply = Error { ErrorCode::Unavailable, "the store is down" };
        else if (!isWatch)
            pendingCall.reply = this->perform(call.request);
        pendingCall.isDecided = this->isDown || !isWatch;
        this->pendingCalls[vm].push_back(std::move(pendingCall));
    }

    /** Returns and removes the replies that are ready for a VM. */
    std::vector<Reply> collect(Milliseconds now, const VmId& vm)
    {
        std::vector<Reply> replies;
        auto& calls = this->pendingCalls[vm];
        for (auto call = calls.begin(); call != calls.end();) {
            if (!this->isReplyReady(now, *call)) {
                ++call;
                continue;
            }
            if (!call->isDecided)
                call->reply = this->isDown ? StoreReply(Error { ErrorCode::Unavailable, "the store is down" })
                                           : this->perform(call->call.request);
            if (!this->isSilent)
                replies.push_back({ call->caller, call->call.call, std::move(call->reply) });
            call = calls.erase(call);
        }
        return replies;
    }

    /** Returns whether a VM has calls that were not answered yet. */
    bool hasPendingCalls(const VmId& vm) const
    {
        const auto found = this->pendingCalls.find(vm);
        return found != this->pendingCalls.end() && !found->second.empty();
    }

    /** Writes a revision as the publisher does: new parts first, then the manifest. */
    void publish(const Revision& revision)
    {
        const StoredRevision stored = encodeRevision(revision).value();
        for (const StoredPart& part : stored.parts) {
            if (this->entries.count(part.key) == 0)
                this->put(part.key, part.value);
        }
        this->put(std::string(manifestKey), stored.manifest);
    }

    /** Writes a value and increments its version. */
    void put(const std::string& key, const std::string& value)
    {
        StoreEntry& entry = this->entries[key];
        entry = { key, value, entry.version + 1 };
    }

    /** Returns an entry, with version 0 if the key is missing. */
    StoreEntry get(const std::string& key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? StoreEntry { key, {}, 0 } : found->second;
    }

    bool isDown = false; /**< Calls and pending watches fail. */
    bool isSilent = false; /**< Calls get no reply. */
    bool losesWriteAnswers = false; /**< Writes take effect but return OutcomeUnknown. */
    std::map<std::string, StoreEntry> entries;
    std::map<VmId, std::int64_t> calls;

private:
    static constexpr Milliseconds replyDelay { 10 };

    struct PendingCall {
        Caller caller = Caller::Revisions;
        StoreCall call;
        Milliseconds readyAt;
        Milliseconds watchEnd;
        StoreReply reply;
        bool isDecided = false;
    };

    bool isReplyReady(Milliseconds now, const PendingCall& pendingCall) const
    {
        if (now < pendingCall.readyAt)
            return false;
        const StoreRequest& request = pendingCall.call.request;
        return pendingCall.isDecided || this->isDown || now >= pendingCall.watchEnd
            || this->get(request.key).version != request.expectedVersion;
    }

    StoreReply perform(const StoreRequest& request)
    {
        if (request.operation != StoreOperation::CompareAndSwap)
            return std::vector<StoreEntry> { this->get(request.key) };
        if (this->get(request.key).version != request.expectedVersion)
            return Error { ErrorCode::Conflict, "the stored version differs from the expected one" };
        this->put(request.key, request.value);
        if (this->losesWriteAnswers)
            return Error { ErrorCode::OutcomeUnknown, "the write got no answer" };
        return std::vector<StoreEntry> { this->get(request.key) };
    }

    std::map<VmId, std::vector<PendingCall>> pendingCalls;
};

} // namespace papayashelf
