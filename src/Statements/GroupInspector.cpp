#include "Statements/GroupInspector.h"

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

void inspectEndpoints(GroupTraffic& group, const std::vector<EndpointId>& endpoints, const Statement& statement,
    const OrganisationId& organisation, Instant deadline, const StatusesCallback& callback)
{
    struct Collection {
        std::map<EndpointId, EndpointStatus> statuses;
        size_t outstanding = 0;
    };
    auto collection = std::make_shared<Collection>();
    collection->outstanding = endpoints.size() + 1;
    const auto finishOne = [collection, callback] {
        if (!--collection->outstanding)
            callback(std::move(collection->statuses));
    };
    for (const EndpointId& endpoint : endpoints) {
        const auto pool = group.findPool(endpoint);
        if (!pool) {
            finishOne();
            continue;
        }
        queryStatus(*pool, statement, organisation, deadline,
            [collection, endpoint, finishOne](std::optional<EndpointStatus> status) {
                if (status)
                    collection->statuses.emplace(endpoint, *status);
                finishOne();
            });
    }
    finishOne();
}

} // namespace Lavendervane
