#pragma once

/**
    administration holds the listener that operators and the command line talk to, with a key of its own, and the
    small client that the command line uses.

    It carries requests and answers only; what they mean is decided by the application. Depends on foundation,
    Boost.Beast and OpenSSL.
*/

#include "administration/client/HttpCall.h"
#include "administration/server/AdministrationServer.h"
