#pragma once

#include "configuration/configuration.h"
#include "platform/store/StoreCall.h"
#include "publication/difference/RevisionDifference.h"
#include "publication/publishing/PublicationStamp.h"
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayashelf {

/** What is to be published. */
struct Publication {
    std::map<std::string, std::string> documents; /**< Body by path, as collected. */
    Governance governance; /**< What they say. */
    std::string author;
    std::int64_t publishedAt = 0; /**< Wall clock, milliseconds since 1970. */
    RevisionNumber highestInForce = 0; /**< The highest revision seen in force at a VM; 0 if none was asked. */

    bool operator==(const Publication&) const = default;
};

/** How a publication ended. */
enum class PublicationEnd {
    Unchanged, /**< What is in force says the same. */
    Committed,
    LostRace, /**< Another revision was committed first; ours is not in force. */
    Refused, /**< It breaks a rule that only shows against the store, such as a withdrawn key granted again. */
    Unavailable, /**< The store was not reached; the manifest was not changed. */
    OutcomeUnknown, /**< Whether ours was committed cannot be told. */
    Damaged, /**< What the store holds cannot be read. */
};

/** The end of a publication, for programs and for people. */
struct PublicationResult {
    PublicationEnd end = PublicationEnd::Unchanged;
    RevisionNumber number = 0; /**< Of the revision that is ours, or in force when ours is not. */
    std::string detail;

    bool operator==(const PublicationResult&) const = default;
};

/**
    Commits one revision by compare-and-swap, one call of the store after the other.

    It first reads what is in force; then difference() tells what would change, and commit() goes on: withdrawn keys
    are written first, then the parts, then the manifest. A lost answer is settled by reading back. Calls that did
    not reach the store are made again a few times; whoever makes them may wait before each.

    Thread safety: none; owned by one thread.
*/
class Publisher {
public:
    explicit Publisher(Publication publication);

    /** The call to make now; nothing when the publisher is ready to commit or has ended. */
    std::optional<StoreCall> nextCall() const;

    /** Takes the reply to the call of nextCall(). Precondition: there was one. */
    void receive(const StoreReply& reply);

    /** True when what is in force has been read and commit() may be called. */
    bool isReadyToCommit() const { return this->step == Step::Ready; }

    /** Goes on to write. Precondition: isReadyToCommit(). */
    void commit();

    /** What the publication changes. Precondition: isReadyToCommit(), now or before. */
    const RevisionDifference& difference() const { return this->changes; }

    /** Who published what is in force; empty before the first revision. Precondition as difference(). */
    const PublicationStamp& stampInForce() const { return this->baseStamp; }

    /** The end, once there is one. */
    const std::optional<PublicationResult>& result() const { return this->ending; }

private:
    enum class Step {
        ReadManifest,
        ReadPart,
        ReadWithdrawals,
        Ready,
        WriteWithdrawals,
        WritePart,
        WriteManifest,
        ReadBack,
        Over,
    };

    void call(Step newStep, StoreRequest request);
    void callAgain(const Error& error);
    void end(PublicationEnd how, RevisionNumber number, std::string detail);
    void readManifest(const StoreReply& reply);
    void readNextPart();
    void readPart(const StoreReply& reply);
    void readBase();
    void readWithdrawals(const StoreReply& reply);
    void prepare();
    bool refuseWithdrawnKeys();
    void writeWithdrawals();
    void writtenWithdrawals(const StoreReply& reply);
    void writeNextPart();
    void writtenPart(const StoreReply& reply);
    void writeManifest();
    void writtenManifest(const StoreReply& reply);
    void readBack();
    void decide(const StoreReply& reply);
    void decideFrom(const StoreEntry& entry, const Manifest& manifest, const PublicationStamp& stamp);

    Publication publication;
    Step step = Step::Over;
    std::uint64_t callNumber = 0;
    StoreRequest request;
    int failures = 0; /**< Of the present call. */
    int manifestWrites = 0;
    int withdrawalWrites = 0;
    bool mayBeCommitted = false; /**< A write of the manifest went out and got no answer. */
    bool isWithdrawing = false; /**< Past commit(): a read of the withdrawals goes on to their write. */

    StoreVersion manifestVersion = 0;
    std::string baseText; /**< The manifest as it was read. */
    Manifest baseManifest;
    PublicationStamp baseStamp;
    std::map<std::string, std::string> baseParts;
    Revision base;
    StoreVersion withdrawalsVersion = 0;
    std::vector<Withdrawal> withdrawals;

    RevisionDifference changes;
    RevisionNumber number = 0;
    std::string digest;
    PublicationStamp stamp;
    std::vector<StoredPart> partsToWrite;
    std::string manifest;
    std::optional<PublicationResult> ending;
};

/** Makes calls of the key-value service one by one. */
template <typename Store>
concept KeyValueStore = requires(Store& store, const StoreRequest& request)
{
    {
        store.call(request)
        } -> std::same_as<StoreReply>;
};

/** Makes the publisher's calls until it is ready to commit or has ended. */
template <KeyValueStore Store> void drive(Publisher& publisher, Store& store)
{
    while (const auto call = publisher.nextCall())
        publisher.receive(store.call(call->request));
}

} // namespace papayashelf
