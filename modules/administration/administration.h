#pragma once

/**
    administration holds the listener that operators and the command line talk to, with a key of its own.

    It carries requests and answers only; what they mean is decided by the application. Depends on foundation,
    Boost.Beast and OpenSSL.
*/

#include "administration/server/AdministrationServer.h"
