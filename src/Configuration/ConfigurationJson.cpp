#include "Configuration/Change.h"
#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace Lavendervane {

using nlohmann::json;

namespace {

json encode(const std::string& text) { return text; }

template <typename Tag> json encode(const StrongString<Tag>& name) { return name.str(); }

json encode(const Endpoint& endpoint)
{
    return { { "name", endpoint.name.str() }, { "address", endpoint.address },
        { "data_centre", endpoint.dataCentre.str() }, { "slots", endpoint.slots },
        { "connections", endpoint.connections }, { "labels", endpoint.labels } };
}

json encode(const Organisation& organisation)
{
    return { { "name", organisation.name.str() }, { "labels", organisation.labels },
        { "rate", organisation.limit.rate }, { "burst", organisation.limit.burst }, { "weight", organisation.weight } };
}

json encode(const ApiKey& key)
{
    return { { "id", key.id.str() }, { "organisation", key.organisation.str() }, { "digest", key.digest } };
}

template <typename Item> json encodeList(const std::vector<Item>& items);

json encode(const DatabaseGroup& group)
{
    return { { "name", group.name.str() }, { "labels", group.labels }, { "endpoints", encodeList(group.endpoints) } };
}

json encode(const Route& route)
{
    return { { "name", route.name }, { "organisations", route.organisations.text() }, { "groups", route.groups.text() },
        { "access", toString(route.access) }, { "open_as", route.openAs.str() } };
}

template <typename Item> json encodeList(const std::vector<Item>& items)
{
    json list = json::array();
    for (const Item& item : items)
        list.push_back(encode(item));
    return list;
}

template <typename Key, typename Resource> json encodeValues(const std::map<Key, Resource>& resources)
{
    json list = json::array();
    for (const auto& [name, resource] : resources)
        list.push_back(encode(resource));
    return list;
}

/// Returns the value of a field. Throws Error with the field's name if it is missing or has another type.
template <typename Value> Value field(const json& object, const char* name)
{
    try {
        return object.at(name).get<Value>();
    } catch (const json::exception& error) {
        throw Error("parse configuration", "", std::string("field ") + name + ": " + error.what());
    }
}

void decode(const json& value, std::string& text) { text = value.get<std::string>(); }

template <typename Tag> void decode(const json& value, StrongString<Tag>& name)
{
    name = StrongString<Tag>(value.get<std::string>());
}

void decode(const json& value, Endpoint& endpoint)
{
    endpoint.name = EndpointId(field<std::string>(value, "name"));
    endpoint.address = field<std::string>(value, "address");
    endpoint.dataCentre = DataCentre(field<std::string>(value, "data_centre"));
    endpoint.slots = field<uint32_t>(value, "slots");
    endpoint.connections = field<uint32_t>(value, "connections");
    endpoint.labels = field<Labels>(value, "labels");
}

void decode(const json& value, Organisation& organisation)
{
    organisation.name = OrganisationId(field<std::string>(value, "name"));
    organisation.labels = field<Labels>(value, "labels");
    organisation.limit.rate = field<uint32_t>(value, "rate");
    organisation.limit.burst = field<uint32_t>(value, "burst");
    organisation.weight = field<uint32_t>(value, "weight");
}

void decode(const json& value, ApiKey& key)
{
    key.id = KeyId(field<std::string>(value, "id"));
    key.organisation = OrganisationId(field<std::string>(value, "organisation"));
    key.digest = field<std::string>(value, "digest");
}

template <typename Item> void decodeList(const json& object, const char* name, std::vector<Item>& items);

void decode(const json& value, DatabaseGroup& group)
{
    group.name = GroupId(field<std::string>(value, "name"));
    group.labels = field<Labels>(value, "labels");
    decodeList(value, "endpoints", group.endpoints);
}

void decode(const json& value, Route& route)
{
    route.name = field<std::string>(value, "name");
    route.organisations = Selector::parse(field<std::string>(value, "organisations"));
    route.groups = Selector::parse(field<std::string>(value, "groups"));
    route.access = parseAccess(field<std::string>(value, "access"));
    route.openAs = OrganisationId(field<std::string>(value, "open_as"));
}

template <typename Item> void decodeList(const json& object, const char* name, std::vector<Item>& items)
{
    if (!object.contains(name))
        return;
    const json& list = object.at(name);
    if (!list.is_array())
        throw Error("parse configuration", "", std::string("field ") + name + ": expected a list");
    for (const json& value : list) {
        try {
            decode(value, items.emplace_back());
        } catch (const json::exception& error) {
            throw Error("parse configuration", "", std::string("field ") + name + ": " + error.what());
        }
    }
}

template <typename Key, typename Resource, typename NameOf>
void decodeMap(const json& object, const char* field, std::map<Key, Resource>& resources, NameOf nameOf)
{
    std::vector<Resource> items;
    decodeList(object, field, items);
    for (Resource& item : items) {
        Key name = nameOf(item);
        resources.insert_or_assign(std::move(name), std::move(item));
    }
}

json parseObject(std::string_view text)
{
    json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        throw Error("parse configuration", "", "the text is not a JSON object");
    return object;
}

} // namespace

std::string toJson(const Change& change)
{
    const json object = { { "version", change.version }, { "previous_version", change.previousVersion },
        { "id", change.id }, { "author", change.author }, { "time", change.time },
        { "data_centres", encodeList(change.dataCentres) }, { "organisations", encodeList(change.organisations) },
        { "keys", encodeList(change.keys) }, { "groups", encodeList(change.groups) },
        { "routes", encodeList(change.routes) }, { "removed_organisations", encodeList(change.removedOrganisations) },
        { "removed_keys", encodeList(change.removedKeys) }, { "removed_groups", encodeList(change.removedGroups) },
        { "removed_routes", encodeList(change.removedRoutes) } };
    return object.dump();
}

Change parseChange(std::string_view text)
{
    const json object = parseObject(text);
    Change change;
    change.version = field<uint64_t>(object, "version");
    change.previousVersion = field<uint64_t>(object, "previous_version");
    change.id = field<std::string>(object, "id");
    change.author = field<std::string>(object, "author");
    change.time = field<std::string>(object, "time");
    decodeList(object, "data_centres", change.dataCentres);
    decodeList(object, "organisations", change.organisations);
    decodeList(object, "keys", change.keys);
    decodeList(object, "groups", change.groups);
    decodeList(object, "routes", change.routes);
    decodeList(object, "removed_organisations", change.removedOrganisations);
    decodeList(object, "removed_keys", change.removedKeys);
    decodeList(object, "removed_groups", change.removedGroups);
    decodeList(object, "removed_routes", change.removedRoutes);
    return change;
}

std::string toJson(const Configuration& configuration)
{
    const json object = { { "version", configuration.version },
        { "data_centres", encodeList(configuration.dataCentres) },
        { "organisations", encodeValues(configuration.organisations) }, { "keys", encodeValues(configuration.keys) },
        { "groups", encodeValues(configuration.groups) }, { "routes", encodeValues(configuration.routes) } };
    return object.dump();
}

Configuration parseConfiguration(std::string_view text)
{
    const json object = parseObject(text);
    Configuration configuration;
    configuration.version = field<uint64_t>(object, "version");
    decodeList(object, "data_centres", configuration.dataCentres);
    decodeMap(object, "organisations", configuration.organisations, [](const auto& item) { return item.name; });
    decodeMap(object, "keys", configuration.keys, [](const auto& item) { return item.id; });
    decodeMap(object, "groups", configuration.groups, [](const auto& item) { return item.name; });
    decodeMap(object, "routes", configuration.routes, [](const auto& item) { return item.name; });
    return configuration;
}

} // namespace Lavendervane
