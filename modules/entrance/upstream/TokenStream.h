#pragma once

#include "entrance/server/Sizes.h"
#include "entrance/upstream/ContentGap.h"
#include "entrance/upstream/SseReader.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Turns what an engine streams into what the caller still lacks: each token once and in order, over any number of
    attempts. Tokens count from 1.
*/
class TokenStream {
public:
    /** How the stream stands after some bytes. */
    enum class State {
        Running,
        Complete, /**< The end mark came. */
        Broken, /**< A token is missing, the engine reported an error, an event cannot be read, or no token comes. */
    };

    /** @param delivered  tokens that the caller already has */
    explicit TokenStream(std::int64_t delivered)
        : delivered(delivered)
        , isResumed(delivered > 0)
    {
    }

    /**
        Reads the next bytes of the attempt.

        @param forwarded  receives the events that go on to the caller; those before a break are whole and valid
    */
    State read(std::string_view bytes, std::string& forwarded);

    /** Tokens that the caller has, counting what was forwarded. */
    std::int64_t getDelivered() const { return this->delivered; }

    /** Prompt tokens as the engine counted them; 0 until it said. */
    std::int64_t getPromptTokens() const { return this->promptTokens; }

private:
    enum class Verdict {
        Forward,
        Drop,
        Break,
    };

    Verdict judge(std::string_view data);

    static constexpr std::size_t maximumEventBytes = mebibyte;

    SseReader events { maximumEventBytes };
    std::int64_t delivered = 0;
    ContentGap gap;
    std::int64_t promptTokens = 0;
    bool isResumed = false;
    bool hasNewToken = false; /**< Whether this attempt has brought a token that the caller lacked. */
};

} // namespace papayashelf
