#include "Limits/LimitRows.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace Lavendervane {

using nlohmann::json;

// Holds the product of two 64-bit values. GCC provides this type on all targets of this project.
__extension__ using Uint128 = unsigned __int128;

uint64_t scale(uint64_t value, uint64_t numerator, uint64_t denominator)
{
    assert(denominator > 0);
    return static_cast<uint64_t>(static_cast<Uint128>(value) * numerator / denominator);
}

std::string leaseKey(const DataCentre& dataCentre) { return "allocator/" + dataCentre.str(); }

std::string shareKey(const OrganisationId& organisation) { return "share/" + organisation.str(); }

Capacity ShareRow::share(const DataCentre& dataCentre) const
{
    const auto found = this->shares.find(dataCentre);
    return found == this->shares.end() ? Capacity {} : found->second.capacity;
}

std::string toJson(const LeaseRow& row)
{
    json vms = json::array();
    for (const auto& vm : row.vms)
        vms.push_back(vm.str());
    return json {
        { "epoch", row.epoch }, { "holder", row.holder.str() }, { "change_id", row.changeId }, { "vms", std::move(vms) }
    }.dump();
}

std::string toJson(const ShareRow& row)
{
    json shares = json::object();
    for (const auto& [dataCentre, share] : row.shares)
        shares[dataCentre.str()]
            = { { "milli_rate", share.capacity.milliRate }, { "milli_burst", share.capacity.milliBurst },
                  { "wanted_milli_rate", share.wantedMilliRate }, { "change_id", share.changeId } };
    return json {
        { "configuration_version", row.configurationVersion },
        { "limit", { { "rate", row.limit.rate }, { "burst", row.limit.burst } } }, { "shares", std::move(shares) }
    }.dump();
}

LeaseRow parseLeaseRow(std::string_view text)
{
    try {
        const json parsed = json::parse(text);
        LeaseRow row { parsed.at("epoch").get<uint64_t>(), VmId(parsed.at("holder").get<std::string>()),
            parsed.at("change_id").get<std::string>(), {} };
        for (const auto& vm : parsed.at("vms"))
            row.vms.emplace(vm.get<std::string>());
        return row;
    } catch (const json::exception& failure) {
        throw Error("parse lease row", "", failure.what());
    }
}

ShareRow parseShareRow(std::string_view text)
{
    try {
        const json parsed = json::parse(text);
        const json& limit = parsed.at("limit");
        ShareRow row { parsed.at("configuration_version").get<uint64_t>(),
            { limit.at("rate").get<uint32_t>(), limit.at("burst").get<uint32_t>() }, {} };
        for (const auto& [name, share] : parsed.at("shares").items()) {
            row.shares[DataCentre(name)]
                = { { share.at("milli_rate").get<uint64_t>(), share.at("milli_burst").get<uint64_t>() },
                      share.at("wanted_milli_rate").get<uint64_t>(), share.at("change_id").get<std::string>() };
        }
        return row;
    } catch (const json::exception& failure) {
        throw Error("parse share row", "", failure.what());
    }
}

static Capacity toCapacity(const RateLimit& limit) { return { limit.rate * 1000ULL, limit.burst * 1000ULL }; }

/// Adds the part of the limit that no share covers to the first share.
static void addRemainder(ShareRow& row)
{
    Capacity remaining = toCapacity(row.limit);
    for (const auto& [dataCentre, share] : row.shares) {
        assert(share.capacity.milliRate <= remaining.milliRate && share.capacity.milliBurst <= remaining.milliBurst);
        remaining.milliRate -= share.capacity.milliRate;
        remaining.milliBurst -= share.capacity.milliBurst;
    }
    if (row.shares.empty())
        return;
    Capacity& first = row.shares.begin()->second.capacity;
    first.milliRate += remaining.milliRate;
    first.milliBurst += remaining.milliBurst;
}

ShareRow makeBaseShares(
    uint64_t configurationVersion, const RateLimit& limit, const std::vector<DataCentre>& dataCentres)
{
    ShareRow row { configurationVersion, limit, {} };
    if (dataCentres.empty())
        return row;
    const Capacity total = toCapacity(limit);
    const uint64_t count = dataCentres.size();
    for (const auto& dataCentre : dataCentres)
        row.shares[dataCentre].capacity = { total.milliRate / count, total.milliBurst / count };
    Capacity& first = row.shares[dataCentres.front()].capacity;
    first.milliRate += total.milliRate % count;
    first.milliBurst += total.milliBurst % count;
    return row;
}

ShareRow rescaleShares(const ShareRow& row, uint64_t configurationVersion, const RateLimit& limit)
{
    ShareRow result { configurationVersion, limit, row.shares };
    for (auto& [dataCentre, share] : result.shares) {
        Capacity& capacity = share.capacity;
        capacity.milliRate = row.limit.rate ? scale(capacity.milliRate, limit.rate, row.limit.rate) : 0;
        capacity.milliBurst = row.limit.burst ? scale(capacity.milliBurst, limit.burst, row.limit.burst) : 0;
    }
    if (limit.rate >= row.limit.rate && limit.burst >= row.limit.burst)
        addRemainder(result);
    return result;
}

} // namespace Lavendervane
