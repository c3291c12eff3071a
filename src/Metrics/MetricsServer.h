#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace Lavendervane {

/// HTTP server for /metrics (Prometheus text format), /healthz and /readyz. Runs on the thread of the io_context.
class MetricsServer {
public:
    /// Starts listening at `address`. `isReady` decides whether /readyz answers 200 or 503. Throws Error (step
    /// "listen").
    MetricsServer(
        boost::asio::io_context&, const std::string& address, prometheus::Registry&, std::function<bool()> isReady);
    ~MetricsServer();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
