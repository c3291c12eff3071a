#include "Core/Error.h"
#include "Traffic/TrafficFixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <filesystem>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(TlsTest)

/// Files with a private key and a self-signed certificate, removed by the destructor.
struct CertificateFiles {
    CertificateFiles()
    {
        EVP_PKEY* key = EVP_RSA_gen(2048);
        X509* certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_sign(certificate, key, EVP_sha256());
        std::FILE* keyOutput = std::fopen(keyFile.c_str(), "w");
        PEM_write_PrivateKey(keyOutput, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(keyOutput);
        std::FILE* certificateOutput = std::fopen(certificateFile.c_str(), "w");
        PEM_write_X509(certificateOutput, certificate);
        std::fclose(certificateOutput);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }

    ~CertificateFiles() { std::filesystem::remove_all(directory); }

    CertificateFiles(const CertificateFiles&) = delete;
    CertificateFiles& operator=(const CertificateFiles&) = delete;

    static std::filesystem::path makeDirectory()
    {
        auto path
            = std::filesystem::temp_directory_path() / ("lavendervane-tls-" + KeyText::generate(KeyId("x")).secret);
        std::filesystem::create_directory(path);
        return path;
    }

    std::filesystem::path directory = makeDirectory();
    std::string keyFile = directory / "key.pem";
    std::string certificateFile = directory / "certificate.pem";
};

static TrafficSettings tlsSettings(const CertificateFiles& files)
{
    TrafficSettings settings = TrafficFixture::defaultSettings();
    settings.tlsCertificateFile = files.certificateFile;
    settings.tlsKeyFile = files.keyFile;
    return settings;
}

// A wrong handshake or stream type would lock out all callers or send API keys in plain text.
BOOST_FIXTURE_TEST_CASE(Tls_FilesGiven_ServesOnlyEncryptedRequests, CertificateFiles)
{
    namespace http = boost::beast::http;
    TrafficFixture vm(tlsSettings(*this));
    boost::asio::io_context context;
    boost::asio::ssl::context tls(boost::asio::ssl::context::tls_client);
    boost::asio::ssl::stream<boost::asio::ip::tcp::socket> stream(context, tls);
    stream.next_layer().connect({ boost::asio::ip::address_v4::loopback(), vm.server.port() });
    stream.handshake(boost::asio::ssl::stream_base::client);
    http::request<http::string_body> request { http::verb::post, "/v1/execute", 11 };
    request.set(http::field::authorization, "Bearer " + vm.deskKey.text());
    request.body() = TrafficFixture::readBody;
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    BOOST_TEST(response.result_int() == 200U);

    CallerClient plain(vm.server.port());
    BOOST_TEST(vm.read(plain).status == 0U);
}

BOOST_AUTO_TEST_CASE(Tls_FilesMissing_FailsWithItsStep)
{
    TrafficSettings settings = TrafficFixture::defaultSettings();
    settings.tlsCertificateFile = "/nonexistent/certificate.pem";
    BOOST_CHECK_EXCEPTION(
        TrafficFixture vm(settings), Error, [](const Error& error) { return error.step() == "load TLS files"; });
}

BOOST_AUTO_TEST_SUITE_END()
