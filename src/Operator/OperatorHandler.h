#pragma once

#include "Configuration/ChainMessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace lavendervane {
class StatusResponse;
}

namespace Lavendervane {

/// Handles the calls of operators. All functions are called on the control thread; replies must be called on it too.
class OperatorHandler {
public:
    virtual ~OperatorHandler() = default;

    using CommitReply = std::function<void(CommitResult, uint64_t version)>;
    using HistoryReply = std::function<void(std::vector<Change>)>;
    using StatusReply = std::function<void(const lavendervane::StatusResponse&)>;

    /// Returns the configuration in force at this VM.
    virtual std::shared_ptr<const Configuration> configuration() const = 0;

    /// Commits the change, which must be complete and valid, to the configuration chain.
    virtual void commit(Change, CommitReply) = 0;

    /// Replies with at most `limit` changes, newest first.
    virtual void history(size_t limit, HistoryReply) = 0;

    /// Replies with the status as this VM sees it. `allVms` is the field `all_vms` of the request.
    virtual void status(bool allVms, StatusReply) = 0;
};

} // namespace Lavendervane
