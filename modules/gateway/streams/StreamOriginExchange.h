#pragma once

#include "gateway/streams/StreamOriginTable.h"
#include "gateway/vms/VmRegistry.h"
#include <optional>
#include <utility>
#include <vector>

namespace papayashelf {

/**
    Tells a few VMs what began each stream, so that any VM can find it out after the one that began it is gone.

    These VMs follow from a hash of the request's id, and at least two of them are in different failure domains where
    that spreads the streams evenly. The messages grow linearly with the number of streams, whatever the number of VMs.

    Thread safety: none; owned by one thread.
*/
class StreamOriginExchange {
public:
    /** Number of VMs that know the origin of a stream, besides the one that began it. */
    static constexpr std::size_t holderCount = 3;

    using Messages = std::vector<std::pair<const VmAnnouncement*, StreamOriginMessage>>;

    /** @param vms  must outlive the exchange */
    StreamOriginExchange(VmId vm, const VmRegistry& vms);

    /** Records the origin of a stream. Returns the messages that tell other VMs, with their receivers. */
    Messages noteOrigin(Milliseconds now, const StreamOriginNotice& notice);

    /** Returns what this VM knows of the origin of a stream. */
    std::optional<StreamOriginNotice> find(Milliseconds now, const std::string& request) const
    {
        return this->table.find(now, request);
    }

    /** Returns the questions to send for the origin of a stream, with their receivers. */
    Messages askForOrigin(const std::string& request) const;

    /** Processes a message of another VM. Returns the answer if it asks for something. */
    std::optional<StreamOriginMessage> receive(Milliseconds now, const StreamOriginMessage& message);

    /** Forgets the origins of streams that cannot be taken up any more. Call a few times a second. */
    void expire(Milliseconds now) { this->table.expire(now); }

    /** Returns the number of streams whose origins this VM knows. */
    std::size_t count() const { return this->table.count(); }

private:
    std::vector<const VmAnnouncement*> findHolders(const std::string& request) const;
    Messages addressToHolders(const std::string& request, const StreamOriginMessage& message) const;

    VmId vm;
    const VmRegistry& vms;
    StreamOriginTable table;
};

} // namespace papayashelf
