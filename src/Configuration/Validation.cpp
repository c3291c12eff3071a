#include "Configuration/Validation.h"

#include "Configuration/Configuration.h"

#include <algorithm>
#include <regex>
#include <set>

namespace Lavendervane {

namespace {

constexpr size_t maximumNameLength = 63;
constexpr uint32_t maximumRate
    = 10'000'000; // requests per second; sums over organisations in thousandths must fit 64 bits
constexpr uint32_t maximumWeight = 1000;

class Validator {
public:
    explicit Validator(const Configuration& configuration)
        : configuration(configuration)
    {
    }

    std::vector<std::string> run()
    {
        this->checkDataCentres();
        for (const auto& [name, organisation] : this->configuration.organisations)
            this->checkOrganisation(organisation);
        for (const auto& [id, key] : this->configuration.keys)
            this->checkKey(key);
        for (const auto& [name, group] : this->configuration.groups)
            this->checkGroup(group);
        for (const auto& [name, route] : this->configuration.routes)
            this->checkRoute(route);
        return std::move(this->errors);
    }

private:
    void report(const std::string& resource, const std::string& error)
    {
        this->errors.push_back(resource + ": " + error);
    }

    void checkName(const std::string& resource, const std::string& name)
    {
        static const std::regex pattern("[a-z0-9]([a-z0-9._-]*[a-z0-9])?");
        if (name.size() > maximumNameLength || !std::regex_match(name, pattern))
            this->report(resource, "name: must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.'");
    }

    void checkDataCentres()
    {
        std::set<DataCentre> seen;
        for (const DataCentre& dataCentre : this->configuration.dataCentres) {
            this->checkName("data centre " + dataCentre.str(), dataCentre.str());
            if (!seen.insert(dataCentre).second)
                this->report("data centre " + dataCentre.str(), "declared twice");
        }
    }

    void checkOrganisation(const Organisation& organisation)
    {
        const std::string resource = "organisation " + organisation.name.str();
        this->checkName(resource, organisation.name.str());
        if (!organisation.limit.rate || organisation.limit.rate > maximumRate)
            this->report(resource, "limit.rate: must be 1 to 10000000 requests per second");
        if (!organisation.limit.burst || organisation.limit.burst > maximumRate)
            this->report(resource, "limit.burst: must be 1 to 10000000 requests");
        if (!organisation.weight || organisation.weight > maximumWeight)
            this->report(resource, "weight: must be 1 to 1000");
    }

    void checkKey(const ApiKey& key)
    {
        const std::string resource = "key " + key.id.str();
        if (!this->configuration.findOrganisation(key.organisation))
            this->report(resource, "organisation: \"" + key.organisation.str() + "\" is not declared");
        if (key.digest.size() != 64)
            this->report(resource, "digest: must be 64 hexadecimal digits");
    }

    void checkGroup(const DatabaseGroup& group)
    {
        const std::string resource = "group " + group.name.str();
        this->checkName(resource, group.name.str());
        if (group.endpoints.empty())
            this->report(resource, "endpoints: must not be empty");
        const bool allLeaving = std::all_of(group.endpoints.begin(), group.endpoints.end(),
            [](const Endpoint& endpoint) { return endpoint.isLeaving(); });
        if (!group.endpoints.empty() && allLeaving)
            this->report(resource, "endpoints: all are labelled leaving=true");
        for (const Endpoint& endpoint : group.endpoints)
            this->checkEndpoint(endpoint);
    }

    void checkEndpoint(const Endpoint& endpoint)
    {
        const std::string resource = "endpoint " + endpoint.name.str();
        this->checkName(resource, endpoint.name.str());
        if (!this->endpointNames.insert(endpoint.name).second)
            this->report(resource, "name: used by another endpoint");
        if (!isAddress(endpoint.address))
            this->report(resource, "address: \"" + endpoint.address + "\" is not IP:port");
        if (!this->endpointAddresses.insert(endpoint.address).second)
            this->report(resource, "address: " + endpoint.address + " is used by another endpoint");
        const auto& declared = this->configuration.dataCentres;
        if (std::find(declared.begin(), declared.end(), endpoint.dataCentre) == declared.end())
            this->report(resource, "data_centre: \"" + endpoint.dataCentre.str() + "\" is not declared");
        if (!endpoint.slots)
            this->report(resource, "slots: must be at least 1");
        if (!endpoint.connections)
            this->report(resource, "connections: must be at least 1");
    }

    static bool isAddress(const std::string& text)
    {
        static const std::regex pattern("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}");
        return std::regex_match(text, pattern) && std::stoul(text.substr(text.rfind(':') + 1)) - 1 < 65535;
    }

    void checkRoute(const Route& route)
    {
        const std::string resource = "route " + route.name;
        this->checkName(resource, route.name);
        const auto matchesOne = [](const auto& resources, const Selector& selector) {
            return std::any_of(resources.begin(), resources.end(),
                [&selector](const auto& entry) { return selector.matches(entry.second.labels); });
        };
        if (!matchesOne(this->configuration.organisations, route.organisations))
            this->report(resource, "organisations: \"" + route.organisations.text() + "\" matches nothing");
        if (!matchesOne(this->configuration.groups, route.groups))
            this->report(resource, "groups: \"" + route.groups.text() + "\" matches nothing");
        if (!route.openAs.empty() && !this->configuration.findOrganisation(route.openAs))
            this->report(resource, "open_as: organisation \"" + route.openAs.str() + "\" is not declared");
    }

    const Configuration& configuration;
    std::vector<std::string> errors;
    std::set<EndpointId> endpointNames;
    std::set<std::string> endpointAddresses;
};

} // namespace

std::vector<std::string> validate(const Configuration& configuration) { return Validator(configuration).run(); }

} // namespace Lavendervane
