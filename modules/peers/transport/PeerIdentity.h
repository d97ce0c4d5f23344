#pragma once

#include <grpcpp/security/auth_context.h>
#include <string_view>

namespace papayashelf {

/** Returns true if the peer's certificate has the VM's id as a subject alternative name. Thread safety: any thread. */
bool certificateNamesVm(const grpc::AuthContext& context, std::string_view vm);

} // namespace papayashelf
