#pragma once

#include "foundation/identity/Identifier.h"
#include <string>
#include <string_view>

namespace papayashelf {

/** The shortest key that is looked at; anything shorter counts as no key. */
constexpr std::size_t minimumKeyBytes = 8;

/** A caller's key in memory: kept only while its request is read, and overwritten when the object ends. */
class CallerKey {
public:
    CallerKey() = default;

    /** Takes the key out of the value of an Authorization field; empty unless that is a bearer token. */
    static CallerKey fromAuthorization(std::string_view value);

    ~CallerKey();
    CallerKey(CallerKey&& other) noexcept;
    CallerKey& operator=(CallerKey&& other) noexcept;
    CallerKey(const CallerKey&) = delete;
    CallerKey& operator=(const CallerKey&) = delete;

    bool isEmpty() const { return this->key.empty(); }

    /** The key's digest; empty for an empty key. */
    KeyDigest getDigest() const;

    /** True if the text holds the key, as it stands or percent-encoded. Never for an empty key. */
    bool isIn(std::string_view text) const;

private:
    void wipe();

    std::string key;
};

/** Resolves percent-encoded bytes; what is not a valid encoding stays as it is. */
std::string decodePercent(std::string_view text);

} // namespace papayashelf
