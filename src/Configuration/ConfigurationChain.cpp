#include "Configuration/ConfigurationChain.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <cstdio>

namespace Lavendervane {

static const char* const headRowKey = "configuration/head";

namespace {

struct Head {
    uint64_t version = 0;
    uint64_t revision = 0;
};

Head parseHead(const TableResult& result)
{
    if (result.rows.empty() || !result.rows.front().revision)
        return {};
    const auto value = nlohmann::json::parse(result.rows.front().value, nullptr, false);
    return { value.is_object() ? value.value("version", uint64_t(0)) : 0, result.rows.front().revision };
}

std::string formatHead(const Change& change)
{
    return nlohmann::json { { "version", change.version }, { "change_id", change.id } }.dump();
}

std::optional<Change> parseChangeRow(const TableRow& row)
{
    if (!row.revision)
        return std::nullopt;
    return parseChange(row.value);
}

} // namespace

std::string changeRowKey(uint64_t version)
{
    char key[48];
    std::snprintf(key, sizeof(key), "configuration/change/%012llu", static_cast<unsigned long long>(version));
    return key;
}

std::string snapshotObjectName(uint64_t version) { return "configuration-snapshot-" + std::to_string(version); }

ConfigurationChain::ConfigurationChain(ChainSettings settings)
    : settings(settings)
    , configuration(std::make_shared<const Configuration>())
{
}

bool operator==(const ConfigurationChain& left, const ConfigurationChain& right)
{
    return left.settings == right.settings && *left.configuration == *right.configuration
        && left.recentChangeLog == right.recentChangeLog && left.platformVersion == right.platformVersion
        && left.nextPoll == right.nextPoll && left.readDeadline == right.readDeadline
        && left.fetchDeadline == right.fetchDeadline && left.lastConfirmation == right.lastConfirmation
        && left.commits == right.commits;
}

std::vector<ChainEffect> ConfigurationChain::handle(const ChainEvent& event)
{
    Effects effects;
    [[maybe_unused]] const uint64_t before = this->configuration->version;
    std::visit([this, &effects](const auto& specific) { this->on(specific, effects); }, event);
    assert(this->configuration->version >= before);
    return effects;
}

std::optional<std::vector<Change>> ConfigurationChain::changesAfter(uint64_t version) const
{
    if (version >= this->configuration->version)
        return std::vector<Change> {};
    if (this->recentChangeLog.empty() || this->recentChangeLog.front().previousVersion > version)
        return std::nullopt;
    std::vector<Change> changes;
    for (const Change& change : this->recentChangeLog) {
        if (change.version > version)
            changes.push_back(change);
    }
    return changes;
}

std::vector<Change> ConfigurationChain::recentChanges(size_t limit) const
{
    const size_t count = std::min(limit, this->recentChangeLog.size());
    return { this->recentChangeLog.rbegin(), this->recentChangeLog.rbegin() + static_cast<std::ptrdiff_t>(count) };
}

void ConfigurationChain::on(const ChainTick& tick, Effects& effects)
{
    this->checkCommitTimers(tick.now, effects);
    // A VM without any configuration polls the platform itself, because its data centre may have no reader yet.
    if (!(tick.reader || !this->configuration->version) || tick.now < this->nextPoll)
        return;
    this->nextPoll = tick.now + this->settings.pollInterval;
    effects.push_back(ReadChainRows { ChainReadPurpose::Head, 0, { headRowKey } });
}

void ConfigurationChain::on(const ChainRowsRead& event, Effects& effects)
{
    switch (event.purpose) {
    case ChainReadPurpose::Head:
        this->onHead(event.now, event.result, effects);
        break;
    case ChainReadPurpose::Changes:
        this->onChanges(event.now, event.result, effects);
        break;
    case ChainReadPurpose::CommitHead:
        this->onCommitHead(event, effects);
        break;
    case ChainReadPurpose::CommitResolution:
        this->onCommitResolution(event, effects);
        break;
    }
}

void ConfigurationChain::onHead(Instant now, const TableResult& result, Effects& effects)
{
    if (result.status != TableStatus::Done)
        return;
    this->platformVersion = std::max(this->platformVersion, parseHead(result).version);
    if (this->platformVersion <= this->configuration->version)
        this->lastConfirmation = now;
    else
        this->readMissingVersions(now, effects);
}

void ConfigurationChain::readMissingVersions(Instant now, Effects& effects)
{
    if (now < this->readDeadline)
        return;
    this->readDeadline = now + this->settings.fetchTimeout;
    const uint64_t snapshotVersion = this->platformVersion - this->platformVersion % this->settings.snapshotInterval;
    if (snapshotVersion > this->configuration->version + this->settings.snapshotInterval)
        effects.push_back(ReadChainSnapshot { snapshotObjectName(snapshotVersion) });
    else
        this->readMissingChanges(now, effects);
}

void ConfigurationChain::readMissingChanges(Instant now, Effects& effects)
{
    this->readDeadline = now + this->settings.fetchTimeout;
    ReadChainRows read { ChainReadPurpose::Changes, 0, {} };
    uint64_t version = this->configuration->version;
    while (version < this->platformVersion && read.keys.size() < this->settings.changesPerRead)
        read.keys.push_back(changeRowKey(++version));
    effects.push_back(std::move(read));
}

void ConfigurationChain::onChanges(Instant now, const TableResult& result, Effects& effects)
{
    this->readDeadline = now;
    if (result.status != TableStatus::Done)
        return;
    bool advanced = false;
    for (const TableRow& row : result.rows) {
        if (const auto change = parseChangeRow(row))
            advanced = this->applyNextChange(*change) || advanced;
    }
    if (!advanced)
        return;
    effects.push_back(ConfigurationAdvanced { this->configuration->version });
    if (this->configuration->version < this->platformVersion)
        this->readMissingChanges(now, effects);
    else
        this->lastConfirmation = now;
}

void ConfigurationChain::on(const ChainSnapshotRead& event, Effects& effects)
{
    this->readDeadline = event.now;
    if (event.snapshot)
        this->applySnapshot(parseConfiguration(*event.snapshot), effects);
    // The snapshot is missing if its writer died before writing it. The rows of the chain are complete.
    if (this->configuration->version < this->platformVersion)
        this->readMissingChanges(event.now, effects);
}

void ConfigurationChain::on(const PeerVersionSeen& event, Effects& effects)
{
    if (event.version <= this->configuration->version || event.now < this->fetchDeadline)
        return;
    this->fetchDeadline = event.now + this->settings.fetchTimeout;
    effects.push_back(FetchChangesFromPeer { event.peer, this->configuration->version });
}

void ConfigurationChain::on(const PeerChangesReceived& event, Effects& effects)
{
    this->fetchDeadline = event.now;
    const uint64_t before = this->configuration->version;
    if (event.snapshot)
        this->applySnapshot(*event.snapshot, effects);
    bool advanced = false;
    for (const Change& change : event.changes)
        advanced = this->applyNextChange(change) || advanced;
    if (advanced)
        effects.push_back(ConfigurationAdvanced { this->configuration->version });
    if (this->configuration->version > before)
        this->lastConfirmation = event.now;
}

bool ConfigurationChain::applyNextChange(const Change& change)
{
    if (change.version != this->configuration->version + 1)
        return false;
    this->configuration = std::make_shared<const Configuration>(applyChange(*this->configuration, change));
    this->recentChangeLog.push_back(change);
    if (this->recentChangeLog.size() > this->settings.retainedChanges)
        this->recentChangeLog.pop_front();
    return true;
}

void ConfigurationChain::applySnapshot(Configuration snapshot, Effects& effects)
{
    if (snapshot.version <= this->configuration->version)
        return;
    this->configuration = std::make_shared<const Configuration>(std::move(snapshot));
    this->recentChangeLog.clear();
    effects.push_back(ConfigurationAdvanced { this->configuration->version });
}

void ConfigurationChain::on(const CommitRequested& event, Effects& effects)
{
    Commit commit;
    commit.operation = event.operation;
    commit.change = event.change;
    commit.started = event.now;
    this->commits.push_back(std::move(commit));
    if (this->commits.size() == 1)
        this->startNextCommit(event.now, effects);
}

void ConfigurationChain::startNextCommit(Instant now, Effects& effects)
{
    if (this->commits.empty())
        return;
    Commit& commit = this->commits.front();
    commit.started = now;
    effects.push_back(ReadChainRows { ChainReadPurpose::CommitHead, commit.operation, { headRowKey } });
}

bool ConfigurationChain::isCurrentCommit(uint64_t operation) const
{
    return !this->commits.empty() && this->commits.front().operation == operation;
}

void ConfigurationChain::checkCommitTimers(Instant now, Effects& effects)
{
    if (this->commits.empty())
        return;
    Commit& commit = this->commits.front();
    if (now - commit.started > this->settings.commitTimeout) {
        this->finishCommit(commit.sent ? CommitResult::Unknown : CommitResult::NotCommitted, 0, now, effects);
    } else if (commit.retryAt && *commit.retryAt <= now) {
        commit.retryAt.reset();
        this->retryCommit(effects);
    }
}

void ConfigurationChain::retryCommit(Effects& effects)
{
    const Commit& commit = this->commits.front();
    if (commit.resolving) {
        effects.push_back(ReadChainRows {
            ChainReadPurpose::CommitResolution, commit.operation, { changeRowKey(commit.change.version) } });
    } else
        this->sendCommit(effects);
}

void ConfigurationChain::onCommitHead(const ChainRowsRead& event, Effects& effects)
{
    if (!this->isCurrentCommit(event.operation) || this->commits.front().sent)
        return;
    if (event.result.status != TableStatus::Done) {
        this->finishCommit(CommitResult::NotCommitted, 0, event.now, effects);
        return;
    }
    Commit& commit = this->commits.front();
    const Head head = parseHead(event.result);
    this->platformVersion = std::max(this->platformVersion, head.version);
    if (head.version >= commit.change.version) {
        // The operator may be repeating a change whose answer was lost. The row of the version shows whether it holds
        // this change.
        commit.sent = true;
        commit.resolving = true;
        this->retryCommit(effects);
        return;
    }
    if (head.version != commit.change.previousVersion) {
        this->finishCommit(CommitResult::Conflict, head.version, event.now, effects);
        return;
    }
    commit.headRevision = head.revision;
    this->sendCommit(effects);
}

void ConfigurationChain::sendCommit(Effects& effects)
{
    Commit& commit = this->commits.front();
    commit.sent = true;
    TableTransaction transaction;
    transaction.changeId = commit.change.id;
    transaction.conditions = { { headRowKey, commit.headRevision }, { changeRowKey(commit.change.version), 0 } };
    transaction.writes
        = { { headRowKey, formatHead(commit.change) }, { changeRowKey(commit.change.version), toJson(commit.change) } };
    effects.push_back(WriteChainRows { commit.operation, std::move(transaction) });
}

void ConfigurationChain::on(const ChainRowsWritten& event, Effects& effects)
{
    if (!this->isCurrentCommit(event.operation) || !this->commits.front().sent)
        return;
    Commit& commit = this->commits.front();
    switch (event.result.status) {
    case TableStatus::Done:
        this->finishCommit(CommitResult::Committed, commit.change.version, event.now, effects);
        break;
    case TableStatus::NotSent:
        if (!commit.ambiguous) {
            this->finishCommit(CommitResult::NotCommitted, 0, event.now, effects);
            break;
        }
        commit.retryAt = event.now + this->settings.commitRetryInterval;
        break;
    case TableStatus::Unknown:
        // Only sending the same transaction again reveals the result. Both transactions require the same revision, so
        // at most one of them commits. A read instead could precede the first transaction if that is merely slow.
        commit.ambiguous = true;
        commit.retryAt = event.now + this->settings.commitRetryInterval;
        break;
    case TableStatus::Conflict:
        // An earlier attempt of this commit may itself have changed the head row.
        commit.resolving = true;
        this->retryCommit(effects);
        break;
    }
}

void ConfigurationChain::onCommitResolution(const ChainRowsRead& event, Effects& effects)
{
    if (!this->isCurrentCommit(event.operation) || !this->commits.front().resolving)
        return;
    Commit& commit = this->commits.front();
    if (event.result.status != TableStatus::Done) {
        commit.retryAt = event.now + this->settings.commitRetryInterval;
        return;
    }
    const auto committedChange = event.result.rows.empty() ? std::nullopt : parseChangeRow(event.result.rows.front());
    if (committedChange && committedChange->id == commit.change.id)
        this->finishCommit(CommitResult::Committed, commit.change.version, event.now, effects);
    else
        this->finishCommit(
            CommitResult::Conflict, std::max(this->platformVersion, commit.change.version), event.now, effects);
}

void ConfigurationChain::finishCommit(CommitResult result, uint64_t version, Instant now, Effects& effects)
{
    const Commit commit = std::move(this->commits.front());
    this->commits.pop_front();
    if (result == CommitResult::Committed) {
        this->platformVersion = std::max(this->platformVersion, version);
        if (this->applyNextChange(commit.change)) {
            this->lastConfirmation = now;
            effects.push_back(ConfigurationAdvanced { version });
        }
        if (version % this->settings.snapshotInterval == 0 && this->configuration->version == version)
            effects.push_back(WriteChainSnapshot { snapshotObjectName(version), toJson(*this->configuration) });
    }
    effects.push_back(CommitFinished { commit.operation, result, version });
    this->startNextCommit(now, effects);
}

} // namespace Lavendervane
