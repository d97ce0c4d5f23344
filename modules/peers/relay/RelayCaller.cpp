#include "peers/relay/RelayCaller.h"

#include "peers/relay/RelayCall.h"
#include "peers/relay/RelayCodec.h"

namespace papayashelf {

RelayCaller::RelayCaller(VmId vm, PeerChannels& peerChannels)
    : ownVm(std::move(vm))
    , channels(peerChannels)
{
}

void RelayCaller::start(
    const StartRelay& directive, const RelayedRequest& request, std::shared_ptr<RelayExchange> answer)
{
    RelayCall::start(
        this->channels, directive, encodeRelayHead(this->ownVm, directive, request), request.body, std::move(answer));
}

} // namespace papayashelf
