#pragma once

#include "Traffic/EndpointTask.h"

namespace Lavendervane {

/// Carries the steps of an interactive transaction to the owner of the endpoint. Used on the caller's traffic thread,
/// where the callbacks run too.
class TransactionChannel {
public:
    virtual ~TransactionChannel() = default;

    /// Runs one step and invokes the callback once. The first step is "/begin"; at most one step runs at a time.
    virtual void exchange(EndpointTask, EndpointCallback) = 0;

    /// Rolls the transaction back unless it has ended.
    virtual void close() = 0;
};

} // namespace Lavendervane
