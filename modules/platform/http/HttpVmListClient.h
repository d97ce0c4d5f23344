#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include "platform/vms/VmRecord.h"
#include <boost/asio/io_context.hpp>
#include <functional>

namespace papayashelf {

/**
    Reads the platform's list of VMs over HTTP/1.1 and JSON, as docs/PLATFORM.md describes.

    Thread safety: none; every method and every handler runs on the thread that runs the context.
*/
class HttpVmListClient {
public:
    /** Receives the list, or Unavailable or Damaged, exactly once. */
    using Handler = std::function<void(Outcome<VmList>)>;

    /** @param context  runs all work; must outlive the client and its calls */
    HttpVmListClient(boost::asio::io_context& context, Endpoint service);

    /**
        Reads the list once.

        @param timeout  longest time to the whole answer
        @param handler  called later, never from within read()
    */
    void read(Milliseconds timeout, Handler handler);

private:
    boost::asio::io_context& context;
    Endpoint service;
};

} // namespace papayashelf
