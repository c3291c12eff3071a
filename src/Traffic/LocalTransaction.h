#pragma once

#include "Traffic/TransactionChannel.h"

#include <memory>

namespace Lavendervane {

class EndpointTransaction;
class TrafficThread;

/// Transaction at an endpoint that this VM owns, on the same or another traffic thread.
class LocalTransaction : public TransactionChannel {
public:
    LocalTransaction(TrafficThread& callerThread, TrafficThread& owner);
    ~LocalTransaction() override;

    LocalTransaction(const LocalTransaction&) = delete;
    LocalTransaction& operator=(const LocalTransaction&) = delete;

    void exchange(EndpointTask, EndpointCallback) override;
    void close() override;

private:
    /// Used on the owner's thread only.
    struct State {
        std::shared_ptr<EndpointTransaction> transaction;
        bool closed = false;
    };

    static void run(TrafficThread& owner, const std::shared_ptr<State>&, EndpointTask, const EndpointCallback&);

    TrafficThread& callerThread;
    TrafficThread& owner;
    std::shared_ptr<State> state;
};

} // namespace Lavendervane
