#include "Fleet/FeedMonitor.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Lower bound of the time for which the settings are made, because each of them costs calls to the store.
static constexpr Duration shortestApplyTime = std::chrono::seconds(1);

// The parts add up to less than the whole, which leaves time for the call itself.
FeedMonitorSettings FeedMonitorSettings::makeFor(Duration applyTime)
{
    applyTime = std::max(applyTime, shortestApplyTime);
    FeedMonitorSettings settings;
    settings.confirmInterval = applyTime / 3;
    settings.maxAge = applyTime * 3 / 5;
    settings.rankDelay = applyTime / 40;
    settings.jitter = applyTime / 10;
    settings.deliveryTime = applyTime / 6;
    return settings;
}

FeedMonitor::FeedMonitor(FeedMonitorSettings settings, uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

std::vector<FeedMonitorEffect> FeedMonitor::handle(const FeedMonitorEvent& event, Instant now)
{
    Effects effects;
    if (const auto* answered = std::get_if<TableAnswered>(&event)) {
        this->onAnswered(*answered);
        this->spread(effects);
    } else if (const auto* received = std::get_if<ConfirmationReceived>(&event)) {
        this->onConfirmation(received->message, now);
        this->spread(effects);
    } else if (const auto* change = std::get_if<MonitorRankChanged>(&event)) {
        this->rank = change->rank;
        for (auto& [name, table] : this->tables)
            table.extraAge = this->chooseExtraAge();
        effects.emplace_back(
            LimitFeedWait { this->rank ? std::nullopt : std::optional(this->settings.confirmInterval) });
    } else {
        this->timer.reset();
        this->recheckDueTables(now, effects);
    }
    this->setTimer(now, effects);
    return effects;
}

void FeedMonitor::onAnswered(const TableAnswered& answered)
{
    if (answered.generation < this->generation)
        return;
    if (answered.generation > this->generation) {
        // Revisions of different generations cannot be compared.
        this->generation = answered.generation;
        this->tables.clear();
        this->spreadTimeMs = 0;
    }
    this->clock.observe(answered.clock);
    Table& table = this->tables[answered.table];
    table.revision = std::max(table.revision, answered.revision);
    table.lastChange = std::max(table.lastChange, answered.lastChange);
    table.newestChange = std::max(table.newestChange, table.lastChange);
    if (table.newestChange <= table.revision)
        table.behindSince.reset();
    this->confirm(table, this->clock.earliestTimeOf(answered.clock), answered.clock.milliseconds);
}

void FeedMonitor::onConfirmation(const TablesConfirmed& message, Instant now)
{
    if (message.generation < this->generation)
        return;
    for (const TableConfirmation& confirmed : message.tables) {
        const auto known = this->tables.find(confirmed.table);
        if (known == this->tables.end())
            continue;
        Table& table = known->second;
        // A newer generation says nothing about revisions, but the store's next answer will tell this VM of it.
        const bool isBehind = message.generation > this->generation || confirmed.lastChange > table.revision;
        if (isBehind) {
            if (message.generation == this->generation)
                table.newestChange = std::max(table.newestChange, confirmed.lastChange);
            table.behindSince = table.behindSince.value_or(now);
            continue;
        }
        table.lastChange = std::max(table.lastChange, confirmed.lastChange);
        if (const auto at = this->clock.earliestTimeOf(confirmed.storeTimeMs))
            this->confirm(table, std::min(*at, now), confirmed.storeTimeMs);
    }
}

void FeedMonitor::confirm(Table& table, Instant at, uint64_t storeTimeMs)
{
    if (at <= table.confirmedAt)
        return;
    table.confirmedAt = at;
    table.storeTimeMs = std::max(table.storeTimeMs, storeTimeMs);
    table.extraAge = this->chooseExtraAge();
}

Duration FeedMonitor::chooseExtraAge()
{
    const Duration delay = this->settings.rankDelay * std::min(this->rank, this->settings.lastDelayedRank);
    return this->rank > this->settings.lastDelayedRank ? delay + this->random.below(this->settings.jitter) : delay;
}

Instant FeedMonitor::dueTime(const Table& table) const
{
    Instant due = table.confirmedAt + this->settings.maxAge + table.extraAge;
    if (table.behindSince)
        due = std::min(due, *table.behindSince + this->settings.deliveryTime);
    return std::max(due, table.recheckedAt + this->settings.confirmInterval);
}

void FeedMonitor::recheckDueTables(Instant now, Effects& effects)
{
    for (auto& [name, table] : this->tables) {
        if (now < this->dueTime(table))
            continue;
        table.recheckedAt = now;
        effects.emplace_back(RecheckTable { name, table.behindSince ? "behind" : "unconfirmed", table.confirmedAt });
    }
}

// Passes on what is known once the table that was confirmed longest ago has been confirmed anew.
void FeedMonitor::spread(Effects& effects)
{
    if (this->tables.empty())
        return;
    uint64_t oldestMs = this->tables.begin()->second.storeTimeMs;
    for (const auto& [name, table] : this->tables)
        oldestMs = std::min(oldestMs, table.storeTimeMs);
    const auto step = std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.confirmInterval / 2).count();
    if (oldestMs < this->spreadTimeMs + static_cast<uint64_t>(step))
        return;
    this->spreadTimeMs = oldestMs;
    SpreadConfirmation effect { { this->generation, {} } };
    for (const auto& [name, table] : this->tables)
        effect.message.tables.push_back({ name, table.lastChange, table.storeTimeMs });
    effects.emplace_back(std::move(effect));
}

// An earlier timer is left alone, because most confirmations arrive long before the time at which they would be missed.
void FeedMonitor::setTimer(Instant now, Effects& effects)
{
    if (this->tables.empty())
        return;
    std::optional<Instant> next;
    for (const auto& [name, table] : this->tables)
        next = std::min(next.value_or(this->dueTime(table)), this->dueTime(table));
    next = std::max(*next, now);
    if (this->timer && *this->timer <= *next)
        return;
    this->timer = next;
    effects.emplace_back(SetFeedMonitorTimer { *next });
}

} // namespace Lavendervane
