#pragma once

#include <memory>
#include <openssl/evp.h>
#include <openssl/x509.h>
#include <string>

namespace papayashelf {

/** A certificate and its private key, as PEM texts. */
struct IssuedCertificate {
    std::string certificatePem;
    std::string privateKeyPem;
};

/** A certificate authority that lives as long as one test. */
class TestAuthority {
public:
    TestAuthority();

    /** A certificate that names the given VM, valid for one hour. */
    IssuedCertificate issue(const std::string& vm) const;

    /** The authority's own certificate. */
    std::string getPem() const;

private:
    using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using CertificatePointer = std::unique_ptr<X509, decltype(&X509_free)>;

    static KeyPointer makeKey();
    CertificatePointer makeCertificate(EVP_PKEY* subjectKey, const std::string& name, bool isAuthority) const;

    KeyPointer key;
    CertificatePointer certificate;
};

} // namespace papayashelf
