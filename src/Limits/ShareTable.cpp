#include "Limits/ShareTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

/// Bounds the size of a transaction, and the number of rows that a conflict in one of them delays.
constexpr size_t rowsPerTransaction = 8;

/// Number of reads over which the need is smoothed. When traffic moves between VMs, the sum of their wanted rates is up
/// to a third too high for some seconds. Shares that followed it immediately caused 0.3% refusals with moves every 5 s.
constexpr size_t recentNeedsCount = 3;

ShareTable::ShareTable(DataCentre dataCentre)
    : dataCentre(std::move(dataCentre))
{
}

void ShareTable::configure(const LimitsConfigured& event)
{
    this->configurationVersion = event.configurationVersion;
    this->dataCentres = event.dataCentres;
    for (auto& [organisation, entry] : this->organisations)
        entry.configured = false;
    for (const auto& configured : event.limits) {
        Entry& entry = this->organisations[configured.organisation];
        entry.limit = configured.limit;
        entry.configured = true;
    }
    for (auto next = this->organisations.begin(); next != this->organisations.end();) {
        const auto found = next++;
        // Grants of a removed organisation count until they are returned, because it may be configured again.
        if (!found->second.configured && found->second.pool.hasNoGrants())
            this->organisations.erase(found);
        else
            this->updateShare(found->first, found->second, event.now);
    }
}

ShareTable::Entry* ShareTable::find(const OrganisationId& organisation)
{
    const auto found = this->organisations.find(organisation);
    return found == this->organisations.end() ? nullptr : &found->second;
}

void ShareTable::reset()
{
    this->pendingWrite.reset();
    for (auto& [organisation, entry] : this->organisations)
        entry = Entry { entry.limit, entry.configured, {}, {}, 0, {}, {}, false };
}

std::vector<std::string> ShareTable::keys() const
{
    std::vector<std::string> keys;
    keys.reserve(this->organisations.size());
    for (const auto& [organisation, entry] : this->organisations) {
        if (entry.configured)
            keys.push_back(shareKey(organisation));
    }
    return keys;
}

bool ShareTable::isLoaded() const
{
    return std::all_of(this->organisations.begin(), this->organisations.end(),
        [](const auto& known) { return known.second.row || !known.second.configured; });
}

void ShareTable::applyRows(const std::vector<TableRow>& rows, uint64_t leaseRevision, Instant now)
{
    std::map<std::string, const TableRow*> byKey;
    for (const auto& row : rows)
        byKey[row.key] = &row;
    for (auto& [organisation, entry] : this->organisations) {
        const auto found = byKey.find(shareKey(organisation));
        if (found == byKey.end())
            continue; // The organisation was configured after the read was sent.
        entry.revision = found->second->revision;
        entry.row = entry.revision ? std::optional(parseShareRow(found->second->value)) : std::nullopt;
    }
    if (this->pendingWrite && !this->canStillCommit(*this->pendingWrite, leaseRevision))
        this->pendingWrite.reset();
    for (auto& [organisation, entry] : this->organisations) {
        this->updateShare(organisation, entry, now);
        entry.recentNeeds.push_back(entry.pool.neededMilliRate());
        if (entry.recentNeeds.size() > recentNeedsCount)
            entry.recentNeeds.pop_front();
    }
}

bool ShareTable::canStillCommit(const Write& write, uint64_t leaseRevision) const
{
    const auto& conditions = write.transaction.conditions;
    if (conditions.front().revision != leaseRevision)
        return false;
    size_t index = 1;
    for (const auto& [organisation, row] : write.rows) {
        const auto found = this->organisations.find(organisation);
        if (found != this->organisations.end() && found->second.revision != conditions[index].revision)
            return false;
        ++index;
    }
    return true;
}

static Capacity componentMin(const Capacity& left, const Capacity& right)
{
    return { std::min(left.milliRate, right.milliRate), std::min(left.milliBurst, right.milliBurst) };
}

void ShareTable::updateShare(const OrganisationId& organisation, Entry& entry, Instant now)
{
    if (!entry.row || !entry.configured) {
        entry.pool.setShare({}, now); // Capacity is used only once the row exists.
        return;
    }
    Capacity share = entry.row->share(this->dataCentre);
    if (this->configurationVersion > entry.row->configurationVersion && entry.limit != entry.row->limit)
        share = componentMin(
            share, rescaleShares(*entry.row, this->configurationVersion, entry.limit).share(this->dataCentre));
    if (this->pendingWrite) {
        const auto written = this->pendingWrite->rows.find(organisation);
        if (written != this->pendingWrite->rows.end())
            share = componentMin(share, written->second.share(this->dataCentre));
    }
    entry.pool.setShare(share, now);
}

std::optional<TableTransaction> ShareTable::planTransaction(
    const std::string& changeId, const RowCondition& lease, Instant now)
{
    if (this->pendingWrite)
        return this->pendingWrite->transaction;
    Write write { { changeId, { lease }, {} }, {}, false };
    auto next = this->organisations.upper_bound(this->lastPlanned);
    for (size_t count = 0; count < this->organisations.size() && write.rows.size() < rowsPerTransaction; ++count) {
        if (next == this->organisations.end())
            next = this->organisations.begin();
        auto& [organisation, entry] = *next++;
        this->lastPlanned = organisation;
        if (!entry.configured)
            continue;
        ShareRow row = this->makeDesiredRow(entry);
        if (entry.row == row)
            continue;
        row.shares[this->dataCentre].changeId = changeId;
        write.rows.emplace(organisation, std::move(row));
    }
    if (write.rows.empty())
        return std::nullopt;
    for (const auto& [organisation, row] : write.rows) {
        write.transaction.conditions.push_back({ shareKey(organisation), this->organisations[organisation].revision });
        write.transaction.writes.push_back({ shareKey(organisation), toJson(row) });
    }
    this->pendingWrite = std::move(write);
    // This data centre stops using capacity before the row lets another data centre use it.
    for (const auto& [organisation, row] : this->pendingWrite->rows)
        this->updateShare(organisation, this->organisations[organisation], now);
    return this->pendingWrite->transaction;
}

void ShareTable::completeTransaction(TableStatus status, Instant now)
{
    assert(this->pendingWrite);
    if (status == TableStatus::Unknown) {
        this->pendingWrite->mayHaveCommitted = true;
        return;
    }
    if (status != TableStatus::Done) {
        // An earlier attempt may have been committed, so the share stays lowered until the rows are read again.
        if (!this->pendingWrite->mayHaveCommitted)
            this->pendingWrite.reset();
        return;
    }
    const Write write = *std::exchange(this->pendingWrite, std::nullopt);
    for (const auto& [organisation, row] : write.rows) {
        if (Entry* entry = this->find(organisation)) {
            entry->row = row;
            this->updateShare(organisation, *entry, now);
        }
    }
}

ShareRow ShareTable::makeDesiredRow(Entry& entry) const
{
    if (!entry.row)
        return makeBaseShares(this->configurationVersion, entry.limit, this->dataCentres);
    ShareRow row = *entry.row;
    if (this->configurationVersion > row.configurationVersion && entry.limit != row.limit)
        row = rescaleShares(row, this->configurationVersion, entry.limit);
    else
        this->transferSurplus(entry, row);
    this->updateWantedRate(entry, row);
    return row;
}

static uint64_t maxOrZero(const std::deque<uint64_t>& values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

static uint64_t minOrZero(const std::deque<uint64_t>& values)
{
    return values.empty() ? 0 : *std::min_element(values.begin(), values.end());
}

void ShareTable::transferSurplus(Entry& entry, ShareRow& row) const
{
    entry.pool.setReserved({});
    Capacity& own = row.shares[this->dataCentre].capacity;
    const uint64_t ownWanted = std::max<uint64_t>(maxOrZero(entry.recentNeeds), 1);
    uint64_t rate = 0;
    DataCentreShare* receiver = nullptr;
    for (auto& [other, share] : row.shares) {
        if (other == this->dataCentre || !share.wantedMilliRate)
            continue;
        // Half of the transfer that would make both shares proportional to the wanted rates.
        const uint64_t totalWanted = share.wantedMilliRate + ownWanted;
        const uint64_t proportionalRate
            = scale(own.milliRate + share.capacity.milliRate, share.wantedMilliRate, totalWanted);
        const uint64_t missingRate = (proportionalRate - std::min(proportionalRate, share.capacity.milliRate)) / 2;
        if (missingRate > rate) {
            rate = missingRate;
            receiver = &share;
        }
    }
    // A quarter of the base share stays, so that traffic that moves back is admitted at once.
    const uint64_t limitRate = entry.limit.rate * uint64_t { 1000 };
    const uint64_t minRate = limitRate / (4 * std::max<size_t>(this->dataCentres.size(), 1));
    rate = std::min(rate, own.milliRate - std::min(own.milliRate, minRate));
    // Transfers below 4% of the limit are not worth a write and are within the error of the wanted rates.
    if (!receiver || rate < limitRate / 25)
        return;
    const Capacity transfer { rate, scale(own.milliBurst, rate, own.milliRate) };
    const Capacity free = entry.pool.free();
    if (free.milliRate < transfer.milliRate || free.milliBurst < transfer.milliBurst) {
        entry.pool.setReserved(transfer); // The holders must return the capacity before it can be transferred.
        return;
    }
    own = { own.milliRate - transfer.milliRate, own.milliBurst - transfer.milliBurst };
    receiver->capacity.milliRate += transfer.milliRate;
    receiver->capacity.milliBurst += transfer.milliBurst;
}

void ShareTable::updateWantedRate(const Entry& entry, ShareRow& row) const
{
    uint64_t& announced = row.shares[this->dataCentre].wantedMilliRate;
    const uint64_t wanted = minOrZero(entry.recentNeeds);
    const uint64_t change = std::max(announced, wanted) - std::min(announced, wanted);
    // Changes of at most 1/8 are not worth a write.
    if (change > announced / 8)
        announced = wanted;
}

} // namespace Lavendervane
