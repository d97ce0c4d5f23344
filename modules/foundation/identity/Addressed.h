#pragma once

#include "foundation/identity/Identifier.h"

namespace papayashelf {

/** A message and the VM that it is for. */
template <typename Message> struct Addressed {
    VmId to;
    Message message;

    bool operator==(const Addressed&) const = default;
};

} // namespace papayashelf
