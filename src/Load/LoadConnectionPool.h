#pragma once

#include "Load/LoadConnection.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Idle connections to each VM. Connections are used in round-robin order, so that the configured number stays open.
class LoadConnectionPool {
public:
    /// Throws Error (step "parse address").
    LoadConnectionPool(boost::asio::io_context&, std::vector<std::string> vms, uint32_t connectionsPerVm);

    /// Returns an idle connection to the VM, or a new one if none is idle.
    std::unique_ptr<LoadConnection> take(size_t vm);

    /// Returns a connection to the pool, or closes it if it cannot be reused.
    void release(size_t vm, std::unique_ptr<LoadConnection>);

    size_t vmCount() const { return this->vms.size(); }

private:
    boost::asio::io_context& context;
    std::vector<std::string> vms;
    std::vector<std::deque<std::unique_ptr<LoadConnection>>> idle;
};

} // namespace Lavendervane
