#pragma once

#include "platform/http/StoreWire.h"
#include "standins/platform/FakeStore.h"
#include "standins/platform/FakeVmList.h"
#include <string>
#include <string_view>

namespace papayashelf {

/** What the paths of the control calls begin with. */
constexpr std::string_view controlPathPrefix = "/control/";

/**
    Carries out one control call; docs/PLATFORM.md lists them.

    @param target  the request's path
    @param body    its JSON body
    @returns 200 with the counts, 400 or 404
*/
WireAnswer control(
    const std::string& target, const std::string& body, FakeStore& store, FakeVmList& vms, Milliseconds now);

} // namespace papayashelf
