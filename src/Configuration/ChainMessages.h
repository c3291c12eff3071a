#pragma once

#include "Configuration/Change.h"
#include "Control/TableMessages.h"
#include "Core/Instant.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Purpose of a read of table rows. The event with the result repeats it.
enum class ChainReadPurpose {
    Head, ///< the row configuration/head, to learn the newest version
    Changes, ///< the rows configuration/change/<version> of missing versions
    CommitHead, ///< the row configuration/head, before a commit
    CommitResolution, ///< the row of the version to commit, to resolve a commit whose result is unclear
};

/// Periodic event, every 100 ms. `reader` is set if this VM polls the platform on behalf of its data centre.
struct ChainTick {
    Instant now;
    bool reader = false;
};

/// Result of a ReadChainRows effect.
struct ChainRowsRead {
    Instant now;
    ChainReadPurpose purpose = ChainReadPurpose::Head;
    uint64_t operation = 0; ///< operation of the ReadChainRows effect
    TableResult result;
};

/// Result of a ReadChainSnapshot effect. `snapshot` is empty if the object is absent or the platform did not answer.
struct ChainSnapshotRead {
    Instant now;
    std::optional<std::string> snapshot;
};

/// A peer reported the version of the configuration that it has in force.
struct PeerVersionSeen {
    Instant now;
    VmId peer;
    uint64_t version = 0;
};

/// Result of a FetchChangesFromPeer effect. The fetch failed if there are neither changes nor a snapshot.
struct PeerChangesReceived {
    Instant now;
    VmId peer;
    std::vector<Change> changes;
    std::optional<Configuration> snapshot;
};

/// An operator requests that a change be committed. `change.previousVersion` is the version it is based on.
struct CommitRequested {
    Instant now;
    uint64_t operation = 0; ///< chosen by the caller, repeated in CommitFinished
    Change change;
};

/// Result of a WriteChainRows effect.
struct ChainRowsWritten {
    Instant now;
    uint64_t operation = 0; ///< operation of the WriteChainRows effect
    TableResult result;
};

using ChainEvent = std::variant<ChainTick, ChainRowsRead, ChainSnapshotRead, PeerVersionSeen, PeerChangesReceived,
    CommitRequested, ChainRowsWritten>;

/// Read rows of the platform's table.
struct ReadChainRows {
    ChainReadPurpose purpose = ChainReadPurpose::Head;
    uint64_t operation = 0; ///< commit for which the rows are read; 0 if there is none
    std::vector<std::string> keys;

    friend bool operator==(const ReadChainRows&, const ReadChainRows&) = default;
};

/// Execute a transaction on the platform's table.
struct WriteChainRows {
    uint64_t operation = 0;
    TableTransaction transaction;

    friend bool operator==(const WriteChainRows&, const WriteChainRows&) = default;
};

/// Read a snapshot object from the platform.
struct ReadChainSnapshot {
    std::string object;

    friend bool operator==(const ReadChainSnapshot&, const ReadChainSnapshot&) = default;
};

/// Write a snapshot object to the platform. The result is not reported back, because a missing snapshot only makes
/// the start of a VM slower.
struct WriteChainSnapshot {
    std::string object;
    std::string snapshot;

    friend bool operator==(const WriteChainSnapshot&, const WriteChainSnapshot&) = default;
};

/// Request the changes after `fromVersion` from a peer.
struct FetchChangesFromPeer {
    VmId peer;
    uint64_t fromVersion = 0;

    friend bool operator==(const FetchChangesFromPeer&, const FetchChangesFromPeer&) = default;
};

/// A newer version is in force and must be announced to peers immediately.
struct ConfigurationAdvanced {
    uint64_t version = 0;

    friend bool operator==(const ConfigurationAdvanced&, const ConfigurationAdvanced&) = default;
};

enum class CommitResult {
    Committed,
    Conflict, ///< another change was committed first
    NotCommitted, ///< the platform could not be reached; nothing was written
    Unknown, ///< the platform did not answer; the change may or may not be committed
};

/// The result of a CommitRequested event is known.
struct CommitFinished {
    uint64_t operation = 0;
    CommitResult result = CommitResult::Unknown;
    uint64_t version = 0; ///< the committed version, or the highest known one after a conflict; else 0

    friend bool operator==(const CommitFinished&, const CommitFinished&) = default;
};

using ChainEffect = std::variant<ReadChainRows, WriteChainRows, ReadChainSnapshot, WriteChainSnapshot,
    FetchChangesFromPeer, ConfigurationAdvanced, CommitFinished>;

} // namespace Lavendervane
