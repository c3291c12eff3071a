#pragma once

#include "Promotion/GroupRecord.h"
#include "Statements/StatementAnswer.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Lavendervane {

/// How it is ensured that no VM passes on an acknowledgement of the old primary any more.
enum class CommitBarrier {
    None,
    SteppedDown, ///< the old primary has confirmed that it is a replica
    ReplicasPaused, ///< replicas have confirmed that they receive nothing
    PrimaryRevoked, ///< no VM uses the old primary
};

/// A registered endpoint, as far as it matters to the succession.
struct SuccessionMember {
    bool isEvacuated = false; ///< its answer counts, but it is not promoted
    uint64_t startedAt = 0; ///< Unix time in ms
    std::string address; ///< "IP:port"
};

/// State of an attempt to replace a primary.
struct SuccessionQuestion {
    std::map<EndpointId, SuccessionMember> members;
    EndpointId oldPrimary; ///< empty if it is unknown
    std::map<EndpointId, EndpointStatus> statuses; ///< answers of this attempt, also of recorded endpoints
    CommitBarrier barrier = CommitBarrier::None;
    uint64_t pauseTerm = 0; ///< term of the pause if the barrier is ReplicasPaused
    std::set<EndpointId> listening {}; ///< endpoints that are not registered and accept connections
    /// Position behind which no commit has been acknowledged; known at most if the barrier is PrimaryRevoked.
    std::optional<LogPosition> lastAcknowledged {};
    EndpointId orderedBefore; ///< endpoint that an unanswered order may still promote; preferred if it answered
    /// An endpoint may be promoted that does not know the newest term, and one that knows no term may always have been
    /// without a log.
    bool acceptsOutdated = false;
};

struct SuccessionAnswer {
    enum class Action {
        Promote,
        StopCommits, ///< `endpoint` leads the others, but the old primary may go on acknowledging commits
        Postpone,
    };

    Action action = Action::Postpone;
    EndpointId endpoint; ///< best candidate; may be empty if the action is Postpone
    std::string reason; ///< why the promotion is postponed
    bool awaitsReplica = false; ///< an endpoint that may hold acknowledged commits has to answer first
};

/// Decides which endpoint may lead a group next. An endpoint is promoted only if it knows the newest term, and, with
/// synchronous replication, only if it is certain to hold every acknowledged commit when it takes the lead:
///
/// - An acknowledged commit is stored on the primary and on at least `synchronousReplicas` others. The most advanced
///   endpoint that answered holds it if fewer than that many of the runs that may hold commits are missing. A run is
///   missing also if a later one of its endpoint answers: that one may hold nothing.
/// - A run that had ended counts again as soon as it runs again, registered or not.
/// - An endpoint that lacks a commit of which a VM knows that it was acknowledged is not promoted. One that holds all
///   that any VM can have acknowledged is promoted even if others are missing.
/// - This stays true only behind a barrier, because the old primary may be back before its successor leads.
///
/// What it must know for longer than a VM lives is in the GroupRecord.
class Succession {
public:
    void setSynchronousReplicas(uint32_t number) { this->synchronousReplicas = number; }

    /// A VM has seen a primary in this term.
    void learnTerm(uint64_t term);

    /// A commit at this position or behind it has been acknowledged.
    void learnAcknowledged(const LogPosition& position) { this->acknowledged = std::max(this->acknowledged, position); }

    void learnRecord(const GroupRecord& stored) { this->record = stored; }

    /// The promotion has been ordered.
    void learnLeadership(const LeadershipRecord& ordered) { this->record.leadership = ordered; }

    const GroupRecord& knownRecord() const { return this->record; }

    SuccessionAnswer decide(const SuccessionQuestion&) const;

    /// Returns the addresses of recorded endpoints that are not registered and may hold acknowledged commits. Their
    /// status belongs to the question.
    std::map<EndpointId, std::string> unregisteredHolders(const SuccessionQuestion&) const;

    /// Returns the term that the next primary is expected to lead.
    uint64_t nextTerm(const SuccessionQuestion&) const;

    /// Returns a term that is newer than any that the endpoints know or hold.
    uint64_t nextPauseTerm(const SuccessionQuestion&) const;

private:
    uint64_t newestTerm(const SuccessionQuestion&) const;
    uint64_t newestSeenTerm(const SuccessionQuestion&) const;
    bool isLeadershipRefuted(const SuccessionQuestion&) const;
    EndpointId oldPrimary(const SuccessionQuestion&) const;
    std::set<EndpointRun> possibleHolders(const SuccessionQuestion&) const;
    bool isPresentRun(const EndpointRun&, const SuccessionQuestion&) const;
    bool mayBePromoted(const EndpointId&, const SuccessionQuestion&) const;
    EndpointId unpromotableAhead(const SuccessionQuestion&, const EndpointId& best, bool isRegistered) const;
    const EndpointStatus* answerOf(const EndpointRun&, const SuccessionQuestion&) const;
    SuccessionAnswer requireAcknowledgedCommits(const SuccessionQuestion&, const EndpointId& best) const;

    uint32_t synchronousReplicas = 0;
    uint64_t seenTerm = 0; ///< newest term in which a VM has seen a primary
    LogPosition acknowledged; ///< the newest commit that a VM knows to be acknowledged is here or behind it
    GroupRecord record;
};

} // namespace Lavendervane
