#include "publication/publishing/Publisher.h"

#include "publication/governance/GovernanceBuilding.h"
#include "settings/reading/ConfigNode.h"
#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace papayashelf {

namespace {

constexpr int mostFailures = 5;
constexpr int mostManifestWrites = 5;
constexpr int mostWithdrawalWrites = 10;

StoreRequest get(std::string_view key)
{
    return { StoreOperation::Get, std::string(key), {}, 0, {} };
}

StoreRequest swap(std::string_view key, std::string value, StoreVersion expected)
{
    return { StoreOperation::CompareAndSwap, std::string(key), std::move(value), expected, {} };
}

/** Paths of documents that say the voted totals and differ; the totals are no part of a Governance. */
std::vector<std::string> changedFleets(const Revision& base, const std::map<std::string, std::string>& documents)
{
    std::vector<std::string> paths;
    for (const auto& [path, body] : documents) {
        const auto before = base.documents.find(path);
        if (before != base.documents.end() && before->second == body)
            continue;
        const auto root = parseJson(body);
        if (root && root.value().member("fleet"))
            paths.push_back(path);
    }
    return paths;
}

} // namespace

Publisher::Publisher(Publication publication)
    : publication(std::move(publication))
{
    this->call(Step::ReadManifest, get(manifestKey));
}

std::optional<StoreCall> Publisher::nextCall() const
{
    if (this->step == Step::Ready || this->step == Step::Over)
        return std::nullopt;
    return StoreCall { this->callNumber, this->request };
}

void Publisher::receive(const StoreReply& reply)
{
    assert(this->nextCall());
    if (!reply && reply.error().code == ErrorCode::Unavailable) {
        this->callAgain(reply.error());
        return;
    }
    switch (this->step) {
    case Step::ReadManifest:
        return this->readManifest(reply);
    case Step::ReadPart:
        return this->readPart(reply);
    case Step::ReadWithdrawals:
        return this->readWithdrawals(reply);
    case Step::WriteWithdrawals:
        return this->writtenWithdrawals(reply);
    case Step::WritePart:
        return this->writtenPart(reply);
    case Step::WriteManifest:
        return this->writtenManifest(reply);
    case Step::ReadBack:
        return this->decide(reply);
    case Step::Ready:
    case Step::Over:
        return;
    }
}

void Publisher::commit()
{
    assert(this->isReadyToCommit());
    this->isWithdrawing = true;
    this->writeWithdrawals();
}

void Publisher::call(Step newStep, StoreRequest newRequest)
{
    this->step = newStep;
    this->request = std::move(newRequest);
    this->failures = 0;
    ++this->callNumber;
}

void Publisher::callAgain(const Error& error)
{
    ++this->callNumber;
    if (++this->failures < mostFailures)
        return;
    if (this->mayBeCommitted)
        return this->end(PublicationEnd::OutcomeUnknown, this->number, error.detail);
    if (this->step == Step::ReadBack)
        return this->end(PublicationEnd::LostRace, 0, "another change came first; it could not be read");
    this->end(PublicationEnd::Unavailable, this->number, error.detail);
}

void Publisher::end(PublicationEnd how, RevisionNumber revision, std::string detail)
{
    this->step = Step::Over;
    this->ending = PublicationResult { how, revision, std::move(detail) };
}

void Publisher::readManifest(const StoreReply& reply)
{
    if (!reply || reply.value().empty())
        return this->end(PublicationEnd::Damaged, 0, "the manifest cannot be read");
    const StoreEntry& entry = reply.value().front();
    this->manifestVersion = entry.version;
    this->baseText = entry.value;
    if (entry.version == 0)
        return this->call(Step::ReadWithdrawals, get(withdrawalsKey));

    auto decoded = decodeManifest(entry.value);
    auto stampRead = readStamp(entry.value);
    if (!decoded || !stampRead) {
        const Error& error = decoded ? stampRead.error() : decoded.error();
        return this->end(PublicationEnd::Damaged, 0, "the manifest cannot be read: " + error.detail);
    }
    this->baseManifest = std::move(decoded.value());
    this->baseStamp = std::move(stampRead.value());
    this->readNextPart();
}

void Publisher::readNextPart()
{
    for (const ManifestPart& part : this->baseManifest.parts) {
        if (!this->baseParts.contains(part.key))
            return this->call(Step::ReadPart, get(part.key));
    }
    this->readBase();
}

void Publisher::readPart(const StoreReply& reply)
{
    if (!reply || reply.value().empty() || reply.value().front().version == 0)
        return this->end(PublicationEnd::Damaged, this->baseManifest.number, this->request.key + " is missing");
    this->baseParts[this->request.key] = reply.value().front().value;
    this->readNextPart();
}

void Publisher::readBase()
{
    auto assembled = assembleRevision(this->baseManifest, this->baseParts);
    if (!assembled)
        return this->end(PublicationEnd::Damaged, this->baseManifest.number, assembled.error().detail);
    this->base = std::move(assembled.value());
    this->call(Step::ReadWithdrawals, get(withdrawalsKey));
}

void Publisher::readWithdrawals(const StoreReply& reply)
{
    if (!reply || reply.value().empty())
        return this->end(PublicationEnd::Damaged, this->base.number, "the withdrawn keys cannot be read");
    const StoreEntry& entry = reply.value().front();
    this->withdrawalsVersion = entry.version;
    this->withdrawals.clear();
    if (entry.version > 0) {
        auto decoded = decodeWithdrawals(entry.value);
        if (!decoded)
            return this->end(PublicationEnd::Damaged, this->base.number,
                "the withdrawn keys cannot be read: " + decoded.error().detail);
        this->withdrawals = std::move(decoded.value());
    }
    if (this->refuseWithdrawnKeys())
        return;
    if (this->isWithdrawing)
        this->writeWithdrawals();
    else
        this->prepare();
}

bool Publisher::refuseWithdrawnKeys()
{
    for (const Withdrawal& withdrawal : this->withdrawals) {
        const auto granted = this->publication.governance.keys.find(withdrawal.key);
        if (granted == this->publication.governance.keys.end())
            continue;
        this->end(PublicationEnd::Refused, this->base.number,
            "the key " + withdrawal.key.string() + " of " + granted->second.workspace.string()
                + " was withdrawn and stays so; take it out and grant a new one");
        return true;
    }
    return false;
}

void Publisher::prepare()
{
    auto inForce = buildGovernance(this->base);
    if (!inForce)
        return this->end(PublicationEnd::Damaged, this->base.number, inForce.error().detail);
    this->changes = differenceBetween(inForce.value(), this->publication.governance);
    for (const std::string& path : changedFleets(this->base, this->publication.documents))
        this->changes.lines.push_back("~ fleet in " + path);

    const bool isBehind = this->publication.highestInForce > this->base.number;
    this->number = std::max(this->base.number, this->publication.highestInForce) + 1;
    this->digest = digestOf(this->publication.documents);
    if (this->base.number > 0 && !isBehind && this->digest == this->baseManifest.digest)
        return this->end(PublicationEnd::Unchanged, this->base.number, "what is in force says the same");

    auto encoded = encodeRevision({ this->number, this->digest, this->publication.documents });
    if (!encoded)
        return this->end(PublicationEnd::Refused, this->base.number, "too large: " + encoded.error().detail);
    this->stamp = { this->publication.author, this->publication.publishedAt, this->baseManifest.digest };
    this->manifest = stampManifest(encoded.value().manifest, this->stamp);
    for (StoredPart& part : encoded.value().parts) {
        if (!this->baseParts.contains(part.key))
            this->partsToWrite.push_back(std::move(part));
    }
    this->step = Step::Ready;
}

void Publisher::writeWithdrawals()
{
    std::set<KeyDigest> known;
    for (const Withdrawal& withdrawal : this->withdrawals)
        known.insert(withdrawal.key);
    std::vector<Withdrawal> all = this->withdrawals;
    for (const KeyDigest& key : this->changes.withdrawnKeys) {
        if (!known.contains(key))
            all.push_back({ key, this->base.number });
    }
    if (all.size() == this->withdrawals.size())
        return this->writeNextPart();
    if (++this->withdrawalWrites > mostWithdrawalWrites)
        return this->end(PublicationEnd::Unavailable, this->base.number, "the withdrawn keys cannot be written");
    auto encoded = encodeWithdrawals(all);
    if (!encoded)
        return this->end(PublicationEnd::Refused, this->base.number, "too large: " + encoded.error().detail);
    this->call(Step::WriteWithdrawals, swap(withdrawalsKey, std::move(encoded.value()), this->withdrawalsVersion));
}

void Publisher::writtenWithdrawals(const StoreReply& reply)
{
    if (reply)
        return this->writeNextPart();
    const ErrorCode code = reply.error().code;
    // Another operator's set came first, or the answer was lost: read the set and add what is still missing.
    if (code == ErrorCode::Conflict || code == ErrorCode::OutcomeUnknown)
        return this->call(Step::ReadWithdrawals, get(withdrawalsKey));
    this->end(PublicationEnd::Unavailable, this->base.number, reply.error().detail);
}

void Publisher::writeNextPart()
{
    if (this->partsToWrite.empty())
        return this->writeManifest();
    const StoredPart& part = this->partsToWrite.back();
    this->call(Step::WritePart, swap(part.key, part.value, 0));
}

void Publisher::writtenPart(const StoreReply& reply)
{
    // A part's key is the digest of its value: one that is already there is the same.
    if (reply || reply.error().code == ErrorCode::Conflict) {
        this->partsToWrite.pop_back();
        return this->writeNextPart();
    }
    if (reply.error().code == ErrorCode::OutcomeUnknown)
        return this->callAgain(reply.error());
    this->end(PublicationEnd::Unavailable, this->base.number, reply.error().detail);
}

void Publisher::writeManifest()
{
    ++this->manifestWrites;
    this->call(Step::WriteManifest, swap(manifestKey, this->manifest, this->manifestVersion));
}

void Publisher::writtenManifest(const StoreReply& reply)
{
    if (reply)
        return this->end(PublicationEnd::Committed, this->number, "committed");
    const ErrorCode code = reply.error().code;
    if (code == ErrorCode::OutcomeUnknown)
        this->mayBeCommitted = true;
    if (code == ErrorCode::Conflict || code == ErrorCode::OutcomeUnknown)
        return this->readBack();
    const auto how = this->mayBeCommitted ? PublicationEnd::OutcomeUnknown : PublicationEnd::Unavailable;
    this->end(how, this->number, reply.error().detail);
}

void Publisher::readBack()
{
    this->call(Step::ReadBack, get(manifestKey));
}

void Publisher::decide(const StoreReply& reply)
{
    if (!reply || reply.value().empty())
        return this->end(PublicationEnd::OutcomeUnknown, this->number, "the manifest cannot be read back");
    const StoreEntry& entry = reply.value().front();
    if (entry.version == this->manifestVersion && entry.value == this->baseText) {
        // Ours has no effect yet, and may still have one. The same write again is safe: only one of the two can win.
        if (this->manifestWrites < mostManifestWrites)
            return this->writeManifest();
        return this->end(PublicationEnd::OutcomeUnknown, this->number, "the manifest's writes get no answer");
    }
    const auto decoded = decodeManifest(entry.value);
    const auto stampRead = readStamp(entry.value);
    if (!decoded || !stampRead)
        return this->end(PublicationEnd::OutcomeUnknown, this->number, "the manifest cannot be understood");
    this->decideFrom(entry, decoded.value(), stampRead.value());
}

void Publisher::decideFrom(const StoreEntry& entry, const Manifest& found, const PublicationStamp& foundStamp)
{
    const std::string who = "revision " + std::to_string(found.number) + " by " + foundStamp.string();
    if (entry.value == this->manifest)
        return this->end(PublicationEnd::Committed, this->number, "committed; its answer was lost");
    if (found.digest == this->digest)
        return this->end(PublicationEnd::Unchanged, found.number, who + " says the same");
    if (foundStamp.previousDigest == this->digest && found.number > this->number)
        return this->end(PublicationEnd::Committed, this->number, "committed, and followed by " + who);
    // If the first write after the version that ours named is not ours, then ours can never succeed.
    if (!this->mayBeCommitted || entry.version == this->manifestVersion + 1)
        return this->end(PublicationEnd::LostRace, found.number, who + " came first");
    this->end(
        PublicationEnd::OutcomeUnknown, found.number, who + " is in force; whether ours was before cannot be told");
}

} // namespace papayashelf
