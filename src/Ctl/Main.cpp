#include "Core/Error.h"
#include "Ctl/Commands.h"
#include "Ctl/OperatorClient.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace Lavendervane;

namespace {

const char usage[] = R"(lavendervanectl: the operator's command line of lavendervane.

Usage:
  lavendervanectl validate FILE
  lavendervanectl [options] apply -f FILE
  lavendervanectl [options] diff -f FILE
  lavendervanectl [options] get
  lavendervanectl [options] history [--limit=N]
  lavendervanectl [options] keys create ORGANISATION
  lavendervanectl [options] keys withdraw KEYID
  lavendervanectl [options] keys list
  lavendervanectl [options] status [--this-vm]
  lavendervanectl (-h | --help | --version)

Options:
  -f FILE --file=FILE   Declaration in YAML.
  --server=ADDRESSES    Operator addresses of VMs, IP:port, separated by commas [env LAVENDERVANE_SERVER].
  --author=NAME         Name for the audit trail [env LAVENDERVANE_AUTHOR, else USER].
  --output=FORMAT       text or json [default: text].
  --limit=N             Number of changes to show, 1 to 1000 [default: 20].
  --this-vm             Show the status of the answering VM only.
  -h --help             Show this text.
  --version             Show the version.

The operators' secret is read from the environment variable LAVENDERVANE_OPERATOR_SECRET.

Exit codes: 0 done, 1 failed, 2 wrong usage or invalid declaration, 3 conflict with another change,
4 result unknown, 5 differences found (diff).
)";

using Arguments = std::map<std::string, docopt::value>;

std::string optionOrEnvironment(const Arguments& arguments, const std::string& option, const char* variable)
{
    const docopt::value& value = arguments.at(option);
    if (value.isString())
        return value.asString();
    const char* fallback = std::getenv(variable);
    return fallback ? fallback : "";
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

CommandSettings parseSettings(const Arguments& arguments)
{
    CommandSettings settings;
    settings.author = optionOrEnvironment(arguments, "--author", "LAVENDERVANE_AUTHOR");
    if (settings.author.empty())
        settings.author = optionOrEnvironment(arguments, "--author", "USER");
    if (settings.author.empty())
        settings.author = "unknown";
    const std::string format = arguments.at("--output").asString();
    if (format != "text" && format != "json")
        throw std::invalid_argument("--output: expected text or json, found \"" + format + "\"");
    settings.json = format == "json";
    return settings;
}

uint32_t parseLimit(const Arguments& arguments)
{
    const long limit = arguments.at("--limit").asLong();
    if (limit < 1 || limit > 1000)
        throw std::invalid_argument("--limit: must be 1 to 1000");
    return static_cast<uint32_t>(limit);
}

ExitCode run(const Arguments& arguments)
{
    const CommandSettings settings = parseSettings(arguments);
    if (arguments.at("validate").asBool())
        return validateFile(arguments.at("FILE").asString(), settings);

    OperatorClient::Settings clientSettings;
    clientSettings.servers = splitList(optionOrEnvironment(arguments, "--server", "LAVENDERVANE_SERVER"));
    if (clientSettings.servers.empty())
        throw std::invalid_argument("--server: give the address of at least one VM");
    const char* secret = std::getenv("LAVENDERVANE_OPERATOR_SECRET");
    clientSettings.secret = secret ? secret : "";
    OperatorClient client(clientSettings);

    if (arguments.at("apply").asBool())
        return applyFile(client, arguments.at("--file").asString(), settings);
    if (arguments.at("diff").asBool())
        return diffFile(client, arguments.at("--file").asString(), settings);
    if (arguments.at("get").asBool())
        return printConfiguration(client, settings);
    if (arguments.at("history").asBool())
        return printHistory(client, parseLimit(arguments), settings);
    if (arguments.at("create").asBool())
        return createKey(client, arguments.at("ORGANISATION").asString(), settings);
    if (arguments.at("withdraw").asBool())
        return withdrawKey(client, arguments.at("KEYID").asString(), settings);
    if (arguments.at("list").asBool())
        return listKeys(client, settings);
    return printStatus(client, !arguments.at("--this-vm").asBool(), settings);
}

} // namespace

int main(int argumentCount, char** argumentValues)
{
    try {
        const Arguments arguments
            = docopt::docopt_parse(usage, { argumentValues + 1, argumentValues + argumentCount }, true, true);
        return static_cast<int>(run(arguments));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "lavendervanectl " << LAVENDERVANE_VERSION << '\n';
        return 0;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << "lavendervanectl: " << error.what() << "; see --help\n";
        return static_cast<int>(ExitCode::Invalid);
    } catch (const std::invalid_argument& error) {
        std::cerr << "lavendervanectl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Invalid);
    } catch (const std::exception& error) {
        std::cerr << "lavendervanectl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
