#include "Daemon/SettingTable.h"

#include "Core/Error.h"
#include "Http/Address.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>

namespace Lavendervane {

using Kind = SettingSpecification::Kind;

static SettingSpecification numberSetting(std::string name, std::string unit, uint64_t minimum, uint64_t maximum,
    std::string defaultValue, std::string description)
{
    return { std::move(name), Kind::Number, std::move(description), std::move(defaultValue), false, std::move(unit),
        minimum, maximum };
}

const std::vector<SettingSpecification>& settingTable()
{
    static const std::vector<SettingSpecification> table {
        { "vm", Kind::Text, "Name of this VM, unique in the fleet.", "", true, "", 0, 0 },
        { "data-centre", Kind::Text, "Data centre of this VM.", "", true, "", 0, 0 },
        { "caller-address", Kind::Address, "Address for callers, IP:port.", "", true, "", 0, 0 },
        { "peer-address", Kind::Address, "Address for other VMs, IP:port.", "", true, "", 0, 0 },
        { "advertised-peer-address", Kind::Address, "Address that other VMs use, if not the peer address.", "", false,
            "", 0, 0 },
        { "operator-address", Kind::Address, "Address for operators, IP:port.", "", true, "", 0, 0 },
        { "metrics-address", Kind::Address, "Address for /metrics, /healthz and /readyz, IP:port.", "", true, "", 0,
            0 },
        { "platform-address", Kind::Address, "Address of the platform's service, IP:port.", "", false, "", 0, 0 },
        { "peer", Kind::AddressList,
            "Peer addresses of other VMs, separated by commas, for a start without the "
            "platform.",
            "", false, "", 0, 0 },
        { "tls-certificate", Kind::Text, "PEM file; callers use HTTPS if given.", "", false, "", 0, 0 },
        { "tls-key", Kind::Text, "PEM file with the certificate's key.", "", false, "", 0, 0 },
        { "trace-file", Kind::Text, "File to which all control events are written.", "", false, "", 0, 0 },
        numberSetting("traffic-threads", "threads", 1, 64, "2", "Threads that serve callers."),
        numberSetting("queue-limit", "requests", 1, 100000, "64", "Waiting requests per organisation and endpoint."),
        numberSetting("default-timeout-ms", "ms", 1, 600000, "5000", "Deadline of requests that specify none."),
        numberSetting("admission-wait-ms", "ms", 0, 10000, "250", "Longest wait for a token of the rate limit."),
        numberSetting("drain-grace", "s", 0, 600, "5", "Time after SIGTERM for which requests are still accepted."),
        numberSetting("drain-limit", "s", 1, 3600, "30", "Time after SIGTERM at which running requests are cut off."),
        numberSetting("max-configuration-age", "s", 0, 31536000, "0",
            "Age of the configuration beyond which requests with a key are refused; 0: never."),
        numberSetting(
            "grant-outage-limit", "s", 60, 86400, "7200", "Time for which grants are renewed without the platform."),
        { "peer-secret", Kind::Secret, "Secret shared by the VMs.", "", true, "", 0, 0 },
        { "operator-secret", Kind::Secret, "Secret of operators.", "", true, "", 0, 0 },
        { "digest-secret", Kind::Secret, "Key of the digests of callers' keys.", "", true, "", 0, 0 },
        { "session-secret", Kind::Secret, "Key of the signatures of session tokens.", "", true, "", 0, 0 },
    };
    return table;
}

std::string SettingSpecification::environmentVariable() const
{
    std::string variable = "LAVENDERVANE_" + this->name;
    for (char& character : variable)
        character = character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    return variable;
}

std::string SettingSpecification::environmentValue() const
{
    const char* value = std::getenv(this->environmentVariable().c_str());
    return value ? value : this->defaultValue;
}

std::vector<std::string> splitAddresses(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

static void checkAddress(const std::string& setting, const std::string& value)
{
    try {
        parseAddress(value);
    } catch (const Error& error) {
        throw Error("read settings", "", setting + ": " + error.message());
    }
}

static void checkNumber(const SettingSpecification& specification, const std::string& setting, const std::string& value)
{
    uint64_t number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != value.data() + value.size() || number < specification.minimum
        || number > specification.maximum) {
        throw Error("read settings", "",
            setting + ": must be " + std::to_string(specification.minimum) + " to "
                + std::to_string(specification.maximum) + " " + specification.unit + ", found \"" + value + "\"");
    }
}

void SettingSpecification::validate(const std::string& value) const
{
    constexpr size_t minSecretLength = 16; // characters; shorter secrets can be guessed
    const std::string setting = this->kind == Kind::Secret ? this->environmentVariable() : this->flag();
    if (value.empty()) {
        if (this->required)
            throw Error("read settings", "", setting + ": is required");
        return;
    }
    if (this->kind == Kind::Address)
        checkAddress(setting, value);
    if (this->kind == Kind::AddressList) {
        for (const std::string& address : splitAddresses(value))
            checkAddress(setting, address);
    }
    if (this->kind == Kind::Number)
        checkNumber(*this, setting, value);
    if (this->kind == Kind::Secret && value.size() < minSecretLength)
        throw Error(
            "read settings", "", setting + ": needs at least " + std::to_string(minSecretLength) + " characters");
}

} // namespace Lavendervane
