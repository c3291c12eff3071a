#include "StandIn/PlatformState.h"

#include <chrono>
#include <utility>

namespace Lavendervane::StandIn {

Json PlatformState::rowJson(const std::string& key) const
{
    const auto found = this->rows.find(key);
    const PlatformRow row = found == this->rows.end() ? PlatformRow {} : found->second;
    return { { "key", key }, { "revision", row.revision }, { "value", row.value } };
}

Json PlatformState::read(const Json& request) const
{
    Json found = Json::array();
    for (const Json& key : request.at("keys"))
        found.push_back(this->rowJson(key.get<std::string>()));
    return { { "rows", std::move(found) } };
}

Json PlatformState::scan(const Json& request) const
{
    const auto prefix = request.at("prefix").get<std::string>();
    const auto after = request.value("after", std::string());
    const auto limit = request.value("limit", uint64_t { 100 });
    Json found = Json::array();
    auto row = after < prefix ? this->rows.lower_bound(prefix) : this->rows.upper_bound(after);
    for (; row != this->rows.end() && row->first.starts_with(prefix) && found.size() < limit; ++row)
        found.push_back(this->rowJson(row->first));
    return { { "rows", std::move(found) } };
}

Json PlatformState::transact(const Json& request)
{
    const Json compared = request.value("compare", Json::array());
    const Json puts = request.value("put", Json::array());
    const Json deletes = request.value("delete", Json::array());
    // The request is validated before any write, so that a malformed request changes nothing.
    for (const Json& put : puts)
        put.at("key").get_ref<const std::string&>(), put.at("value");
    for (const Json& key : deletes)
        key.get_ref<const std::string&>();

    Json current = Json::array();
    bool equal = true;
    for (const Json& comparison : compared) {
        current.push_back(this->rowJson(comparison.at("key").get<std::string>()));
        equal = equal && current.back()["revision"] == comparison.at("revision").get<uint64_t>();
    }
    if (!equal)
        return { { "committed", false }, { "rows", std::move(current) } };

    Json written = Json::array();
    ++this->lastRevision;
    for (const Json& put : puts) {
        const auto key = put["key"].get<std::string>();
        this->rows[key] = { this->lastRevision, put["value"] };
        written.push_back(this->rowJson(key));
    }
    for (const Json& key : deletes)
        this->rows.erase(key.get<std::string>());
    return { { "committed", true }, { "rows", std::move(written) } };
}

void PlatformState::putObject(const std::string& name, std::string content)
{
    this->objects[name] = std::move(content);
}

const std::string* PlatformState::findObject(const std::string& name) const
{
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

void PlatformState::setVms(Json list, Instant now)
{
    // The first list counts as valid since the beginning.
    const Instant since = this->vmLists.empty() ? Instant {} : now;
    this->vmLists.push_back({ since, std::move(list) });
}

Json PlatformState::vms(Instant now, Duration lag) const
{
    Json list = Json::array();
    for (const VmList& candidate : this->vmLists) {
        if (candidate.since <= now - lag)
            list = candidate.list;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
    return { { "vms", std::move(list) }, { "age_ms", age } };
}

} // namespace Lavendervane::StandIn
