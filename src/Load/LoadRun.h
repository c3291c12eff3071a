#pragma once

#include "Load/LoadConnectionPool.h"
#include "Load/RequestGenerator.h"
#include "Load/Workload.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

/// Settings of one run of the load generator.
struct LoadSettings {
    std::vector<std::string> vms; ///< addresses "IP:port" of the caller interface of each VM
    uint32_t connectionsPerVm = 20; ///< idle connections opened at the start; more are opened while all are in use
    std::chrono::milliseconds duration { 10000 };
    std::chrono::milliseconds timeout { 5000 }; ///< request timeout, sent in the header Lavendervane-Timeout-Ms
    uint64_t seed = 1;
    std::string run; ///< prefix of keys, values and session names, unique to the run
};

/// Open-loop load generator: starts requests at the configured rates, whether or not earlier ones have been answered.
class LoadRun {
public:
    using EventSink = std::function<void(const HistoryEvent&)>;

    /// Throws Error (step "parse address"). The sink receives every attempt when it ends.
    LoadRun(boost::asio::io_context&, LoadSettings, const Workload&, EventSink);
    ~LoadRun();

    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    void start();

    /// Stops starting requests. Running requests continue to their end.
    void stop();

    /// Sets the callback for the end of the last request. Must be called before the io_context runs.
    void setFinishedCallback(std::function<void()> callback) { this->finishedCallback = std::move(callback); }

private:
    struct Session;
    struct Organisation;
    class Call;

    void tick();
    void startRequest(Organisation&);
    void onRequestEnded();
    std::unique_ptr<Session> takeSession(Organisation&);

    boost::asio::io_context& context;
    LoadSettings settings;
    EventSink sink;
    LoadConnectionPool pool;
    std::vector<std::unique_ptr<Organisation>> organisations;
    boost::asio::steady_timer timer;
    std::function<void()> finishedCallback;
    int64_t endTime = 0;
    uint64_t runningRequests = 0;
    bool stopped = false;
};

} // namespace Lavendervane
