#include "Configuration/Declaration.h"

#include "Core/Error.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <functional>
#include <initializer_list>

namespace Lavendervane {

namespace {

class DeclarationParser {
public:
    DeclarationParser(std::string file, Declaration& result)
        : file(std::move(file))
        , result(result)
    {
    }

    void parse(const std::string& yaml)
    {
        YAML::Node root;
        try {
            root = YAML::Load(yaml);
        } catch (const YAML::Exception& error) {
            this->result.errors.push_back(this->file + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
            return;
        }
        if (!this->checkFields(root, "declaration", { "data_centres", "organisations", "groups", "routes" }))
            return;
        this->parseDataCentres(root["data_centres"]);
        this->parseList(
            root["organisations"], "organisations", [this](const YAML::Node& node) { this->parseOrganisation(node); });
        this->parseList(root["groups"], "groups", [this](const YAML::Node& node) { this->parseGroup(node); });
        this->parseList(root["routes"], "routes", [this](const YAML::Node& node) { this->parseRoute(node); });
    }

private:
    void report(const YAML::Node& node, const std::string& field, const std::string& reason)
    {
        this->result.errors.push_back(
            this->file + ":" + std::to_string(node.Mark().line + 1) + ": " + field + ": " + reason);
    }

    bool checkFields(const YAML::Node& node, const std::string& kind, std::initializer_list<const char*> allowed)
    {
        if (!node.IsMap()) {
            this->report(node, kind, "expected a map");
            return false;
        }
        for (const auto& entry : node) {
            const std::string name = entry.first.as<std::string>("");
            const bool isAllowed
                = std::any_of(allowed.begin(), allowed.end(), [&](const char* field) { return name == field; });
            if (!isAllowed)
                this->report(entry.first, kind, "unknown field \"" + name + "\"");
        }
        return true;
    }

    void parseList(
        const YAML::Node& node, const std::string& field, const std::function<void(const YAML::Node&)>& parseItem)
    {
        if (!node)
            return;
        if (!node.IsSequence()) {
            this->report(node, field, "expected a list");
            return;
        }
        for (const YAML::Node& item : node)
            parseItem(item);
    }

    std::string parseString(const YAML::Node& parent, const std::string& field, bool required = true)
    {
        const YAML::Node node = parent[field];
        if (node && node.IsScalar())
            return node.Scalar();
        if (node || required)
            this->report(node ? node : parent, field, "expected a string");
        return {};
    }

    uint32_t parseNumber(
        const YAML::Node& parent, const std::string& field, std::optional<uint32_t> fallback = std::nullopt)
    {
        const YAML::Node node = parent[field];
        if (!node && fallback)
            return *fallback;
        uint32_t value = 0;
        if (!node || !node.IsScalar() || node.Scalar().starts_with("-")
            || !YAML::convert<uint32_t>::decode(node, value))
            this->report(node ? node : parent, field, "expected a whole number of at least 0");
        return value;
    }

    Labels parseLabels(const YAML::Node& parent)
    {
        Labels labels;
        const YAML::Node node = parent["labels"];
        if (!node)
            return labels;
        if (!node.IsMap()) {
            this->report(node, "labels", "expected a map");
            return labels;
        }
        for (const auto& entry : node) {
            if (!entry.second.IsScalar())
                this->report(entry.second, "labels", "expected a string");
            else if (!labels.emplace(entry.first.as<std::string>(), entry.second.Scalar()).second)
                this->report(entry.first, "labels", "label declared twice");
        }
        return labels;
    }

    Selector parseSelector(const YAML::Node& parent, const std::string& field)
    {
        try {
            return Selector::parse(this->parseString(parent, field));
        } catch (const Error& error) {
            this->report(parent[field] ? parent[field] : parent, field, error.message());
            return {};
        }
    }

    template <typename Key, typename Resource>
    void addResource(
        const YAML::Node& node, const char* kind, std::map<Key, Resource>& resources, Key name, Resource resource)
    {
        if (!resources.emplace(name, std::move(resource)).second)
            this->report(node, kind, "name is declared twice");
    }

    void parseDataCentres(const YAML::Node& node)
    {
        this->parseList(node, "data_centres", [this](const YAML::Node& item) {
            if (!item.IsScalar())
                this->report(item, "data_centres", "expected a string");
            else
                this->result.configuration.dataCentres.emplace_back(item.Scalar());
        });
    }

    void parseOrganisation(const YAML::Node& node)
    {
        if (!this->checkFields(node, "organisation", { "name", "labels", "limit", "weight" }))
            return;
        Organisation organisation;
        organisation.name = OrganisationId(this->parseString(node, "name"));
        organisation.labels = this->parseLabels(node);
        organisation.weight = this->parseNumber(node, "weight", 1);
        const YAML::Node limit = node["limit"];
        if (!limit)
            this->report(node, "limit", "is missing");
        else if (this->checkFields(limit, "limit", { "rate", "burst" }))
            organisation.limit = { this->parseNumber(limit, "rate"), this->parseNumber(limit, "burst") };
        this->addResource(
            node, "organisation", this->result.configuration.organisations, organisation.name, organisation);
    }

    void parseGroup(const YAML::Node& node)
    {
        if (!this->checkFields(node, "group", { "name", "labels", "endpoints" }))
            return;
        DatabaseGroup group;
        group.name = GroupId(this->parseString(node, "name"));
        group.labels = this->parseLabels(node);
        this->parseList(node["endpoints"], "endpoints", [this, &group](const YAML::Node& item) {
            if (this->checkFields(
                    item, "endpoint", { "name", "address", "data_centre", "slots", "connections", "labels" }))
                group.endpoints.push_back(this->parseEndpoint(item));
        });
        this->addResource(node, "group", this->result.configuration.groups, group.name, group);
    }

    Endpoint parseEndpoint(const YAML::Node& node)
    {
        Endpoint endpoint;
        endpoint.name = EndpointId(this->parseString(node, "name"));
        endpoint.address = this->parseString(node, "address");
        endpoint.dataCentre = DataCentre(this->parseString(node, "data_centre"));
        endpoint.slots = this->parseNumber(node, "slots");
        endpoint.connections = this->parseNumber(node, "connections");
        endpoint.labels = this->parseLabels(node);
        return endpoint;
    }

    void parseRoute(const YAML::Node& node)
    {
        if (!this->checkFields(node, "route", { "name", "organisations", "groups", "access", "open_as" }))
            return;
        Route route;
        route.name = this->parseString(node, "name");
        route.organisations = this->parseSelector(node, "organisations");
        route.groups = this->parseSelector(node, "groups");
        route.openAs = OrganisationId(this->parseString(node, "open_as", false));
        try {
            route.access = parseAccess(this->parseString(node, "access"));
        } catch (const Error& error) {
            this->report(node, "access", error.message());
        }
        this->addResource(node, "route", this->result.configuration.routes, route.name, route);
    }

    std::string file;
    Declaration& result;
};

} // namespace

Declaration parseDeclaration(const std::string& yaml, const std::string& file)
{
    Declaration declaration;
    DeclarationParser(file, declaration).parse(yaml);
    return declaration;
}

} // namespace Lavendervane
