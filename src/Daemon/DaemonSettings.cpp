#include "Daemon/DaemonSettings.h"

#include "Core/Error.h"
#include "Daemon/SettingTable.h"

#include <docopt/docopt.h>

#include <map>

namespace Lavendervane {

using Kind = SettingSpecification::Kind;

static std::string describe(const SettingSpecification& setting)
{
    std::string text = setting.description;
    if (setting.kind == Kind::Number) {
        text += " Unit: " + setting.unit + ", " + std::to_string(setting.minimum) + " to "
            + std::to_string(setting.maximum) + ", by default " + setting.defaultValue + ".";
    } else if (setting.required)
        text += " Required.";
    return text;
}

std::string daemonUsage()
{
    std::string text
        = "lavendervaned: database proxy with session consistency.\n\n"
          "Usage:\n  lavendervaned [options]\n\nOptions:\n"
          "  -h --help  Show this text.\n"
          "  --version  Show the version.\n"
          "  --check  Validate the settings; exit with 0, or with 1 and a line that names the invalid setting.\n";
    std::string secrets;
    for (const SettingSpecification& setting : settingTable()) {
        if (setting.kind == Kind::Secret)
            secrets += "  " + setting.environmentVariable() + "\n      " + describe(setting) + "\n";
        else
            text += "  " + setting.flag() + "=VALUE  " + describe(setting) + "\n";
    }
    return text
        + "\nEach flag is also read from an environment variable, such as LAVENDERVANE_DATA_CENTRE for\n"
          "--data-centre; the flag takes precedence. Secrets are read from the environment only:\n"
        + secrets;
}

static std::map<std::string, docopt::value> parseFlags(const std::vector<std::string>& arguments)
{
    try {
        return docopt::docopt_parse(daemonUsage(), arguments, false, false);
    } catch (const docopt::DocoptArgumentError& error) {
        throw Error("read settings", "", error.what());
    }
}

static DaemonSettings makeSettings(std::map<std::string, std::string> values)
{
    const auto number = [&values](const char* name) { return std::stoull(values.at(name)); };
    DaemonSettings settings;
    settings.vm = values.at("vm");
    settings.dataCentre = values.at("data-centre");
    settings.callerAddress = values.at("caller-address");
    settings.peerAddress = values.at("peer-address");
    settings.advertisedPeerAddress = values.at("advertised-peer-address");
    if (settings.advertisedPeerAddress.empty())
        settings.advertisedPeerAddress = settings.peerAddress;
    settings.operatorAddress = values.at("operator-address");
    settings.metricsAddress = values.at("metrics-address");
    settings.platformAddress = values.at("platform-address");
    settings.seedPeers = splitAddresses(values.at("peer"));
    settings.peerSecret = values.at("peer-secret");
    settings.operatorSecret = values.at("operator-secret");
    settings.digestSecret = values.at("digest-secret");
    settings.sessionSecret = values.at("session-secret");
    settings.tlsCertificateFile = values.at("tls-certificate");
    settings.tlsKeyFile = values.at("tls-key");
    settings.traceFile = values.at("trace-file");
    settings.trafficThreads = static_cast<uint32_t>(number("traffic-threads"));
    settings.queueLimit = static_cast<uint32_t>(number("queue-limit"));
    settings.defaultTimeout = std::chrono::milliseconds(number("default-timeout-ms"));
    settings.admissionWait = std::chrono::milliseconds(number("admission-wait-ms"));
    settings.drainGrace = std::chrono::seconds(number("drain-grace"));
    settings.drainLimit = std::chrono::seconds(number("drain-limit"));
    settings.maxConfigurationAge = std::chrono::seconds(number("max-configuration-age"));
    settings.grantOutageLimit = std::chrono::seconds(number("grant-outage-limit"));
    return settings;
}

static void checkCombinations(const DaemonSettings& settings)
{
    if (settings.tlsCertificateFile.empty() != settings.tlsKeyFile.empty())
        throw Error("read settings", "", "--tls-key: must be given together with --tls-certificate");
    if (settings.platformAddress.empty() && settings.seedPeers.empty())
        throw Error("read settings", "", "--platform-address: is required unless --peer is given");
    if (settings.drainLimit < settings.drainGrace)
        throw Error("read settings", "", "--drain-limit: must not be less than --drain-grace");
    if (settings.peerSecret == settings.operatorSecret)
        throw Error("read settings", "", "LAVENDERVANE_OPERATOR_SECRET: must differ from LAVENDERVANE_PEER_SECRET");
}

DaemonArguments parseDaemonArguments(const std::vector<std::string>& arguments)
{
    const auto flags = parseFlags(arguments);
    DaemonArguments result;
    if (flags.at("--help").asBool()) {
        result.action = DaemonArguments::Action::Help;
        return result;
    }
    if (flags.at("--version").asBool()) {
        result.action = DaemonArguments::Action::Version;
        return result;
    }
    if (flags.at("--check").asBool())
        result.action = DaemonArguments::Action::Check;

    std::map<std::string, std::string> values;
    for (const SettingSpecification& setting : settingTable()) {
        const auto flag = flags.find(setting.flag());
        const bool given = flag != flags.end() && flag->second.isString();
        const std::string value = given ? flag->second.asString() : setting.environmentValue();
        setting.validate(value);
        values[setting.name] = value;
    }
    result.settings = makeSettings(values);
    checkCombinations(result.settings);
    return result;
}

} // namespace Lavendervane
