#include "Daemon/DaemonSettings.h"
#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(DaemonSettingsTest)

/// Sets the secrets in the environment and holds a valid set of flags.
struct SettingsFixture {
    SettingsFixture()
    {
        for (const char* secret : { "PEER", "OPERATOR", "DIGEST", "SESSION" }) {
            const std::string name = std::string("LAVENDERVANE_") + secret + "_SECRET";
            setenv(name.c_str(), (std::string("a-long-secret-for-") + secret).c_str(), 1);
        }
        unsetenv("LAVENDERVANE_QUEUE_LIMIT");
    }

    /// Parses the valid flags and `extra`. Returns the error message, or an empty text if they are accepted.
    std::string errorFor(const std::string& extra) const
    {
        auto arguments = this->validArguments;
        arguments.push_back(extra);
        try {
            parseDaemonArguments(arguments);
            return "";
        } catch (const Error& error) {
            return error.what();
        }
    }

    std::vector<std::string> validArguments { "--vm=vm-1", "--data-centre=szeged", "--caller-address=127.0.0.1:1",
        "--peer-address=127.0.0.1:2", "--operator-address=127.0.0.1:3", "--metrics-address=127.0.0.1:4",
        "--platform-address=127.0.0.1:5" };
};

BOOST_FIXTURE_TEST_CASE(Settings_OnlyRequiredOnesGiven_HaveTheirDefaults, SettingsFixture)
{
    const DaemonSettings settings = parseDaemonArguments(validArguments).settings;
    BOOST_TEST(settings.trafficThreads == 2U);
    BOOST_TEST(settings.queueLimit == 64U);
    BOOST_TEST((settings.drainGrace == std::chrono::seconds(5)));
    BOOST_TEST((settings.grantOutageLimit == std::chrono::hours(2)));
    BOOST_TEST(settings.advertisedPeerAddress == "127.0.0.1:2");
    BOOST_TEST(settings.peerSecret == "a-long-secret-for-PEER");
}

BOOST_FIXTURE_TEST_CASE(Settings_FlagAndEnvironment_FlagWins, SettingsFixture)
{
    setenv("LAVENDERVANE_QUEUE_LIMIT", "7", 1);
    BOOST_TEST(parseDaemonArguments(validArguments).settings.queueLimit == 7U);
    auto arguments = validArguments;
    arguments.emplace_back("--queue-limit=9");
    BOOST_TEST(parseDaemonArguments(arguments).settings.queueLimit == 9U);
}

// Guards against errors that do not tell the operator which setting is invalid.
BOOST_FIXTURE_TEST_CASE(Settings_Invalid_AreNamedInTheError, SettingsFixture)
{
    BOOST_TEST(errorFor("--traffic-threads=0").find("--traffic-threads: must be 1 to 64") != std::string::npos);
    BOOST_TEST(errorFor("--queue-limit=many").find("--queue-limit") != std::string::npos);
    BOOST_TEST(errorFor("--peer=10.0.0.1").find("--peer:") != std::string::npos);
    BOOST_TEST(errorFor("--tls-key=key.pem").find("--tls-key") != std::string::npos);
    BOOST_TEST(errorFor("--drain-limit=2").find("--drain-limit") != std::string::npos);
    BOOST_TEST(!errorFor("--unknown=1").empty());
    unsetenv("LAVENDERVANE_DIGEST_SECRET");
    BOOST_TEST(errorFor("--check").find("LAVENDERVANE_DIGEST_SECRET") != std::string::npos);
}

// A short secret can be guessed. With equal peer and operator secrets every VM could act as an operator.
BOOST_FIXTURE_TEST_CASE(Secrets_ShortOrShared_AreRejectedWithoutTheirValue, SettingsFixture)
{
    setenv("LAVENDERVANE_PEER_SECRET", "short-value", 1);
    const std::string text = errorFor("--check");
    BOOST_TEST(text.find("LAVENDERVANE_PEER_SECRET") != std::string::npos);
    BOOST_TEST(text.find("short-value") == std::string::npos);
    setenv("LAVENDERVANE_PEER_SECRET", "a-long-secret-for-OPERATOR", 1);
    BOOST_TEST(errorFor("--check").find("must differ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
