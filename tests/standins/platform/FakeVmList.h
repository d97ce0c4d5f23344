#pragma once

#include "foundation/time/Clock.h"
#include "platform/vms/VmRecord.h"
#include <deque>
#include <utility>

namespace papayashelf {

/** The platform's VM list, which shows each change only after a lag. Thread safety: none. */
class FakeVmList {
public:
    /** Changes made from now on show after the lag; earlier ones keep theirs. */
    void setLag(Milliseconds newLag) { this->lag = newLag; }

    /** Sets what the list will say. */
    void set(VmList list, Milliseconds now) { this->changes.emplace_back(now + this->lag, std::move(list)); }

    /** What the list says at this time. The time never moves back. */
    const VmList& list(Milliseconds now)
    {
        while (!this->changes.empty() && this->changes.front().first.count() <= now.count()) {
            this->shown = std::move(this->changes.front().second);
            this->changes.pop_front();
        }
        return this->shown;
    }

private:
    Milliseconds lag;
    VmList shown;
    std::deque<std::pair<Milliseconds, VmList>> changes;
};

} // namespace papayashelf
