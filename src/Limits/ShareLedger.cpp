#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Limits/LimitShares.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Lavendervane {

using Json = nlohmann::json;

template <typename Number> static Json toJson(const std::map<OrganisationId, Number>& values)
{
    Json json = Json::object();
    for (const auto& [organisation, value] : values) {
        if (value)
            json[organisation.str()] = value;
    }
    return json;
}

template <typename Number> static std::map<OrganisationId, Number> parseValues(const Json& json)
{
    std::map<OrganisationId, Number> values;
    for (const auto& [organisation, value] : json.items())
        values.emplace(organisation, value.template get<Number>());
    return values;
}

ShareLedger ShareLedger::parse(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        ShareLedger ledger;
        for (const auto& [vm, entry] : json.at("holders").items()) {
            Entry parsed;
            parsed.run = entry.at("run").get<std::string>();
            parsed.dataCentre = DataCentre(entry.at("data_centre").get<std::string>());
            parsed.address = entry.at("address").get<std::string>();
            parsed.untilMs = entry.at("until").get<uint64_t>();
            parsed.shares = parseValues<uint32_t>(entry.at("shares"));
            parsed.demands = parseValues<uint64_t>(entry.at("demands"));
            ledger.entries.emplace(vm, std::move(parsed));
        }
        return ledger;
    } catch (const Json::exception& error) {
        throw Error("parse share ledger", "", error.what());
    }
}

std::string ShareLedger::serialise() const
{
    Json holders = Json::object();
    for (const auto& [vm, entry] : this->entries) {
        holders[vm.str()] = { { "run", entry.run }, { "data_centre", entry.dataCentre.str() },
            { "address", entry.address }, { "until", entry.untilMs }, { "shares", toJson(entry.shares) },
            { "demands", toJson(entry.demands) } };
    }
    return Json { { "holders", std::move(holders) } }.dump();
}

uint64_t ShareLedger::taken(const OrganisationId& organisation) const
{
    uint64_t sum = 0;
    for (const auto& [vm, entry] : this->entries) {
        if (const auto share = entry.shares.find(organisation); share != entry.shares.end())
            sum += share->second;
    }
    return sum;
}

// Part of the VM if all VMs had what is theirs.
uint32_t ShareLedger::targetOf(const VmId& vm, const OrganisationId& organisation, const Settings& settings) const
{
    uint64_t own = 0;
    uint64_t all = 0;
    for (const auto& [other, entry] : this->entries) {
        const auto demand = entry.demands.find(organisation);
        if (demand == entry.demands.end())
            continue;
        all += demand->second;
        if (other == vm)
            own = demand->second;
    }
    const uint64_t vms = this->entries.size();
    if (!all)
        return static_cast<uint32_t>(wholeShare / std::max<uint64_t>(vms, 1));
    const uint64_t even = static_cast<uint64_t>(wholeShare) * settings.evenPercent / 100;
    return static_cast<uint32_t>(even / vms + (wholeShare - even) * own / all);
}

ShareLedger::Shares ShareLedger::renew(
    const Holder& holder, const Demands& demands, uint64_t nowMs, const Settings& settings)
{
    std::erase_if(this->entries,
        [nowMs, &settings](const auto& entry) { return entry.second.untilMs + settings.slackMs <= nowMs; });
    const auto known = this->entries.find(holder.peer.vm);
    const bool newcomer = known == this->entries.end();
    Entry& entry = this->entries[holder.peer.vm];
    entry.run = holder.run;
    entry.dataCentre = holder.peer.dataCentre;
    entry.address = holder.peer.address;
    entry.untilMs = nowMs + settings.lifetimeMs;
    entry.demands = demands;
    std::erase_if(entry.shares, [&demands](const auto& share) { return demands.find(share.first) == demands.end(); });
    for (const auto& [organisation, demand] : demands) {
        uint32_t& share = entry.shares[organisation];
        uint32_t target = this->targetOf(holder.peer.vm, organisation, settings);
        if (newcomer)
            target = std::min(target, wholeShare / settings.assumedVms);
        const uint64_t others = this->taken(organisation) - share;
        const uint64_t free = others < wholeShare ? wholeShare - others : 0;
        share = static_cast<uint32_t>(std::min<uint64_t>(target, free));
    }
    return entry.shares;
}

void ShareLedger::leave(const Holder& holder)
{
    const auto found = this->entries.find(holder.peer.vm);
    if (found != this->entries.end() && found->second.run == holder.run)
        this->entries.erase(found);
}

std::optional<ShareLedger::Lease> ShareLedger::leaseOf(const VmId& vm) const
{
    const auto found = this->entries.find(vm);
    if (found == this->entries.end())
        return std::nullopt;
    return Lease { found->second.shares, found->second.untilMs };
}

std::vector<PeerAddress> ShareLedger::peers() const
{
    std::vector<PeerAddress> all;
    for (const auto& [vm, entry] : this->entries)
        all.push_back({ vm, entry.dataCentre, entry.address });
    return all;
}

} // namespace Lavendervane
