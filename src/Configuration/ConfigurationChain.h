#pragma once

#include "Configuration/ChainMessages.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct ChainSettings {
    Duration pollInterval = std::chrono::seconds(1);
    Duration fetchTimeout = std::chrono::seconds(3);
    Duration commitRetryInterval = std::chrono::milliseconds(500);
    /// After this time an unfinished commit is reported as Unknown, or as NotCommitted if nothing was written.
    Duration commitTimeout = std::chrono::seconds(15);
    uint64_t snapshotInterval = 100; ///< versions
    size_t retainedChanges = 256; ///< changes kept for peers with an older version
    size_t changesPerRead = 100;

    friend bool operator==(const ChainSettings&, const ChainSettings&) = default;
};

/// Reducer that applies new changes of the configuration chain and commits changes to it (docs/design.md, 5.9). The
/// version never decreases.
class ConfigurationChain {
public:
    explicit ConfigurationChain(ChainSettings);

    std::vector<ChainEffect> handle(const ChainEvent&);

    /// Returns the configuration in force. It is empty, with version 0, until the first change or snapshot arrives.
    std::shared_ptr<const Configuration> current() const { return this->configuration; }

    /// Returns the time at which the platform or a peer last confirmed that the configuration is up to date.
    Instant confirmedAt() const { return this->lastConfirmation; }

    /// Returns the changes after `version` for a peer; nothing if they are no longer held and a snapshot is needed.
    std::optional<std::vector<Change>> changesAfter(uint64_t version) const;

    /// Returns up to `limit` of the changes that are still held, newest first.
    std::vector<Change> recentChanges(size_t limit) const;

    friend bool operator==(const ConfigurationChain&, const ConfigurationChain&);

private:
    struct Commit {
        uint64_t operation = 0;
        Change change;
        Instant started;
        bool sent = false; ///< a write was sent, or the version was found to exist already
        bool ambiguous = false; ///< a write may have reached the platform but was not answered
        bool resolving = false; ///< the row of the version is read to learn whose change it holds
        uint64_t headRevision = 0;
        std::optional<Instant> retryAt;

        friend bool operator==(const Commit&, const Commit&) = default;
    };
    using Effects = std::vector<ChainEffect>;

    void on(const ChainTick&, Effects&);
    void on(const ChainRowsRead&, Effects&);
    void on(const ChainSnapshotRead&, Effects&);
    void on(const PeerVersionSeen&, Effects&);
    void on(const PeerChangesReceived&, Effects&);
    void on(const CommitRequested&, Effects&);
    void on(const ChainRowsWritten&, Effects&);

    void onHead(Instant now, const TableResult&, Effects&);
    void onChanges(Instant now, const TableResult&, Effects&);
    void onCommitHead(const ChainRowsRead&, Effects&);
    void onCommitResolution(const ChainRowsRead&, Effects&);

    void readMissingVersions(Instant now, Effects&);
    void readMissingChanges(Instant now, Effects&);
    /// Applies the change if it is the next version. Returns whether it was applied.
    bool applyNextChange(const Change&);
    void applySnapshot(Configuration, Effects&);
    void startNextCommit(Instant now, Effects&);
    void sendCommit(Effects&);
    void retryCommit(Effects&);
    void checkCommitTimers(Instant now, Effects&);
    bool isCurrentCommit(uint64_t operation) const;
    void finishCommit(CommitResult, uint64_t version, Instant now, Effects&);

    ChainSettings settings;
    std::shared_ptr<const Configuration> configuration;
    std::deque<Change> recentChangeLog; ///< the last changes applied one by one, oldest first
    uint64_t platformVersion = 0; ///< highest version seen in the head row
    Instant nextPoll {};
    Instant readDeadline {}; ///< until then no further read of changes or of a snapshot is started
    Instant fetchDeadline {}; ///< until then no further fetch from a peer is started
    Instant lastConfirmation {};
    std::deque<Commit> commits; ///< the first one is in progress, the others wait
};

/// Key of the table row that holds the change to a version.
std::string changeRowKey(uint64_t version);

/// Name of the platform object that holds the snapshot of a version.
std::string snapshotObjectName(uint64_t version);

} // namespace Lavendervane
