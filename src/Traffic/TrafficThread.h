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

/// State of one traffic thread. Everything but `context` and `post` is used on that thread only.
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

    /// Takes what an endpoint's answer says about positions and terms.
    void learnFromAnswer(const GroupId&, const EndpointId&, const EndpointAnswer&);
    void learnTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    /// Owner object of an endpoint that belongs to this thread; null if the snapshot has no such endpoint.
    std::shared_ptr<EndpointOwner> findOwner(const EndpointId&);

    /// Runners are told of changes of the routing until they are removed.
    void addRunner(const std::shared_ptr<RequestRunner>&);
    void removeRunner(RequestRunner*);

    /// Random text, unique over all VMs.
    std::string makeRequestId();

    /// True if the organisation may use the group. Remembers the result until the configuration changes.
    bool allows(const OrganisationId&, const GroupId&, Access);

    /// Closes all connections to endpoints.
    void stop();

    std::unique_ptr<HttpServer> server;

private:
    void notifyRunners(const GroupId* group);

    TrafficShared& common;
    std::unordered_map<RequestRunner*, std::weak_ptr<RequestRunner>> runners; // outlives the handlers of `io`
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
