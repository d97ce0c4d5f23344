#pragma once

#include <grpcpp/security/auth_context.h>
#include <string_view>

namespace papayashelf {

/** True if the certificate that the other side presented names the given VM. */
bool isPeer(const grpc::AuthContext& context, std::string_view vm);

} // namespace papayashelf
