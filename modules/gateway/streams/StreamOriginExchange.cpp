#include "gateway/streams/StreamOriginExchange.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>

namespace papayashelf {

namespace {

/**
    VMs in the order of a request's hash among which one in another failure domain is looked for. A domain with few VMs
    would otherwise hold a copy of nearly all streams.
*/
constexpr std::size_t consideredVms = 8;

constexpr std::size_t maximumQuestions = 64; /**< That are answered of one message. */

} // namespace

StreamOriginExchange::StreamOriginExchange(VmId vm, const VmRegistry& vms)
    : vm(std::move(vm))
    , vms(vms)
{
}

StreamOriginExchange::Messages StreamOriginExchange::noteOrigin(Milliseconds now, const StreamOriginNotice& notice)
{
    this->table.put(now, notice);
    // Other VMs learn of a contradiction, too.
    const std::optional<StreamOriginNotice> known = this->table.find(now, notice.request);
    if (!known)
        return {};
    return this->addressToHolders(notice.request, { this->vm, { *known }, {}, {} });
}

StreamOriginExchange::Messages StreamOriginExchange::askForOrigin(const std::string& request) const
{
    return this->addressToHolders(request, { this->vm, {}, {}, { request } });
}

std::optional<StreamOriginMessage> StreamOriginExchange::receive(Milliseconds now, const StreamOriginMessage& message)
{
    for (const StreamOriginNotice& notice : message.known)
        this->table.put(now, notice);
    if (message.questions.empty())
        return std::nullopt;
    StreamOriginMessage answer { this->vm, {}, {}, {} };
    const std::size_t answered = std::min(message.questions.size(), maximumQuestions);
    for (std::size_t index = 0; index < answered; ++index) {
        if (auto known = this->table.find(now, message.questions[index]))
            answer.known.push_back(std::move(*known));
        else
            answer.unknown.push_back(message.questions[index]);
    }
    return answer;
}

std::vector<const VmAnnouncement*> StreamOriginExchange::findHolders(const std::string& request) const
{
    std::vector<const VmAnnouncement*> candidates;
    std::vector<std::uint64_t> hashes;
    candidates.reserve(this->vms.getAll().size());
    hashes.reserve(this->vms.getAll().size());
    for (const auto& [id, status] : this->vms.getAll()) {
        candidates.push_back(&status);
        hashes.push_back(stableHash(id.string()));
    }
    std::vector<const VmAnnouncement*> ordered;
    for (const std::size_t index : rendezvousOrder(stableHash(request), hashes, consideredVms))
        ordered.push_back(candidates[index]);
    const auto elsewhere = std::find_if(ordered.begin(), ordered.end(),
        [&](const VmAnnouncement* status) { return status->failureDomain != ordered.front()->failureDomain; });
    if (elsewhere != ordered.end())
        std::rotate(ordered.begin() + 1, elsewhere, elsewhere + 1);
    ordered.resize(std::min(ordered.size(), holderCount));
    return ordered;
}

StreamOriginExchange::Messages StreamOriginExchange::addressToHolders(
    const std::string& request, const StreamOriginMessage& message) const
{
    Messages messages;
    for (const VmAnnouncement* holder : this->findHolders(request)) {
        if (holder->vm != this->vm)
            messages.emplace_back(holder, message);
    }
    return messages;
}

} // namespace papayashelf
