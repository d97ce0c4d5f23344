#include "configuration/storage/RevisionDigest.h"

#include <array>
#include <cassert>
#include <memory>
#include <openssl/evp.h>

namespace papayashelf {

namespace {

/** SHA-256 fed piece by piece. */
class Sha256 {
public:
    Sha256()
        : context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        [[maybe_unused]] const int started = EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr);
        assert(started == 1);
    }

    void add(std::string_view bytes) { EVP_DigestUpdate(this->context.get(), bytes.data(), bytes.size()); }

    /** Feeds the length first, so that two fields never run into each other. */
    void addField(std::string_view field)
    {
        this->add(std::to_string(field.size()));
        this->add(":");
        this->add(field);
    }

    std::string finish()
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
        unsigned int size = 0;
        EVP_DigestFinal_ex(this->context.get(), bytes.data(), &size);
        std::string text;
        text.reserve(std::size_t { size } * 2);
        for (unsigned int index = 0; index < size; ++index) {
            text.push_back(digits[bytes[index] >> 4]);
            text.push_back(digits[bytes[index] & 0xF]);
        }
        return text;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context;
};

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    Sha256 hash;
    hash.add(bytes);
    return hash.finish();
}

std::string digestOf(const std::map<std::string, std::string>& documents)
{
    Sha256 hash;
    for (const auto& [path, body] : documents) {
        hash.addField(path);
        hash.addField(body);
    }
    return hash.finish();
}

} // namespace papayashelf
