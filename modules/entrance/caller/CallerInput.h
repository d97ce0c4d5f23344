#pragma once

#include "entrance/caller/CallerStream.h"
#include "entrance/server/Signal.h"
#include "entrance/server/Sizes.h"
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>

namespace papayashelf {

/**
    What a caller has sent and nobody has read yet. It always reads ahead a little, so that the caller's going is
    noticed while its request is served; what it holds stays bounded.

    Thread safety: none; owned by one I/O thread.
*/
class CallerInput {
public:
    /**
        @param stream   must outlive the input
        @param maximum  bytes that may wait unread
    */
    CallerInput(CallerStream& stream, std::size_t maximum);

    /** Reads until the caller is gone, then calls the function. Run once, beside whatever uses the input. */
    boost::asio::awaitable<void> run(std::function<void()> onGone);

    /** Waits for more bytes than there are. False if the caller is gone, the moment has come, or after interrupt(). */
    boost::asio::awaitable<bool> waitForMore(TimePoint until);

    /** Ends the wait in progress, if any, and all later ones until discard(). */
    void interrupt();

    boost::asio::const_buffer getBytes() const { return this->buffer.cdata(); }

    /** Forgets the first bytes, and overwrites them: a key may be among them. */
    void consume(std::size_t count);

    /** From now on what comes is thrown away. */
    void discard();

    bool isEmpty() const { return this->buffer.size() == 0; }
    bool isGone() const { return this->gone; }
    bool isInterrupted() const { return this->interrupted; }

private:
    static constexpr std::size_t pieceBytes = 2 * kibibyte;

    CallerStream& stream;
    std::size_t maximum;
    boost::beast::flat_buffer buffer;
    std::array<char, pieceBytes> piece {};
    Signal more;
    Signal room;
    bool gone = false;
    bool interrupted = false;
    bool isDiscarding = false;
};

} // namespace papayashelf
