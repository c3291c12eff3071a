#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Limits/LimitShares.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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
        holders[vm.str()] = { { "run", entry.run }, { "data_centre", entry.dataCentre.str() },
            { "address", entry.address }, { "until", entry.untilMs }, { "share", entry.share } };
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
    entry.untilMs = nowMs + settings.lifetimeMs;
    auto target = static_cast<uint32_t>(wholeShare / this->entries.size());
    if (newcomer)
        target = std::min(target, wholeShare / settings.assumedVms);
    const uint64_t others = this->taken() - entry.share;
    const uint64_t free = others < wholeShare ? wholeShare - others : 0;
    entry.share = static_cast<uint32_t>(std::min<uint64_t>(target, free));
    return entry.share;
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

std::vector<PeerAddress> ShareLedger::peers() const
{
    std::vector<PeerAddress> all;
    for (const auto& [vm, entry] : this->entries)
        all.push_back({ vm, entry.dataCentre, entry.address });
    return all;
}

} // namespace Lavendervane
