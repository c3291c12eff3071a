#include "Fleet/FleetMembership.h"

#include "Core/StrictJson.h"
#include "Http/Address.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

namespace {

struct MemberRow {
    FleetMember member;
    uint64_t expiresAtMs = 0;
};

std::optional<MemberRow> parseRow(const TableRow& row)
{
    try {
        const Json json = Json::parse(row.value);
        MemberRow parsed;
        parsed.member.vm = VmId(json.at("vm").get<std::string>());
        parsed.member.dataCentre = DataCentre(json.at("data_centre").get<std::string>());
        parsed.member.address = json.at("address").get<std::string>();
        parsed.member.cpuMillicores = decodeUnsignedAs<uint32_t>(json.at("processor"));
        parsed.expiresAtMs = decodeUnsigned(json.at("until"));
        if (row.key != FleetMembership::keyPrefix + parsed.member.vm.str() || !isConnectable(parsed.member.address))
            return std::nullopt;
        return parsed;
    } catch (const std::exception&) {
        // The row was written by another version of the program. Its VM is unknown to this one.
        return std::nullopt;
    }
}

} // namespace

FleetMembership::FleetMembership(FleetMember self, FleetMembershipSettings settings, uint64_t seed)
    : self(std::move(self))
    , settings(settings)
    , random(seed)
{
}

std::vector<FleetMember> FleetMembership::parseRows(
    const std::vector<TableRow>& rows, uint64_t tableNowMs, const FleetMembershipSettings& settings)
{
    std::vector<FleetMember> members;
    for (const TableRow& row : rows) {
        const auto parsed = parseRow(row);
        if (parsed && parsed->expiresAtMs + settings.clockErrorMs > tableNowMs)
            members.push_back(parsed->member);
    }
    return members;
}

std::vector<MembershipEffect> FleetMembership::start()
{
    this->callInProgress = true;
    return { ReadMembers {} };
}

std::vector<MembershipEffect> FleetMembership::handle(const MembershipEvent& event, Instant now)
{
    if (const auto* read = std::get_if<MembersRead>(&event))
        return this->onRead(read->reply, now);
    if (const auto* written = std::get_if<MemberWritten>(&event))
        return this->onWritten(written->reply, now);
    if (const auto* announced = std::get_if<MemberAnnounced>(&event))
        return this->onAnnounced(announced->member);
    if (std::holds_alternative<TableRestored>(event))
        return this->onTableRestored(now);
    return this->onTimer(now);
}

std::vector<MembershipEffect> FleetMembership::retryLater(Instant now)
{
    this->callInProgress = false;
    this->retryDelay = std::clamp(2 * this->retryDelay, this->settings.minRetryDelay, this->settings.maxRetryDelay);
    return { SetMembershipTimer { now + this->retryDelay + this->random.below(this->settings.minRetryDelay) } };
}

PublishMembers FleetMembership::makeList() const
{
    PublishMembers list;
    for (const auto& [vm, member] : this->members)
        list.members.push_back(member);
    list.settled = this->settled;
    return list;
}

// Reads the expiry of the own row, which is 0 if the row is missing or does not describe this VM.
bool FleetMembership::isListed(const std::vector<TableRow>& rows, uint64_t tableNowMs)
{
    const auto own = std::find_if(
        rows.begin(), rows.end(), [this](const TableRow& row) { return row.key == keyPrefix + this->self.vm.str(); });
    const auto row = own == rows.end() ? std::nullopt : parseRow(*own);
    this->ownExpiryMs = row && row->member == this->self && row->expiresAtMs > tableNowMs ? row->expiresAtMs : 0;
    return this->ownExpiryMs > 0;
}

SetMembershipTimer FleetMembership::nextRefresh(Instant now)
{
    if (now < this->keepMembersUntil)
        return { this->keepMembersUntil + this->random.below(this->settings.joinJitter) };
    return { now + this->settings.refreshInterval + this->random.below(this->settings.refreshInterval / 4) };
}

// Members whose rows are lost still hold leases and shares of the limits, so they stay listed until they have had time
// to write their rows again.
std::vector<MembershipEffect> FleetMembership::onTableRestored(Instant now)
{
    this->keepMembersUntil = now + this->settings.joinJitter + this->settings.settleTime;
    if (this->callInProgress || this->settling || !this->joined)
        return {};
    return { SetMembershipTimer { now + this->random.below(this->settings.joinJitter) } };
}

std::vector<MembershipEffect> FleetMembership::onRead(const TableReply& reply, Instant now)
{
    if (reply.result.status != TableStatus::Done)
        return this->retryLater(now);
    this->callInProgress = false;
    this->retryDelay = {};
    this->clock = reply.clock;
    const uint64_t tableNow = reply.clock.lowerBound(now);
    if (now >= this->keepMembersUntil)
        this->members.clear();
    for (FleetMember& member : parseRows(reply.result.rows, tableNow, this->settings))
        this->members.emplace(member.vm, std::move(member));
    const bool isFirst = !std::exchange(this->hasRead, true);
    if (!this->isListed(reply.result.rows, tableNow))
        return { SetMembershipTimer { now + this->random.below(this->settings.joinJitter) } };
    if (isFirst) {
        // An earlier run of this VM is listed, so the fleet knows this VM and is not starting.
        this->joined = true;
        this->settled = true;
    }
    this->members.insert_or_assign(this->self.vm, this->self);
    Effects effects;
    if (std::exchange(this->mustAnnounce, false)) {
        AnnounceMember announcement { this->self, {} };
        for (const auto& [vm, member] : this->members) {
            if (vm != this->self.vm)
                announcement.addresses.push_back(member.address);
        }
        effects.emplace_back(std::move(announcement));
    }
    effects.emplace_back(this->makeList());
    if (this->settled) {
        effects.emplace_back(this->nextRefresh(now));
    } else {
        this->settling = true;
        effects.emplace_back(SetMembershipTimer { now + this->settings.settleTime });
    }
    return effects;
}

std::vector<MembershipEffect> FleetMembership::writeRow(Instant now)
{
    this->callInProgress = true;
    const uint64_t until = this->clock.lowerBound(now) + this->settings.lifetimeMs;
    const Json row { { "vm", this->self.vm.str() }, { "data_centre", this->self.dataCentre.str() },
        { "address", this->self.address }, { "processor", this->self.cpuMillicores }, { "until", until } };
    this->ownExpiryMs = until;
    TableTransaction transaction;
    transaction.writes.push_back({ keyPrefix + this->self.vm.str(), row.dump() });
    return { WriteMember { std::move(transaction) } };
}

std::vector<MembershipEffect> FleetMembership::onWritten(const TableReply& reply, Instant now)
{
    if (reply.result.status != TableStatus::Done) {
        this->ownExpiryMs = 0;
        return this->retryLater(now);
    }
    this->retryDelay = {};
    this->mustAnnounce = !std::exchange(this->joined, true);
    return { ReadMembers {} };
}

std::vector<MembershipEffect> FleetMembership::onAnnounced(const FleetMember& member)
{
    const auto known = this->members.find(member.vm);
    if (member.vm == this->self.vm || (known != this->members.end() && known->second == member))
        return {};
    this->members.insert_or_assign(member.vm, member);
    if (!this->joined)
        return {};
    return { this->makeList() };
}

std::vector<MembershipEffect> FleetMembership::onTimer(Instant now)
{
    if (this->callInProgress)
        return {};
    if (std::exchange(this->settling, false)) {
        this->settled = true;
        return { this->makeList(), this->nextRefresh(now) };
    }
    const bool mustWrite
        = this->hasRead && this->ownExpiryMs < this->clock.lowerBound(now) + this->settings.lifetimeMs * 2 / 3;
    if (mustWrite)
        return this->writeRow(now);
    this->callInProgress = true;
    return { ReadMembers {} };
}

} // namespace Lavendervane
