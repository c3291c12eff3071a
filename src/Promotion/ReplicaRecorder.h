#pragma once

#include "Core/Instant.h"
#include "Promotion/GroupRecord.h"
#include "Promotion/PromotionMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

struct ReplicaRecorderSettings {
    /// Number of VMs that keep the record of a group. Those after the first one act later.
    size_t recorders = 3;
    Duration delayPerRank = std::chrono::seconds(2);
    /// Interval at which replicas are queried while one that has ended may hold commits that the others lack.
    Duration confirmInterval = std::chrono::milliseconds(200);
    /// Interval at which replicas are queried that are not registered. One that has ended and starts again with its log
    /// is recorded again after at most this time.
    Duration probeInterval = std::chrono::seconds(1);
    /// Number of runs of a group that are remembered after their end, the newest ones.
    size_t maxEndedRuns = 8;
    /// A replica that is not registered and has not answered for this long is taken for ended.
    Duration silenceLimit = std::chrono::minutes(2);
    /// Interval at which replicas are checked for a pause that nobody ends.
    Duration pauseCheckInterval = std::chrono::seconds(5);
    /// Delay before a failed call to the table is repeated.
    Duration retryDelay = std::chrono::milliseconds(500);
};

/// Result of ReadGroupRecord or WriteGroupRecord.
struct GroupRecordAnswered {
    GroupId group;
    TableReply reply;
};

/// Result of the QueryEndpointStatuses of a recorder.
struct ReplicaStatusesReceived {
    EndpointStatusesReceived answered;
};

/// The timer of SetRecorderTimer has expired.
struct RecorderTimerFired { };

using RecorderEvent = std::variant<RegistryUpdated, VmsChanged, GroupRecordAnswered, ReplicaStatusesReceived,
    RecorderTimerFired, TableRestored>;

/// Reads the row of a group.
struct ReadGroupRecord {
    GroupId group;
    std::string key;
};

/// Replaces the row of a group.
struct WriteGroupRecord {
    GroupId group;
    TableTransaction transaction;
};

/// Schedules RecorderTimerFired and cancels an earlier timer.
struct SetRecorderTimer {
    Instant when;
};

using RecorderEffect = std::variant<ReadGroupRecord, WriteGroupRecord, QueryEndpointStatuses, SetRecorderTimer,
    PausedReplicasFound, LogPromotionStep>;

/// Keeps the record of the runs of endpoints that may hold acknowledged commits, for each group with synchronous
/// replication. A run that is not registered any more stays in the record until it has ended and enough endpoints have
/// received all that the primary had then:
///
/// - An endpoint whose entry has expired may go on receiving. It has ended if nothing listens at its address, if a
///   later run of it or another endpoint at its address is registered, or if it has been silent for long.
/// - A later run, or another endpoint at the address, must receive the log like all others, because it may have started
///   without it.
/// - One that has ended may start again with its log, and receive without an entry. It is asked at its address, and
///   recorded again as soon as it accepts a connection.
///
/// A few VMs keep the record of each group. They also look for replicas that stay paused because the VM that paused
/// them has ended. The class is a pure state machine: it reads no clock and does no I/O.
class ReplicaRecorder {
public:
    ReplicaRecorder(VmId self, ReplicaRecorderSettings);

    /// Processes an event and returns the effects that the caller must carry out.
    std::vector<RecorderEffect> handle(const RecorderEvent&, Instant now);

private:
    using Effects = std::vector<RecorderEffect>;

    struct Member {
        std::string address;
        bool isPrimary = false;
        uint64_t startedAt = 0; ///< Unix time in ms

        friend bool operator==(const Member&, const Member&) = default;
    };

    struct Group {
        GroupId name;
        std::map<EndpointId, Member> members;
        std::optional<size_t> rank; ///< of this VM among the recorders; nothing if it is none
        uint32_t synchronousReplicas = 0;
        std::optional<GroupRecord> record; ///< the row as it was last seen
        uint64_t revision = 0;
        uint64_t generation = 0;
        std::optional<GroupRecord> written; ///< record in the write that is in progress
        bool callInProgress = false;
        uint64_t query = 0; ///< answers to queries with other numbers are ignored
        bool queryInProgress = false;
        Instant nextCall {}; ///< the table is not called before
        Instant nextQuery {};
        Instant nextPauseCheck {};
        std::map<EndpointRun, Instant> silentSince; ///< runs that are not registered and do not answer
        std::set<EndpointRun> ended; ///< runs that are not registered and have been found to have ended
        /// Position of the primary after a run had ended, an upper bound of that run's log.
        std::map<EndpointRun, LogPosition> bounds;
        std::set<EndpointRun> covered; ///< runs that have ended and held nothing that the others lack
        /// Endpoints of ended runs that have been found running, with their addresses. Their starts are not known.
        std::map<EndpointRun, std::string> returned;
        /// Recorded before the table was restored from an older copy; members and ended runs only.
        GroupRecord lost;

        EndpointId primary() const;
        bool isRegistered(const EndpointRun&) const;
        bool isReplaced(const EndpointRun&, const std::string& address) const;
        bool hasEnded(const EndpointRun&, const std::string& address) const;
        std::map<EndpointRun, std::string> absentees() const;
        std::map<EndpointRun, std::string> endedRuns() const;
        std::map<EndpointId, std::string> unregistered() const;
        bool awaitsReplicas() const;
        void forget(const EndpointRun&);
    };

    void handleRegistryUpdate(const RegistryUpdated&, Instant now);
    void updateMembers(Group&, std::map<EndpointId, Member>, Instant now) const;
    void handleVms(const VmsChanged&);
    void handleRecord(const GroupRecordAnswered&, Instant now);
    Effects handleStatuses(const EndpointStatusesReceived&, Instant now);
    static Effects findReturned(Group&, const EndpointStatusesReceived&);
    static void findCovered(Group&, const EndpointStatusesReceived&);
    Effects findEnded(Group&, const EndpointStatusesReceived&, Instant now) const;
    void handleTableRestore();
    Effects advance(Group&, Instant now) const;
    GroupRecord makeRecord(const Group&) const;
    Duration startDelay(const Group&) const;
    std::optional<size_t> rankOf(const GroupId&) const;
    std::optional<Instant> nextEvent() const;

    VmId self;
    ReplicaRecorderSettings settings;
    std::vector<VmId> vms;
    std::map<GroupId, Group> groups; ///< only groups with synchronous replication
};

} // namespace Lavendervane
