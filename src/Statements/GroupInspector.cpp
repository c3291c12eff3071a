#include "Statements/GroupInspector.h"

#include "Statements/EndpointProbe.h"

#include <optional>
#include <utility>

namespace Lavendervane {

using StatusCallback = std::function<void(std::optional<EndpointStatus>)>;

// Sends a statement of the proxy itself and passes the status in the answer to the callback.
static void queryStatus(EndpointPool& pool, const Statement& statement, const OrganisationId& organisation,
    Instant deadline, const StatusCallback& callback)
{
    pool.acquire(organisation, 0, deadline, [statement, deadline, callback](const AcquireResult& acquired) {
        const auto connection = acquired.connection;
        if (!connection) {
            callback(std::nullopt);
            return;
        }
        connection->exchange({ statement }, { deadline }, [connection, callback](const ExchangeResult& result) {
            if (connection->isAlive() && connection->pool())
                connection->pool()->release(connection);
            callback(result.hasAnswers() ? result.answers.back().status : std::nullopt);
        });
    });
}

void inspectEndpoints(GroupTraffic& group, EndpointConnector& connector, Timers& timers,
    const InspectionRequest& request, const OrganisationId& organisation, Instant deadline,
    const InspectionCallback& callback)
{
    struct Collection {
        Inspection result;
        size_t outstanding = 0;
    };
    auto collection = std::make_shared<Collection>();
    collection->outstanding = request.endpoints.size() + request.unregistered.size() + 1;
    const auto finishOne = [collection, callback] {
        if (!--collection->outstanding)
            callback(std::move(collection->result));
    };
    for (const auto& [endpoint, address] : request.unregistered) {
        const LinkTarget target { group.id(), endpoint, address, organisation };
        probeEndpoint(connector, timers, target, request.statement, deadline,
            [collection, id = endpoint, finishOne](const EndpointProbeResult& probed) {
                if (probed.status)
                    collection->result.statuses.emplace(id, *probed.status);
                if (probed.isRefused)
                    collection->result.refused.insert(id);
                if (probed.isListening)
                    collection->result.listening.insert(id);
                finishOne();
            });
    }
    for (const EndpointId& endpoint : request.endpoints) {
        const auto pool = group.findPool(endpoint);
        if (!pool) {
            finishOne();
            continue;
        }
        queryStatus(*pool, request.statement, organisation, deadline,
            [collection, endpoint, finishOne](std::optional<EndpointStatus> status) {
                if (status)
                    collection->result.statuses.emplace(endpoint, *status);
                finishOne();
            });
    }
    finishOne();
}

} // namespace Lavendervane
