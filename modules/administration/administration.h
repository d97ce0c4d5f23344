#pragma once

/**
    The administration module contains the HTTP server for operators and the command-line client. The server has a
    key of its own.

    It transports requests and answers only; the application interprets them. Depends on foundation, Boost.Beast and
    OpenSSL.
*/

#include "administration/server/AdministrationServer.h"
