#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinService.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;

/** The listener with TLS. */
class TlsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TlsTest);
    CPPUNIT_TEST(testAnswersOverTls);
    CPPUNIT_TEST(testPlainTextIsNotAnswered);
    CPPUNIT_TEST(testWrongSettingsDoNotStart);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path directory;
    EntranceSettings settings;

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "papayashelf-tls-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()));
        this->directory = pattern;
        this->settings.certificateFile = this->directory / "certificate.pem";
        this->settings.privateKeyFile = this->directory / "key.pem";
        this->writeCertificate();
    }

    void tearDown() override { std::filesystem::remove_all(this->directory); }

private:
    /** A self-signed certificate for the loopback address. */
    void writeCertificate() const
    {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
        X509_set_version(certificate.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
        X509_set_pubkey(certificate.get(), key.get());
        X509_NAME* const name = X509_get_subject_name(certificate.get());
        const auto* const common = reinterpret_cast<const unsigned char*>("127.0.0.1");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, common, -1, -1, 0);
        X509_set_issuer_name(certificate.get(), name);
        X509_sign(certificate.get(), key.get(), EVP_sha256());
        std::FILE* const keyFile = std::fopen(this->settings.privateKeyFile.c_str(), "w");
        PEM_write_PrivateKey(keyFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(keyFile);
        std::FILE* const certificateFile = std::fopen(this->settings.certificateFile.c_str(), "w");
        PEM_write_X509(certificateFile, certificate.get());
        std::fclose(certificateFile);
    }

    void testAnswersOverTls()
    {
        StandinService service;
        EntranceHarness harness(this->settings);
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        asio::io_context context;
        asio::ssl::context client(asio::ssl::context::tls_client);
        client.load_verify_file(this->settings.certificateFile);
        client.set_verify_mode(asio::ssl::verify_peer);
        asio::ssl::stream<asio::ip::tcp::socket> stream(context, client);
        stream.next_layer().connect({ asio::ip::make_address(entry.address), entry.port });
        stream.handshake(asio::ssl::stream_base::client);
        const std::string large(200'000, 'x');
        std::string request = "POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 200000\r\n\r\n";
        request += large;
        // Two on one connection, the second sent before the first is answered.
        asio::write(stream, asio::buffer(request + request));
        std::string answer;
        for (int round = 0; round < 2; ++round) {
            const std::size_t count = asio::read_until(stream, asio::dynamic_buffer(answer), "\"executions\":");
            CPPUNIT_ASSERT(answer.substr(0, count).find(large) != std::string::npos);
            answer.erase(0, count);
        }
        CPPUNIT_ASSERT_EQUAL(2, service.getExecutions(large));
    }

    void testPlainTextIsNotAnswered()
    {
        StandinService service;
        EntranceHarness harness(this->settings);
        TestCaller caller(harness.start(service.start(), ServiceKind::PlainService));
        caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT(caller.readAll().find("HTTP/1.1 200") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, service.getHttp().getRequests().size());
    }

    void testWrongSettingsDoNotStart()
    {
        const auto codeOf
            = [](const EntranceSettings& wrong) { return EntranceServer(wrong, [] {}).start().error().code; };
        EntranceSettings wrong = this->settings;
        wrong.privateKeyFile.clear();
        CPPUNIT_ASSERT(codeOf(wrong) == ErrorCode::InvalidArgument);
        wrong.privateKeyFile = this->directory / "missing.pem";
        CPPUNIT_ASSERT(codeOf(wrong) == ErrorCode::InvalidArgument);
        wrong = {};
        wrong.listen.address = "not-a-number";
        CPPUNIT_ASSERT(codeOf(wrong) == ErrorCode::InvalidArgument);
        wrong = {};
        wrong.threads = 0;
        CPPUNIT_ASSERT(codeOf(wrong) == ErrorCode::InvalidArgument);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TlsTest);

} // namespace papayashelf
