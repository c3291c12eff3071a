#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace Lavendervane {

/// HTTP server of /metrics (Prometheus text format), /healthz and /readyz on the control thread.
class MetricsServer {
public:
    /// Throws Error (step "listen").
    MetricsServer(
        boost::asio::io_context&, const std::string& address, prometheus::Registry&, std::function<bool()> ready);
    ~MetricsServer();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
