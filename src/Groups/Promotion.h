#pragma once

#include "Groups/GroupMember.h"
#include "Groups/GroupMessages.h"

#include <optional>
#include <vector>

namespace Lavendervane {

/// One attempt to start a term: fences a majority, then promotes a member whose log is at least as recent as the logs
/// of a majority. At most one member is promoted in a term, even if messages are lost or repeated.
class Promotion {
public:
    enum class State : uint8_t {
        Fencing,
        Promoting,
        Done,
        Failed,
    };

    /// If `mayPromoteLeaving` is true, a leaving member is promoted when no other member qualifies.
    Promotion(Term, std::vector<GroupMember>, bool mayPromoteLeaving);

    /// Sends the fence commands.
    void start(Instant now, std::vector<GroupEffect>&);
    /// Repeats or fails commands that are unanswered for `commandTimeout`.
    void tick(Instant now, std::vector<GroupEffect>&);
    void on(const FenceAnswered&, std::vector<GroupEffect>&);
    void on(const PromoteAnswered&);
    void onEndpointFailed(const EndpointId&, Instant now, std::vector<GroupEffect>&);

    State state() const { return this->currentState; }
    const Term& term() const { return this->ownTerm; }
    /// Member that was chosen for promotion. To be called only in the states Promoting and Done.
    const GroupMember& candidate() const;

    friend bool operator==(const Promotion&, const Promotion&) = default;

private:
    /// End of a member's log. A higher value means a more recent log.
    struct LogEnd {
        Term lastEntryTerm;
        uint64_t position = 0;

        friend auto operator<=>(const LogEnd&, const LogEnd&) = default;
    };

    /// Progress of one command to one member.
    struct CommandState {
        std::optional<Instant> pendingSince; ///< when the command was last sent; absent if no answer is expected
        uint32_t sendCount = 0;

        friend bool operator==(const CommandState&, const CommandState&) = default;
    };

    std::optional<size_t> indexOf(const EndpointId&) const;
    void sendFence(size_t index, Instant now, std::vector<GroupEffect>&);
    void sendPromote(Instant now, std::vector<GroupEffect>&);
    void onCommandFailed(size_t index, Instant now, std::vector<GroupEffect>&);
    void promoteCandidateIfReady(Instant now, std::vector<GroupEffect>&);
    std::optional<size_t> findBestCandidate(bool leavingAllowed) const;

    Term ownTerm;
    std::vector<GroupMember> members;
    bool mayPromoteLeaving = false;
    State currentState = State::Fencing;
    std::vector<CommandState> fenceCommands;
    std::vector<std::optional<LogEnd>> logEnds; ///< by member; absent until the member has accepted the fence
    std::optional<size_t> candidateIndex;
    CommandState promoteCommand;
};

} // namespace Lavendervane
