#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Limits/LimitShares.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Lavendervane {

using Json = nlohmann::json;

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
            parsed.cpuMillicores = entry.at("processor").get<uint32_t>();
            parsed.untilMs = entry.at("until").get<uint64_t>();
            parsed.share = entry.at("share").get<uint32_t>();
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
        holders[vm.str()]
            = { { "run", entry.run }, { "data_centre", entry.dataCentre.str() }, { "address", entry.address },
                  { "processor", entry.cpuMillicores }, { "until", entry.untilMs }, { "share", entry.share } };
    }
    return Json { { "holders", std::move(holders) } }.dump();
}

uint64_t ShareLedger::taken() const
{
    uint64_t sum = 0;
    for (const auto& [vm, entry] : this->entries)
        sum += entry.share;
    return sum;
}

uint32_t ShareLedger::renew(const Holder& holder, uint64_t nowMs, const Settings& settings)
{
    std::erase_if(this->entries,
        [nowMs, &settings](const auto& entry) { return entry.second.untilMs + settings.slackMs <= nowMs; });
    const bool newcomer = this->entries.find(holder.peer.vm) == this->entries.end();
    Entry& entry = this->entries[holder.peer.vm];
    entry.run = holder.run;
    entry.dataCentre = holder.peer.dataCentre;
    entry.address = holder.peer.address;
    entry.cpuMillicores = holder.peer.cpuMillicores;
    entry.untilMs = nowMs + settings.lifetimeMs;
    uint32_t target = this->evenShare(holder.peer.vm, settings);
    if (newcomer)
        target = std::min(target, fullShare / settings.assumedVms);
    const uint64_t others = this->taken() - entry.share;
    const uint64_t free = others < fullShare ? fullShare - others : 0;
    entry.share = static_cast<uint32_t>(std::min<uint64_t>(target, free));
    return entry.share;
}

// Share that the VM has once all VMs have renewed; 0 if others of its data centre hold shares for it.
uint32_t ShareLedger::evenShare(const VmId& vm, const Settings& settings) const
{
    if (this->entries.size() <= settings.assumedVms)
        return static_cast<uint32_t>(fullShare / this->entries.size());
    std::set<DataCentre> dataCentres;
    for (const auto& [other, entry] : this->entries)
        dataCentres.insert(entry.dataCentre);
    const uint32_t perDataCentre = std::max<uint32_t>(1, settings.holders / static_cast<uint32_t>(dataCentres.size()));
    const Entry& own = this->entries.at(vm);
    // Who holds a share keeps it while others join: only of too many, the ones behind in the order give theirs up.
    uint32_t before = 0;
    for (const auto& [other, entry] : this->entries) {
        if (other != vm && entry.dataCentre == own.dataCentre && entry.share && (!own.share || other < vm))
            ++before;
    }
    return before < perDataCentre ? fullShare / (perDataCentre * static_cast<uint32_t>(dataCentres.size())) : 0;
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
    return Lease { found->second.share, found->second.untilMs };
}

std::vector<FleetMember> ShareLedger::members() const
{
    std::vector<FleetMember> all;
    for (const auto& [vm, entry] : this->entries)
        all.push_back({ vm, entry.dataCentre, entry.address, entry.cpuMillicores, entry.share > 0 });
    return all;
}

} // namespace Lavendervane
