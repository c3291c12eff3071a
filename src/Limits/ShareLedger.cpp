#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Limits/WindowLimits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

static Json toJson(const ShareLedger::Shares& shares)
{
    Json json = Json::object();
    for (const auto& [organisation, parts] : shares)
        json[organisation.str()] = parts;
    return json;
}

static ShareLedger::Shares parseShares(const Json& json)
{
    ShareLedger::Shares shares;
    for (const auto& [organisation, parts] : json.items())
        shares.emplace(organisation, parts.get<uint32_t>());
    return shares;
}

ShareLedger ShareLedger::parse(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        ShareLedger ledger;
        for (const auto& [vm, entry] : json.at("holders").items()) {
            ledger.entries.emplace(vm,
                Entry { entry.at("run").get<std::string>(), entry.at("until").get<uint64_t>(),
                    parseShares(entry.at("shares")) });
        }
        for (const Json& entry : json.at("cooling"))
            ledger.cooling.push_back({ entry.at("until").get<uint64_t>(), parseShares(entry.at("shares")) });
        return ledger;
    } catch (const Json::exception& error) {
        throw Error("parse share ledger", "", error.what());
    }
}

std::string ShareLedger::serialise() const
{
    Json holders = Json::object();
    for (const auto& [vm, entry] : this->entries)
        holders[vm.str()] = { { "run", entry.run }, { "until", entry.untilMs }, { "shares", toJson(entry.shares) } };
    Json ended = Json::array();
    for (const Cooling& entry : this->cooling)
        ended.push_back({ { "until", entry.untilMs }, { "shares", toJson(entry.shares) } });
    return Json { { "holders", std::move(holders) }, { "cooling", std::move(ended) } }.dump();
}

uint64_t ShareLedger::taken(const OrganisationId& organisation) const
{
    uint64_t sum = 0;
    const auto add = [&sum, &organisation](const Shares& shares) {
        if (const auto share = shares.find(organisation); share != shares.end())
            sum += share->second;
    };
    for (const auto& [vm, entry] : this->entries)
        add(entry.shares);
    for (const Cooling& entry : this->cooling)
        add(entry.shares);
    return sum;
}

void ShareLedger::cool(Shares shares, uint64_t untilMs)
{
    std::erase_if(shares, [](const auto& share) { return share.second == 0; });
    if (!shares.empty())
        this->cooling.push_back({ untilMs, std::move(shares) });
}

void ShareLedger::expire(uint64_t nowMs, const Settings& settings)
{
    std::erase_if(this->cooling, [nowMs](const Cooling& entry) { return entry.untilMs <= nowMs; });
    std::erase_if(this->entries, [nowMs, &settings](const auto& entry) {
        return entry.second.untilMs + settings.windowMs + settings.slackMs <= nowMs;
    });
}

ShareLedger::Shares ShareLedger::renew(
    const Holder& holder, const Shares& wanted, uint64_t nowMs, const Settings& settings)
{
    this->expire(nowMs, settings);
    const uint64_t freeAgain = nowMs + settings.windowMs + settings.slackMs;
    Entry& entry = this->entries[holder.vm];
    const bool newcomer = entry.run != holder.run;
    if (newcomer) {
        this->cool(std::exchange(entry.shares, {}), freeAgain);
        entry.run = holder.run;
    }
    entry.untilMs = nowMs + settings.lifetimeMs;
    Shares returned;
    for (auto& [organisation, share] : entry.shares) {
        const auto want = wanted.find(organisation);
        const uint32_t keep = want == wanted.end() ? 0 : std::min(share, want->second);
        if (keep < share)
            returned.emplace(organisation, share - keep);
        share = keep;
    }
    this->cool(std::move(returned), freeAgain);
    for (const auto& [organisation, want] : wanted) {
        uint32_t& share = entry.shares[organisation];
        const uint64_t taken = this->taken(organisation);
        const uint64_t unused = taken < wholeShare ? wholeShare - taken : 0;
        const uint64_t free = newcomer ? unused / settings.newcomerDivisor : unused;
        if (share < want)
            share += static_cast<uint32_t>(std::min<uint64_t>(want - share, free));
    }
    return entry.shares;
}

void ShareLedger::leave(const Holder& holder, uint64_t nowMs, const Settings& settings)
{
    this->expire(nowMs, settings);
    const auto found = this->entries.find(holder.vm);
    if (found == this->entries.end() || found->second.run != holder.run)
        return;
    this->cool(std::move(found->second.shares), nowMs + settings.windowMs + settings.slackMs);
    this->entries.erase(found);
}

} // namespace Lavendervane
