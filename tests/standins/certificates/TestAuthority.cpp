#include "standins/certificates/TestAuthority.h"

#include <openssl/bio.h>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace papayashelf {

namespace {

constexpr long validitySeconds = 3600;
constexpr long thirdVersion = 2;

std::string readAll(BIO* bio)
{
    char* data = nullptr;
    const long length = BIO_get_mem_data(bio, &data);
    std::string text(data, static_cast<std::size_t>(length));
    BIO_free(bio);
    return text;
}

std::string toPem(X509* certificate)
{
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(bio, certificate);
    return readAll(bio);
}

void addExtension(X509* certificate, X509* issuer, int kind, const std::string& value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

} // namespace

TestAuthority::TestAuthority()
    : key(makeKey())
    , certificate(nullptr, &X509_free)
{
    this->certificate = this->makeCertificate(this->key.get(), "test authority", true);
}

IssuedCertificate TestAuthority::issue(const std::string& vm) const
{
    const KeyPointer subjectKey = makeKey();
    const CertificatePointer issued = this->makeCertificate(subjectKey.get(), vm, false);
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(bio, subjectKey.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return IssuedCertificate { toPem(issued.get()), readAll(bio) };
}

std::string TestAuthority::getPem() const
{
    return toPem(this->certificate.get());
}

TestAuthority::KeyPointer TestAuthority::makeKey()
{
    return KeyPointer(EVP_EC_gen("P-256"), &EVP_PKEY_free);
}

TestAuthority::CertificatePointer TestAuthority::makeCertificate(
    EVP_PKEY* subjectKey, const std::string& name, bool isAuthority) const
{
    CertificatePointer made(X509_new(), &X509_free);
    X509* issuer = isAuthority ? made.get() : this->certificate.get();
    X509_set_version(made.get(), thirdVersion);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), isAuthority ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -validitySeconds);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), validitySeconds);
    X509_set_pubkey(made.get(), subjectKey);
    const auto* text = reinterpret_cast<const unsigned char*>(name.c_str());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(made.get(), X509_get_subject_name(issuer));
    if (isAuthority)
        addExtension(made.get(), issuer, NID_basic_constraints, "critical,CA:TRUE");
    else
        addExtension(made.get(), issuer, NID_subject_alt_name, "DNS:" + name);
    X509_sign(made.get(), this->key.get(), EVP_sha256());
    return made;
}

} // namespace papayashelf
