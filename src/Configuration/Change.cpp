#include "Configuration/Change.h"

#include "Core/Error.h"

#include <algorithm>

namespace Lavendervane {

namespace {

const std::string& nameOf(const Organisation& organisation) { return organisation.name.str(); }
const std::string& nameOf(const ApiKey& key) { return key.id.str(); }
const std::string& nameOf(const DatabaseGroup& group) { return group.name.str(); }
const std::string& nameOf(const Route& route) { return route.name; }

const std::string& textOf(const std::string& name) { return name; }
template <typename Tag> const std::string& textOf(const StrongString<Tag>& name) { return name.str(); }

template <typename Key, typename Resource>
void merge(std::map<Key, Resource>& resources, const std::vector<Resource>& replaced, const std::vector<Key>& removed)
{
    for (const Key& name : removed)
        resources.erase(name);
    for (const Resource& resource : replaced)
        resources.insert_or_assign(Key(nameOf(resource)), resource);
}

template <typename Key, typename Resource>
void collectDifferences(const std::map<Key, Resource>& from, const std::map<Key, Resource>& to,
    std::vector<Resource>& replaced, std::vector<Key>& removed)
{
    for (const auto& [name, resource] : to) {
        const auto before = from.find(name);
        if (before == from.end() || before->second != resource)
            replaced.push_back(resource);
    }
    for (const auto& [name, resource] : from) {
        if (!to.contains(name))
            removed.push_back(name);
    }
}

template <typename Key, typename Resource>
void appendSummary(const char* kind, const std::map<Key, Resource>* before, const std::vector<Resource>& replaced,
    const std::vector<Key>& removed, std::vector<std::string>& lines)
{
    for (const Resource& resource : replaced) {
        const char* action = "set";
        if (before)
            action = before->contains(Key(nameOf(resource))) ? "replaced" : "added";
        lines.push_back(std::string(kind) + " " + nameOf(resource) + ": " + action);
    }
    for (const Key& name : removed)
        lines.push_back(std::string(kind) + " " + textOf(name) + ": removed");
}

} // namespace

Configuration applyChange(const Configuration& before, const Change& change)
{
    if (change.previousVersion != before.version || change.version != before.version + 1) {
        throw Error("apply change", "",
            "change " + std::to_string(change.version) + " is not based on version " + std::to_string(before.version));
    }
    Configuration after = before;
    after.version = change.version;
    if (!change.dataCentres.empty())
        after.dataCentres = change.dataCentres;
    merge(after.organisations, change.organisations, change.removedOrganisations);
    merge(after.keys, change.keys, change.removedKeys);
    merge(after.groups, change.groups, change.removedGroups);
    merge(after.routes, change.routes, change.removedRoutes);
    return after;
}

Change makeChange(const Configuration& from, const Configuration& to)
{
    Change change;
    change.version = from.version + 1;
    change.previousVersion = from.version;
    if (from.dataCentres != to.dataCentres)
        change.dataCentres = to.dataCentres;
    collectDifferences(from.organisations, to.organisations, change.organisations, change.removedOrganisations);
    collectDifferences(from.groups, to.groups, change.groups, change.removedGroups);
    collectDifferences(from.routes, to.routes, change.routes, change.removedRoutes);
    return change;
}

static std::vector<std::string> summarise(const Change& change, const Configuration* before)
{
    std::vector<std::string> lines;
    if (!change.dataCentres.empty())
        lines.emplace_back("data centres: replaced");
    appendSummary("organisation", before ? &before->organisations : nullptr, change.organisations,
        change.removedOrganisations, lines);
    appendSummary("key", before ? &before->keys : nullptr, change.keys, change.removedKeys, lines);
    appendSummary("group", before ? &before->groups : nullptr, change.groups, change.removedGroups, lines);
    appendSummary("route", before ? &before->routes : nullptr, change.routes, change.removedRoutes, lines);
    return lines;
}

std::vector<std::string> summarise(const Change& change, const Configuration& before)
{
    return summarise(change, &before);
}

std::vector<std::string> summarise(const Change& change) { return summarise(change, nullptr); }

} // namespace Lavendervane
