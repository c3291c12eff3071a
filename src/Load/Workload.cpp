#include "Load/Workload.h"

#include "Core/Error.h"

#include <yaml-cpp/yaml.h>

namespace Lavendervane {

template <typename Value>
static void readField(const YAML::Node& node, const char* name, const std::string& owner, Value& value)
{
    if (!node[name])
        return;
    try {
        value = node[name].as<Value>();
    } catch (const YAML::Exception& error) {
        throw Error("parse workload", owner, std::string(name) + ": " + error.what());
    }
}

static void checkShare(double share, const char* name, const std::string& owner)
{
    if (share < 0 || share > 1)
        throw Error("parse workload", owner, std::string(name) + " must be from 0 to 1");
}

static OrganisationLoad parseOrganisation(const YAML::Node& node)
{
    OrganisationLoad load;
    readField(node, "name", "organisation", load.name);
    if (load.name.empty())
        throw Error("parse workload", "organisation", "name is missing");
    readField(node, "key", load.name, load.key);
    readField(node, "rate", load.name, load.rate);
    readField(node, "read_share", load.name, load.readShare);
    readField(node, "pair_share", load.name, load.pairShare);
    readField(node, "append_share", load.name, load.appendShare);
    readField(node, "interactive_share", load.name, load.interactiveShare);
    readField(node, "groups", load.name, load.groups);
    if (load.rate <= 0)
        throw Error("parse workload", load.name, "rate must be greater than 0");
    if (load.groups.empty())
        throw Error("parse workload", load.name, "groups are missing");
    checkShare(load.readShare, "read_share", load.name);
    checkShare(load.pairShare, "pair_share", load.name);
    checkShare(load.appendShare, "append_share", load.name);
    checkShare(load.interactiveShare, "interactive_share", load.name);
    if (const YAML::Node limit = node["limit"]) {
        load.limit.emplace();
        readField(limit, "rate", load.name, load.limit->rate);
        readField(limit, "burst", load.name, load.limit->burst);
    }
    return load;
}

Workload parseWorkload(const std::string& yaml)
{
    YAML::Node root;
    try {
        root = YAML::Load(yaml);
    } catch (const YAML::Exception& error) {
        throw Error("parse workload", "", error.what());
    }
    Workload workload;
    if (!root.IsMap() || !root["organisations"] || !root["organisations"].IsSequence())
        throw Error("parse workload", "", "organisations are missing");
    readField(root, "keys", "", workload.keys);
    readField(root, "sessions", "", workload.sessions);
    if (!workload.keys)
        throw Error("parse workload", "", "keys must be greater than 0");
    for (const YAML::Node& node : root["organisations"])
        workload.organisations.push_back(parseOrganisation(node));
    return workload;
}

} // namespace Lavendervane
