#include "Load/LoadConnectionPool.h"

#include <utility>

namespace Lavendervane {

LoadConnectionPool::LoadConnectionPool(
    boost::asio::io_context& context, std::vector<std::string> vms, uint32_t connectionsPerVm)
    : context(context)
    , vms(std::move(vms))
    , idle(this->vms.size())
{
    for (size_t vm = 0; vm < this->vms.size(); ++vm) {
        for (uint32_t count = 0; count < connectionsPerVm; ++count)
            this->idle[vm].push_back(std::make_unique<LoadConnection>(context, this->vms[vm]));
    }
}

std::unique_ptr<LoadConnection> LoadConnectionPool::take(size_t vm)
{
    auto& connections = this->idle[vm];
    while (!connections.empty()) {
        auto connection = std::move(connections.front());
        connections.pop_front();
        if (connection->isReusable())
            return connection;
    }
    return std::make_unique<LoadConnection>(this->context, this->vms[vm]);
}

void LoadConnectionPool::release(size_t vm, std::unique_ptr<LoadConnection> connection)
{
    if (connection->isReusable())
        this->idle[vm].push_back(std::move(connection));
}

} // namespace Lavendervane
