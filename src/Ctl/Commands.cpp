#include "Ctl/Commands.h"

#include "Configuration/Change.h"
#include "Configuration/Declaration.h"
#include "Configuration/Validation.h"
#include "Core/Error.h"
#include "Ctl/OperatorClient.h"
#include "Ctl/TextTable.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

#include "operator.pb.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace Lavendervane {

namespace {

std::string readFile(const std::string& name)
{
    std::ifstream stream(name);
    if (!stream)
        throw Error("read file", "", name + " cannot be opened");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Reads and validates a declaration. If it has errors, prints all of them and returns nullopt.
std::optional<Configuration> readDeclaration(const std::string& file, const std::map<KeyId, ApiKey>& keys)
{
    Declaration declaration = parseDeclaration(readFile(file), file);
    declaration.configuration.keys = keys;
    if (declaration.errors.empty()) {
        for (const std::string& error : validate(declaration.configuration))
            declaration.errors.push_back(file + ": " + error);
    }
    for (const std::string& error : declaration.errors)
        std::cerr << error << '\n';
    if (!declaration.errors.empty())
        return std::nullopt;
    return std::move(declaration.configuration);
}

std::string makeChangeId()
{
    std::random_device device;
    std::ostringstream id;
    for (int word = 0; word < 4; ++word)
        id << std::hex << device();
    return id.str();
}

void printJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    google::protobuf::util::MessageToJsonString(message, &text, options);
    std::cout << text << '\n';
}

ExitCode reportResult(const lavendervane::ApplyResponse& response, const CommandSettings& settings)
{
    if (settings.json)
        printJson(response);
    for (const std::string& error : response.errors())
        std::cerr << error << '\n';
    switch (response.result()) {
    case lavendervane::ApplyResponse::COMMITTED:
        if (!settings.json)
            std::cout << "committed as version " << response.version() << '\n';
        return ExitCode::Success;
    case lavendervane::ApplyResponse::CONFLICT:
        std::cerr << "conflict: the current version is " << response.version() << "; run diff and apply again\n";
        return ExitCode::Conflict;
    case lavendervane::ApplyResponse::INVALID:
        return ExitCode::Invalid;
    case lavendervane::ApplyResponse::UNKNOWN:
        std::cerr << "unknown: the platform stopped answering; check with history whether the change is committed\n";
        return ExitCode::Unknown;
    default:
        std::cerr << "not committed: the platform cannot be reached\n";
        return ExitCode::Failed;
    }
}

Configuration currentConfiguration(OperatorClient& client)
{
    return parseConfiguration(client.getConfiguration().configuration());
}

bool hasNoChanges(const Change& change, const Configuration& before) { return summarise(change, before).empty(); }

std::string formatThousandths(uint64_t value)
{
    std::ostringstream text;
    text.precision(1);
    text << std::fixed << static_cast<double>(value) / 1000;
    return text.str();
}

void printVms(const lavendervane::StatusResponse& status)
{
    TextTable table({ "VM", "DATA CENTRE", "STATE", "VERSION" });
    for (const auto& vm : status.vms())
        table.add({ vm.vm(), vm.data_centre(), vm.state(),
            vm.reachable() ? std::to_string(vm.configuration_version()) : "no answer" });
    table.print(std::cout);
}

void printGroups(const lavendervane::StatusResponse& status)
{
    TextTable table({ "GROUP", "TERM", "ENDPOINT", "ROLE", "POSITION", "LAG MS", "REACHABLE" });
    for (const auto& group : status.groups()) {
        for (const auto& endpoint : group.endpoints())
            table.add({ group.group(), std::to_string(group.term()), endpoint.endpoint(),
                endpoint.primary() ? "primary" : "replica", std::to_string(endpoint.position()),
                std::to_string(endpoint.lag_ms()), endpoint.reachable() ? "yes" : "no" });
    }
    table.print(std::cout);
}

void printOrganisations(const lavendervane::StatusResponse& status)
{
    TextTable table({ "ORGANISATION", "RATE", "BURST", "HELD RATE", "ADMITTED", "REFUSED" });
    for (const auto& organisation : status.organisations())
        table.add({ organisation.organisation(), std::to_string(organisation.rate()),
            std::to_string(organisation.burst()), formatThousandths(organisation.held_milli_rate()),
            std::to_string(organisation.admitted()), std::to_string(organisation.refused()) });
    table.print(std::cout);
}

} // namespace

ExitCode validateFile(const std::string& file, const CommandSettings&)
{
    const auto configuration = readDeclaration(file, {});
    if (!configuration)
        return ExitCode::Invalid;
    std::cout << file << ": valid; " << configuration->organisations.size() << " organisations, "
              << configuration->groups.size() << " groups, " << configuration->routes.size() << " routes\n";
    return ExitCode::Success;
}

ExitCode applyFile(OperatorClient& client, const std::string& file, const CommandSettings& settings)
{
    const Configuration current = currentConfiguration(client);
    const auto declared = readDeclaration(file, current.keys);
    if (!declared)
        return ExitCode::Invalid;
    const Change change = makeChange(current, *declared);
    if (hasNoChanges(change, current)) {
        std::cout << "no changes; version " << current.version << " is in force\n";
        return ExitCode::Success;
    }
    for (const std::string& line : summarise(change, current))
        std::cerr << line << '\n';
    lavendervane::ApplyRequest request;
    request.set_base_version(current.version);
    request.set_change(toJson(change));
    request.set_author(settings.author);
    request.set_change_id(makeChangeId());
    return reportResult(client.apply(request), settings);
}

ExitCode diffFile(OperatorClient& client, const std::string& file, const CommandSettings& settings)
{
    const Configuration current = currentConfiguration(client);
    const auto declared = readDeclaration(file, current.keys);
    if (!declared)
        return ExitCode::Invalid;
    const auto lines = summarise(makeChange(current, *declared), current);
    if (settings.json)
        std::cout << nlohmann::json { { "version", current.version }, { "differences", lines } }.dump() << '\n';
    else {
        for (const std::string& line : lines)
            std::cout << line << '\n';
    }
    return lines.empty() ? ExitCode::Success : ExitCode::Different;
}

ExitCode printConfiguration(OperatorClient& client, const CommandSettings& settings)
{
    const auto configuration = nlohmann::json::parse(client.getConfiguration().configuration());
    std::cout << configuration.dump(settings.json ? -1 : 2) << '\n';
    return ExitCode::Success;
}

ExitCode printHistory(OperatorClient& client, uint32_t limit, const CommandSettings& settings)
{
    const auto response = client.history(limit);
    if (settings.json) {
        printJson(response);
        return ExitCode::Success;
    }
    TextTable table({ "VERSION", "FROM", "TIME", "AUTHOR", "CHANGE" });
    for (const auto& entry : response.entries()) {
        std::string changes;
        for (const std::string& line : entry.summary())
            changes += (changes.empty() ? "" : "; ") + line;
        table.add({ std::to_string(entry.version()), std::to_string(entry.previous_version()), entry.time(),
            entry.author(), changes });
    }
    table.print(std::cout);
    return ExitCode::Success;
}

ExitCode createKey(OperatorClient& client, const std::string& organisation, const CommandSettings& settings)
{
    lavendervane::CreateKeyRequest request;
    request.set_organisation(organisation);
    request.set_author(settings.author);
    const auto response = client.createKey(request);
    if (response.applied().result() != lavendervane::ApplyResponse::COMMITTED)
        return reportResult(response.applied(), settings);
    if (settings.json)
        printJson(response);
    else
        std::cout << response.key() << '\n';
    return ExitCode::Success;
}

ExitCode withdrawKey(OperatorClient& client, const std::string& keyId, const CommandSettings& settings)
{
    lavendervane::WithdrawKeyRequest request;
    request.set_key_id(keyId);
    request.set_author(settings.author);
    return reportResult(client.withdrawKey(request), settings);
}

ExitCode listKeys(OperatorClient& client, const CommandSettings& settings)
{
    const Configuration current = currentConfiguration(client);
    nlohmann::json list = nlohmann::json::array();
    TextTable table({ "KEY", "ORGANISATION" });
    for (const auto& [id, key] : current.keys) {
        list.push_back({ { "id", id.str() }, { "organisation", key.organisation.str() } });
        table.add({ id.str(), key.organisation.str() });
    }
    if (settings.json)
        std::cout << list.dump() << '\n';
    else
        table.print(std::cout);
    return ExitCode::Success;
}

ExitCode printStatus(OperatorClient& client, bool allVms, const CommandSettings& settings)
{
    const auto status = client.status(allVms);
    if (settings.json) {
        printJson(status);
        return ExitCode::Success;
    }
    printVms(status);
    std::cout << '\n';
    printGroups(status);
    std::cout << '\n';
    printOrganisations(status);
    return ExitCode::Success;
}

} // namespace Lavendervane
