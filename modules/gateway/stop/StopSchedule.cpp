#include "gateway/stop/StopSchedule.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr Milliseconds longestAcceptance { 2'500 }; /**< Callers learn within this time that the VM stops. */
constexpr Milliseconds killMargin { 1'000 }; /**< Time before SIGKILL in which a slow VM ends its process. */
constexpr Milliseconds finalAnswerTime { 200 }; /**< Time to write the final answers of all open requests. */

} // namespace

// Requests may run at least until the last sixth of the grace, however short it is.
StopSchedule::StopSchedule(Milliseconds beganAt, Milliseconds grace)
    : acceptanceEnd(beganAt + std::min(longestAcceptance, grace * 3 / 10))
    , requestsEnd(beganAt + grace - std::min(killMargin + finalAnswerTime, grace * 3 / 20))
    , processEnd(beganAt + grace - std::min(killMargin, grace / 8))
{
}

} // namespace papayashelf
