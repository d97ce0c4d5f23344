#pragma once

#include "serving/upstream/UpstreamAttempt.h"
#include <set>

namespace papayashelf {

/**
    The requests of a process that are being read or served.

    Thread safety: none; owned by one I/O thread.
*/
class OpenRequests {
public:
    /** Keeps a request in the set for as long as the entry lives. */
    class Entry {
    public:
        /** @param all, request  must outlive the entry */
        Entry(OpenRequests& all, ActiveRequest& request)
            : all(all)
            , request(request)
        {
            this->all.requests.insert(&this->request);
        }

        ~Entry() { this->all.requests.erase(&this->request); }
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        OpenRequests& all;
        ActiveRequest& request;
    };

    /** Returns true if no request is open. */
    bool isEmpty() const { return this->requests.empty(); }

    /** Tells every open request that the VM stops; see ActiveRequest::noteStopped(). */
    void noteStopped();

private:
    std::set<ActiveRequest*> requests;
};

} // namespace papayashelf
