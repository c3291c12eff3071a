#include "Bench/ConfigurationMeasurements.h"

#include "Bench/Measurement.h"
#include "Configuration/Configuration.h"

#include <optional>

namespace Lavendervane {

/// Creates one database group with three endpoints and one key per entry, and one organisation and one route per 100
/// entries.
static Configuration makeConfiguration(size_t entries)
{
    static constexpr size_t entriesPerOrganisation = 100;
    Configuration configuration;
    configuration.dataCentres = { DataCentre("dc-0"), DataCentre("dc-1"), DataCentre("dc-2") };
    for (size_t index = 0; index < entries; ++index) {
        const std::string number = std::to_string(100000 + index);
        const std::string owner = std::to_string(index / entriesPerOrganisation);
        const OrganisationId organisation("organisation-" + owner);
        if (index % entriesPerOrganisation == 0) {
            configuration.organisations[organisation] = { organisation, { { "owner", owner } }, { 1000, 2000 }, 1 };
            configuration.routes["route-" + owner] = { "route-" + owner, Selector::parse("owner=" + owner),
                Selector::parse("owner=" + owner), Access::Write, {} };
        }
        DatabaseGroup group { GroupId("group-" + number), { { "owner", owner } }, {} };
        for (size_t member = 0; member < 3; ++member)
            group.endpoints.push_back({ EndpointId("db-" + number + "-" + std::to_string(member)),
                "10.20." + std::to_string(index % 250) + "." + std::to_string(member) + ":5400",
                configuration.dataCentres[member], 2, 35, {} });
        configuration.groups.emplace(group.name, group);
        const KeyId key("key-" + number);
        configuration.keys[key] = { key, organisation, std::string(64, 'a') };
    }
    return configuration;
}

namespace {

class ConfigurationWorkload : public Workload {
public:
    explicit ConfigurationWorkload(size_t entries)
        : entries(entries)
    {
    }

    void buildState() override { this->configuration.emplace(makeConfiguration(this->entries)); }

protected:
    size_t entries;
    size_t checksum = 0;
    std::optional<Configuration> configuration;
};

class LookupWorkload : public ConfigurationWorkload {
public:
    using ConfigurationWorkload::ConfigurationWorkload;

    void handleEvent(size_t index) override
    {
        const std::string number = std::to_string(100000 + index * 7919 % this->entries);
        this->checksum += this->configuration->findKey(KeyId("key-" + number)) ? 1 : 0;
        this->checksum += this->configuration->findGroup(GroupId("group-" + number)) ? 1 : 0;
    }
};

class RouteCheckWorkload : public ConfigurationWorkload {
public:
    using ConfigurationWorkload::ConfigurationWorkload;

    void handleEvent(size_t index) override
    {
        const size_t entry = index * 7919 % this->entries;
        const OrganisationId organisation("organisation-" + std::to_string(entry / 100));
        const GroupId group("group-" + std::to_string(100000 + entry));
        this->checksum += this->configuration->allows(organisation, group, Access::Write) ? 1 : 0;
    }
};

class CopyWorkload : public ConfigurationWorkload {
public:
    using ConfigurationWorkload::ConfigurationWorkload;

    void handleEvent(size_t) override
    {
        const Configuration copy(*this->configuration);
        this->checksum += copy.groups.size();
    }
};

} // namespace

template <typename Kind> static Measurement makeMeasurement(const std::string& name)
{
    return { name, "entries", { 20, 100, 500, 1000, 2500, 6000 },
        [](size_t size) { return std::make_unique<Kind>(size); } };
}

void addConfigurationMeasurements(std::vector<Measurement>& measurements)
{
    measurements.push_back(makeMeasurement<LookupWorkload>("configuration: find a key and a group"));
    measurements.push_back(makeMeasurement<RouteCheckWorkload>("configuration: check a route"));
    measurements.push_back(makeMeasurement<CopyWorkload>("configuration: copy"));
}

} // namespace Lavendervane
