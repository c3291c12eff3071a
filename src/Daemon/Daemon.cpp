#include "Daemon/Daemon.h"

#include "Daemon/ControlLoop.h"
#include "Daemon/DaemonSettings.h"
#include "Limits/AdmissionTable.h"
#include "Metrics/MetricsServer.h"
#include "Operator/OperatorService.h"
#include "Peer/GrpcServer.h"
#include "Peer/PeerService.h"
#include "Traffic/TrafficServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <prometheus/registry.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

namespace Lavendervane {

static uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

static ControlSettings makeControlSettings(const DaemonSettings& settings)
{
    ControlSettings control;
    control.self.vm = VmId(settings.vm);
    control.self.address = settings.advertisedPeerAddress;
    control.self.dataCentre = DataCentre(settings.dataCentre);
    // The wall clock makes the incarnation higher than that of an earlier process, also after a restart of the VM.
    control.self.incarnation
        = static_cast<uint64_t>(std::chrono::nanoseconds(std::chrono::system_clock::now().time_since_epoch()).count());
    control.seed = makeSeed();
    control.seedPeers = settings.seedPeers;
    control.maxConfigurationAge = settings.maxConfigurationAge;
    control.allocator.outageLimit = settings.grantOutageLimit;
    control.allocator.moveLimit = settings.grantOutageLimit;
    return control;
}

static TrafficSettings makeTrafficSettings(const DaemonSettings& settings)
{
    TrafficSettings traffic;
    traffic.address = settings.callerAddress;
    traffic.threads = settings.trafficThreads;
    traffic.tlsCertificateFile = settings.tlsCertificateFile;
    traffic.tlsKeyFile = settings.tlsKeyFile;
    traffic.digestSecret = settings.digestSecret;
    traffic.sessionSecret = settings.sessionSecret;
    traffic.peerSecret = settings.peerSecret;
    traffic.defaultTimeout = settings.defaultTimeout;
    traffic.admissionWait = settings.admissionWait;
    traffic.queueLimit = settings.queueLimit;
    return traffic;
}

class Daemon::Implementation {
public:
    explicit Implementation(const DaemonSettings& settings)
        : settings(settings)
        , control(this->context, makeControlSettings(settings), { settings.peerSecret, settings.platformAddress },
              this->admission, settings.traceFile, *this->registry,
              [this](std::shared_ptr<const TrafficSnapshot> snapshot) { this->traffic.publish(std::move(snapshot)); })
        , traffic(makeTrafficSettings(settings), this->admission, this->control, *this->registry)
        , peerService(this->context, this->control, settings.peerSecret)
        , operatorService(this->context, this->control, { settings.operatorSecret, settings.digestSecret })
        , peerServer(settings.peerAddress, { &this->peerService.service(), &this->traffic.forwardService() })
        , operatorServer(settings.operatorAddress, { &this->operatorService.service() })
        , metrics(this->context, settings.metricsAddress, *this->registry,
              [this] { return this->control.isReady() && !this->isDraining; })
        , signals(this->context, SIGTERM, SIGINT)
        , drainGraceTimer(this->context)
        , drainLimitTimer(this->context)
    {
    }

    int run()
    {
        LOG(INFO) << "event=started vm=" << this->settings.vm << " data_centre=" << this->settings.dataCentre
                  << " version=" << LAVENDERVANE_VERSION;
        this->awaitSignal();
        this->traffic.start();
        this->control.start();
        this->context.run();
        this->shutDownServers();
        this->traffic.stop();
        LOG(INFO) << "event=stopped vm=" << this->settings.vm << " exit_code=" << this->exitCode;
        return this->exitCode;
    }

private:
    void awaitSignal()
    {
        this->signals.async_wait([this](boost::system::error_code error, int) {
            if (error)
                return;
            if (this->isDraining) {
                this->forceStop("second_signal");
                return;
            }
            this->drain();
            this->awaitSignal();
        });
    }

    // Keeps accepting traffic for the grace period, so that the load balancer can see that this VM is not ready.
    void drain()
    {
        LOG(INFO) << "event=drain_started running=" << this->traffic.running();
        this->isDraining = true;
        this->control.announceLeave();
        this->traffic.beginDraining();
        this->drainGraceTimer.expires_after(this->settings.drainGrace);
        this->drainGraceTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            this->traffic.stopAccepting([this] {
                boost::asio::post(
                    this->context, [this] { this->control.returnGrants([this] { this->stopContext(); }); });
            });
        });
        this->drainLimitTimer.expires_after(this->settings.drainLimit);
        this->drainLimitTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                this->forceStop("drain_limit");
        });
    }

    void forceStop(const char* reason)
    {
        const size_t running = this->traffic.running();
        LOG(WARNING) << "event=drain_cut reason=" << reason << " cut=" << running;
        this->exitCode = running ? 1 : 0;
        this->stopContext();
    }

    void stopContext() { this->context.stop(); }

    // Peer and operator calls are answered on the control thread, so it has to run until both servers have shut down.
    void shutDownServers()
    {
        std::atomic<bool> done = false;
        std::thread thread([this, &done] {
            this->peerServer.shutdown();
            this->operatorServer.shutdown();
            done = true;
        });
        this->context.restart();
        while (!done)
            this->context.run_for(std::chrono::milliseconds(10));
        thread.join();
    }

    DaemonSettings settings;
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard = make_work_guard(this->context);
    AdmissionTable admission;
    ControlLoop control;
    TrafficServer traffic;
    PeerService peerService;
    OperatorService operatorService;
    GrpcServer peerServer;
    GrpcServer operatorServer;
    MetricsServer metrics;
    boost::asio::signal_set signals;
    boost::asio::steady_timer drainGraceTimer;
    boost::asio::steady_timer drainLimitTimer;
    bool isDraining = false;
    int exitCode = 0;
};

Daemon::Daemon(const DaemonSettings& settings)
    : implementation(std::make_unique<Implementation>(settings))
{
}

Daemon::~Daemon() = default;

int Daemon::run() { return this->implementation->run(); }

} // namespace Lavendervane
