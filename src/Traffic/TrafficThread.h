#pragma once

#include "Routing/RetryBudget.h"
#include "Routing/Router.h"
#include "Traffic/EndpointTask.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace Lavendervane {

class EndpointOwner;
class HttpServer;
class RequestRunner;
struct TrafficShared;

/// State of one traffic thread. While the thread runs, all functions except context() must be called on it.
class TrafficThread {
public:
    TrafficThread(TrafficShared&, uint64_t seed);
    ~TrafficThread();

    TrafficThread(const TrafficThread&) = delete;
    TrafficThread& operator=(const TrafficThread&) = delete;

    boost::asio::io_context& context() { return this->io; }
    TrafficShared& shared() { return this->common; }
    Router& router() { return this->routing; }
    RetryBudget& retryBudget() { return this->budget; }
    const std::shared_ptr<const TrafficSnapshot>& snapshot() const { return this->routing.snapshot(); }

    void setSnapshot(std::shared_ptr<const TrafficSnapshot>);

    /// Updates the router with the log position and the term in an endpoint's answer. A higher term is reported to the
    /// observer and passed to all threads.
    void learnFromAnswer(const GroupId&, const EndpointId&, const EndpointAnswer&);
    void learnTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    /// Returns the owner of an endpoint that belongs to this thread, creating it if necessary; null if the snapshot
    /// does not contain the endpoint.
    std::shared_ptr<EndpointOwner> findOwner(const EndpointId&);

    /// Registers a runner, which is notified of routing changes until it is removed.
    void addRunner(const std::shared_ptr<RequestRunner>&);
    void removeRunner(RequestRunner*);

    /// Returns a random request id that is unique across all VMs.
    std::string makeRequestId();

    /// Returns true if a route allows the organisation to use the group. Caches the result until the configuration
    /// changes.
    bool allows(const OrganisationId&, const GroupId&, Access);

    /// Closes all connections to endpoints.
    void stop();

    std::unique_ptr<HttpServer> server;

private:
    void notifyRunners(const GroupId* group);

    TrafficShared& common;
    // Declared before `io`, because the handlers in `io` use it until they are destroyed.
    std::unordered_map<RequestRunner*, std::weak_ptr<RequestRunner>> runners;
    boost::asio::io_context io;
    Router routing;
    RetryBudget budget;
    std::unordered_map<EndpointId, std::shared_ptr<EndpointOwner>> owners;
    std::unordered_map<std::string, bool> permissions;
    RandomGenerator random;
    std::string requestPrefix;
    uint64_t requests = 0;
};

} // namespace Lavendervane
