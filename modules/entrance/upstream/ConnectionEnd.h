#pragma once

#include <boost/system/error_code.hpp>

namespace papayashelf {

/**
    Tells how the other side ended a connection, from the results of all operations on its socket.

    A socket reports a loss, such as a reset, to one operation only; to those that follow, the connection seems to have
    ended in order. Whether an answer that only the end of its connection delimits is complete must therefore never be
    decided by the result of a single operation.

    Thread safety: none; owned by one thread.
*/
class ConnectionEnd {
public:
    /** Records the result of an operation. Results that tell nothing of the other side have no effect. */
    void note(const boost::system::error_code& result);

    /** Returns true if the other side has ended the connection in order and no operation reported its loss. */
    bool isOrderly() const { return this->kind == Kind::Orderly; }

    /** Returns true if the connection has ended in any way. */
    bool isKnown() const { return this->kind != Kind::None; }

private:
    enum class Kind { None, Orderly, Lost };

    Kind kind = Kind::None;
};

} // namespace papayashelf
