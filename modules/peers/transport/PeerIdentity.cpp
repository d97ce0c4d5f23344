#include "peers/transport/PeerIdentity.h"

#include <algorithm>
#include <grpc/grpc_security_constants.h>

namespace papayashelf {

bool certificateNamesVm(const grpc::AuthContext& context, std::string_view vm)
{
    const auto names = context.FindPropertyValues(GRPC_X509_SAN_PROPERTY_NAME);
    return std::any_of(names.begin(), names.end(),
        [&](const grpc::string_ref& name) { return std::string_view(name.data(), name.size()) == vm; });
}

} // namespace papayashelf
