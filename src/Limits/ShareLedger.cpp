#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Core/Rendezvous.h"
#include "Core/StrictJson.h"
#include "Limits/LimitShares.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

ShareLedger ShareLedger::parse(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        ShareLedger ledger;
        for (const auto& [vm, entry] : json.at("holders").items()) {
            Entry parsed;
            parsed.runId = entry.at("run").get<std::string>();
            parsed.dataCentre = DataCentre(entry.at("data_centre").get<std::string>());
            parsed.address = entry.at("address").get<std::string>();
            parsed.cpuMillicores = decodeUnsignedAs<uint32_t>(entry.at("processor"));
            parsed.expiresAtMs = decodeUnsigned(entry.at("until"));
            parsed.share = decodeUnsignedAs<uint32_t>(entry.at("share"));
            parsed.generation = entry.value("generation", uint64_t { 0 });
            ledger.entries.emplace(vm, std::move(parsed));
        }
        // Earlier versions do not write these fields.
        ledger.tableGeneration = json.value("generation", uint64_t { 0 });
        ledger.settlesAtMs = json.value("settles_at", uint64_t { 0 });
        ledger.wasLost = json.value("lost", false);
        return ledger;
    } catch (const Json::exception& error) {
        throw Error("parse share ledger", "", error.what());
    }
}

std::string ShareLedger::serialise() const
{
    Json holders = Json::object();
    for (const auto& [vm, entry] : this->entries) {
        holders[vm.str()] = { { "run", entry.runId }, { "data_centre", entry.dataCentre.str() },
            { "address", entry.address }, { "processor", entry.cpuMillicores }, { "until", entry.expiresAtMs },
            { "share", entry.share }, { "generation", entry.generation } };
    }
    Json ledger { { "holders", std::move(holders) }, { "generation", this->tableGeneration } };
    if (this->settlesAtMs) {
        ledger["settles_at"] = this->settlesAtMs;
        ledger["lost"] = this->wasLost;
    }
    return ledger.dump();
}

static uint32_t holdersPerDataCentre(size_t dataCentres, const ShareLedger::Settings& settings)
{
    return std::max<uint32_t>(1, settings.largeFleetHolders / static_cast<uint32_t>(dataCentres));
}

// The order of the VMs' hashes is used rather than that of their ids, so that VMs with new ids do not all come first or
// last.
void markShareHolders(std::vector<FleetMember>& vms, const ShareLedger::Settings& settings)
{
    std::map<DataCentre, std::vector<FleetMember*>> byDataCentre;
    for (FleetMember& vm : vms)
        byDataCentre[vm.dataCentre].push_back(&vm);
    const bool isSmall = vms.size() <= settings.smallFleetSize;
    for (auto& [dataCentre, members] : byDataCentre) {
        std::sort(members.begin(), members.end(), [](const FleetMember* left, const FleetMember* right) {
            return std::make_pair(stableHash(left->vm.str()), left->vm)
                < std::make_pair(stableHash(right->vm.str()), right->vm);
        });
        const size_t holders = isSmall ? members.size() : holdersPerDataCentre(byDataCentre.size(), settings);
        for (size_t rank = 0; rank < members.size(); ++rank)
            members[rank]->holdsShare = rank < holders;
    }
}

uint64_t ShareLedger::totalShare() const
{
    uint64_t sum = 0;
    for (const auto& [vm, entry] : this->entries)
        sum += entry.share;
    return sum;
}

ShareLedger::Entry& ShareLedger::updateEntry(const Holder& holder, uint64_t nowMs, const Settings& settings)
{
    Entry& entry = this->entries[holder.member.vm];
    entry.runId = holder.runId;
    entry.dataCentre = holder.member.dataCentre;
    entry.address = holder.member.address;
    entry.cpuMillicores = holder.member.cpuMillicores;
    entry.expiresAtMs = nowMs + settings.lifetimeMs;
    entry.generation = this->tableGeneration;
    return entry;
}

uint32_t ShareLedger::freeFor(const Entry& entry) const
{
    const uint64_t others = this->totalShare() - entry.share;
    return others < fullShare ? static_cast<uint32_t>(fullShare - others) : 0;
}

void ShareLedger::enterGeneration(uint64_t generation, bool isStored, uint64_t nowMs, const Settings& settings)
{
    if (generation <= this->tableGeneration)
        return;
    // A ledger without a generation was written by an earlier version. A table of the first generation has lost
    // nothing.
    const bool isRestored = this->tableGeneration > 0 || (!isStored && generation > 1);
    this->tableGeneration = generation;
    if (!isRestored)
        return;
    this->settlesAtMs = nowMs + settings.settleMs;
    this->wasLost = !isStored;
}

bool ShareLedger::isUnconfirmed(const VmId& vm) const
{
    const auto found = this->entries.find(vm);
    return found != this->entries.end() && found->second.generation < this->tableGeneration;
}

bool ShareLedger::isSettling(uint64_t nowMs) const
{
    if (nowMs >= this->settlesAtMs)
        return false;
    return this->wasLost || std::any_of(this->entries.begin(), this->entries.end(), [this](const auto& entry) {
        return entry.second.generation < this->tableGeneration;
    });
}

void ShareLedger::claim(const Holder& holder, uint32_t heldShare, uint64_t nowMs, const Settings& settings)
{
    if (heldShare) {
        this->updateEntry(holder, nowMs, settings).share = heldShare;
        return;
    }
    // The share of an earlier run stays, because the ledger does not show yet whether another VM holds it by now.
    const auto found = this->entries.find(holder.member.vm);
    if (found == this->entries.end())
        return;
    found->second.runId = holder.runId;
    found->second.generation = this->tableGeneration;
}

uint32_t ShareLedger::renew(const Holder& holder, uint64_t nowMs, const Settings& settings)
{
    std::erase_if(this->entries,
        [nowMs, &settings](const auto& entry) { return entry.second.expiresAtMs + settings.clockErrorMs <= nowMs; });
    const bool isNewVm = this->entries.find(holder.member.vm) == this->entries.end();
    Entry& entry = this->updateEntry(holder, nowMs, settings);
    uint32_t target = this->targetShare(holder.member.vm, settings);
    if (isNewVm)
        target = std::min(target, fullShare / settings.smallFleetSize);
    entry.share = std::min(target, this->freeFor(entry));
    return entry.share;
}

// Share that the VM holds once all VMs have renewed; 0 if other VMs of its data centre hold the shares.
uint32_t ShareLedger::targetShare(const VmId& vm, const Settings& settings) const
{
    if (this->entries.size() <= settings.smallFleetSize)
        return static_cast<uint32_t>(fullShare / this->entries.size());
    std::set<DataCentre> dataCentres;
    for (const auto& [other, entry] : this->entries)
        dataCentres.insert(entry.dataCentre);
    const uint32_t holders = holdersPerDataCentre(dataCentres.size(), settings);
    const Entry& own = this->entries.at(vm);
    // A VM that holds a share keeps it while other VMs join. If a data centre has too many holders, those that come
    // last in the order of VM ids give up their shares.
    uint32_t holdersAhead = 0;
    for (const auto& [other, entry] : this->entries) {
        if (other != vm && entry.dataCentre == own.dataCentre && entry.share && (!own.share || other < vm))
            ++holdersAhead;
    }
    return holdersAhead < holders ? fullShare / (holders * static_cast<uint32_t>(dataCentres.size())) : 0;
}

void ShareLedger::remove(const Holder& holder)
{
    const auto found = this->entries.find(holder.member.vm);
    if (found != this->entries.end() && found->second.runId == holder.runId)
        this->entries.erase(found);
}

std::optional<ShareLedger::Lease> ShareLedger::findLease(const VmId& vm) const
{
    const auto found = this->entries.find(vm);
    if (found == this->entries.end())
        return std::nullopt;
    const Entry& entry = found->second;
    return Lease { std::min(entry.share, this->freeFor(entry)), entry.expiresAtMs };
}

std::vector<FleetMember> ShareLedger::members() const
{
    std::vector<FleetMember> all;
    for (const auto& [vm, entry] : this->entries)
        all.push_back({ vm, entry.dataCentre, entry.address, entry.cpuMillicores, entry.share > 0 });
    return all;
}

} // namespace Lavendervane
