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
    The withdrawn keys that one VM knows, with a digest that is updated incrementally.

    An entry is dropped only when the revision in force does not contain the key and is at least retentionRevisions
    later than the withdrawal. Thread safety: none; owned by one thread.
*/
class WithdrawalTable {
public:
    /** @param retentionRevisions  number of revisions after which a withdrawal may be dropped */
    explicit WithdrawalTable(RevisionNumber retentionRevisions)
        : retentionRevisions(retentionRevisions)
    {
    }

    /**
        Adds an entry. Of two entries for one key, the one with the later revision is kept.

        @returns whether the table changed
    */
    bool add(const Withdrawal& withdrawal);

    /** Sets the revision in force and drops the entries that it makes obsolete. */
    void setGovernance(std::shared_ptr<const Governance> governance);

    /** Returns whether the revision in force makes the entry obsolete. */
    bool isObsolete(const Withdrawal& withdrawal) const;

    /** Returns whether the table has an entry for a key. */
    bool contains(const KeyDigest& key) const { return this->entries.count(key) > 0; }

    /** Returns the entry for a key, if there is one. */
    std::optional<Withdrawal> find(const KeyDigest& key) const;

    /** Returns all entries, sorted by key. */
    std::vector<Withdrawal> getAll() const;

    /** Returns the number of entries. */
    std::size_t size() const { return this->entries.size(); }

    /** Returns a hash over all entries. Equal tables have equal digests. */
    std::uint64_t getDigest() const { return this->digest; }

private:
    RevisionNumber retentionRevisions;
    std::shared_ptr<const Governance> governance;
    std::map<KeyDigest, RevisionNumber> entries;
    std::uint64_t digest = 0;
};

} // namespace papayashelf
