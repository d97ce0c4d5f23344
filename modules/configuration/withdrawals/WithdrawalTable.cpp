#include "configuration/withdrawals/WithdrawalTable.h"

#include "foundation/hashing/StableHash.h"

#include <utility>

namespace papayashelf {

namespace {

std::uint64_t hashOf(const KeyDigest& key, RevisionNumber publishedAfter)
{
    return combineHashes(stableHash(key.string()), publishedAfter);
}

} // namespace

bool WithdrawalTable::add(const Withdrawal& withdrawal)
{
    if (this->isObsolete(withdrawal))
        return false;
    const auto [entry, isNew] = this->entries.try_emplace(withdrawal.key, withdrawal.publishedAfter);
    if (!isNew && entry->second >= withdrawal.publishedAfter)
        return false;
    if (!isNew)
        this->digest ^= hashOf(entry->first, entry->second);
    entry->second = withdrawal.publishedAfter;
    this->digest ^= hashOf(entry->first, entry->second);
    return true;
}

void WithdrawalTable::setGovernance(std::shared_ptr<const Governance> governance)
{
    this->governance = std::move(governance);
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool isDropped = this->isObsolete({ entry->first, entry->second });
        if (isDropped)
            this->digest ^= hashOf(entry->first, entry->second);
        entry = isDropped ? this->entries.erase(entry) : std::next(entry);
    }
}

bool WithdrawalTable::isObsolete(const Withdrawal& withdrawal) const
{
    if (!this->governance || this->governance->keys.count(withdrawal.key) > 0)
        return false;
    const RevisionNumber inForce = this->governance->revision;
    return inForce >= withdrawal.publishedAfter && inForce - withdrawal.publishedAfter >= this->retentionRevisions;
}

std::optional<Withdrawal> WithdrawalTable::find(const KeyDigest& key) const
{
    const auto entry = this->entries.find(key);
    if (entry == this->entries.end())
        return std::nullopt;
    return Withdrawal { entry->first, entry->second };
}

std::vector<Withdrawal> WithdrawalTable::getAll() const
{
    std::vector<Withdrawal> all;
    all.reserve(this->entries.size());
    for (const auto& [key, publishedAfter] : this->entries)
        all.push_back({ key, publishedAfter });
    return all;
}

} // namespace papayashelf
