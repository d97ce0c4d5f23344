#include "entrance/request/CallerKey.h"

#include <boost/beast/core/string.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <utility>

namespace papayashelf {

namespace {

int hexadecimalValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isEncoded = text[index] == '%' && index + 2 < text.size();
        const int high = isEncoded ? hexadecimalValue(text[index + 1]) : -1;
        const int low = isEncoded ? hexadecimalValue(text[index + 2]) : -1;
        if (high < 0 || low < 0) {
            decoded.push_back(text[index]);
            continue;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        index += 2;
    }
    return decoded;
}

CallerKey CallerKey::fromAuthorization(std::string_view value)
{
    constexpr std::string_view scheme = "bearer ";
    CallerKey result;
    if (value.size() < scheme.size() || !boost::beast::iequals(value.substr(0, scheme.size()), scheme))
        return result;
    value.remove_prefix(scheme.size());
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ')
        value.remove_suffix(1);
    if (value.size() >= minimumKeyBytes)
        result.key = value;
    return result;
}

CallerKey::~CallerKey()
{
    this->wipe();
}

CallerKey::CallerKey(CallerKey&& other) noexcept
    : key(std::move(other.key))
{
    other.wipe();
}

CallerKey& CallerKey::operator=(CallerKey&& other) noexcept
{
    if (this != &other) {
        this->wipe();
        this->key = std::move(other.key);
        other.wipe();
    }
    return *this;
}

KeyDigest CallerKey::getDigest() const
{
    if (this->key.empty())
        return KeyDigest();
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(this->key.data()), this->key.size(), digest);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return KeyDigest(std::move(text));
}

bool CallerKey::isIn(std::string_view text) const
{
    if (this->key.empty() || text.size() < this->key.size())
        return false;
    if (text.find(this->key) != std::string_view::npos)
        return true;
    return text.find('%') != std::string_view::npos && decodePercent(text).find(this->key) != std::string::npos;
}

void CallerKey::wipe()
{
    // A short string lives inside the object and stays there when it is moved from.
    this->key.resize(this->key.capacity());
    OPENSSL_cleanse(this->key.data(), this->key.size());
    this->key.clear();
}

} // namespace papayashelf
