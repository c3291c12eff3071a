#pragma once

#include "DirectorySource.h"
#include "StoreClient.h"
#include "StoreStandIn.h"

#include "Fleet/ControlFakes.h"
#include "Limits/LimitShares.h"
#include "Metrics/SessionMetrics.h"
#include "Runtime/AsioTimers.h"
#include "Runtime/StructuredLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <string>

namespace Lavendervane::Adapter {

/// Control of one VM in front of a store, where promotions are not fenced.
struct ControlledVm {
    ~ControlledVm() { ::close(this->logDescriptor); }

    static FleetControlSettings makeSettings()
    {
        FleetControlSettings settings;
        settings.self = { VmId("vm-1"), DataCentre("a"), "10.0.0.1:7560", 1000 };
        settings.runId = "run-1";
        settings.seed = 1;
        settings.membership.joinJitter = std::chrono::milliseconds(50);
        settings.membership.settleTime = std::chrono::milliseconds(100);
        settings.shares.initialWriteJitter = std::chrono::milliseconds(50);
        settings.shares.claimJitter = std::chrono::milliseconds(50);
        settings.promotion.primaryLease = std::chrono::milliseconds(1500);
        return settings;
    }

    /// Returns the registry entry of an endpoint of group "stock".
    static std::string entryText(
        const std::string& role, const std::string& address, uint64_t sequence, const std::string& state = "ready")
    {
        return R"({"service":"stock","address":")" + address + R"(","zone":"a","version":"v1","slots":2,"state":")"
            + state + R"(","cold_remaining_ms":0,"db_role":")" + role + R"(","sequence":)" + std::to_string(sequence)
            + R"(,"born":1700000000000})";
    }

    void putConfiguration(uint64_t version)
    {
        this->store.put("op", "config",
            R"({"version":)" + std::to_string(version)
                + R"(,"routes":[],"services":[{"name":"stock","max_connections":36}]})");
    }

    /// Starts the VM and waits until it is ready.
    void start()
    {
        this->control.start();
        this->control.follow(this->source);
        this->waitFor([this] { return this->control.ready() && this->traffic.hasStartedLease; });
    }

    void waitFor(const std::function<bool()>& condition, std::chrono::milliseconds limit = std::chrono::seconds(8))
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(std::chrono::milliseconds(50));
        BOOST_TEST(condition());
    }

    void runFor(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(10));
    }

    boost::asio::io_context context;
    StoreStandIn store { context };
    StoreClient client { context, store.address() };
    DirectorySource source { context, client };
    AsioTimers timers { context };
    prometheus::Registry registry;
    SessionMetrics metrics { registry };
    int logDescriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    StructuredLog log { "vm-1", { .descriptor = logDescriptor } };
    RecordingTraffic traffic;
    NoPromotions orders;
    FleetControl control { makeSettings(), timers, client, orders, traffic, log, metrics };
};

} // namespace Lavendervane::Adapter
