#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace papayashelf {

/**
    The withdrawn keys that one VM knows, with a digest that is kept up to date.

    An entry is dropped only by the revision in force: when it is so many revisions later than the withdrawal and does
    not name the key. Thread safety: none; owned by one thread.
*/
class WithdrawalTable {
public:
    /** @param keptRevisions  how many revisions after its withdrawal a key may be forgotten */
    explicit WithdrawalTable(RevisionNumber keptRevisions)
        : keptRevisions(keptRevisions)
    {
    }

    /**
        Adds an entry; of two for one key the one with the later revision is kept.

        @returns whether the table changed
    */
    bool add(const Withdrawal& withdrawal);

    /** Sets the revision in force and drops what it makes superfluous. */
    void setGovernance(std::shared_ptr<const Governance> governance);

    /** Whether the revision in force makes the entry superfluous. */
    bool isSuperfluous(const Withdrawal& withdrawal) const;

    bool contains(const KeyDigest& key) const { return this->entries.count(key) > 0; }

    /** The entry for a key, or nothing. */
    std::optional<Withdrawal> find(const KeyDigest& key) const;

    /** Every entry, by key. */
    std::vector<Withdrawal> getAll() const;

    std::size_t size() const { return this->entries.size(); }

    /** Hash over all entries; equal tables have equal digests. */
    std::uint64_t getDigest() const { return this->digest; }

private:
    RevisionNumber keptRevisions;
    std::shared_ptr<const Governance> governance;
    std::map<KeyDigest, RevisionNumber> entries;
    std::uint64_t digest = 0;
};

} // namespace papayashelf
